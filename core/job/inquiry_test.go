package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// TestInquiry guards against a job that callers can neither find nor cancel when the load
// balancer sends them to an entry that does not own it, and against inquiries that never
// end.
func TestInquiry(t *testing.T) {
	key := zinniasill.Key{Team: "team", Client: "a"}
	tests := map[string]struct {
		prepare   func(s *simulation)
		cancel    bool
		known     bool
		answered  bool
		cancelled bool
	}{
		"in progress":        {prepare: func(s *simulation) { s.submitAndPlace("a", 2) }, known: true},
		"answered":           {prepare: func(s *simulation) { s.submitAndPlace("a", 2); s.runFor(time.Second) }, known: true, answered: true},
		"unknown":            {prepare: func(*simulation) {}},
		"owner unresponsive": {prepare: func(s *simulation) { s.submitAndPlace("a", 2); s.entries[0].partitioned = true }},
		"no other entry": {prepare: func(s *simulation) {
			s.changeCatalog(func(cat *catalog.Catalog) { delete(cat.Nodes, entryNode(0).ID) })
			s.updateEntries()
		}},
		"cancelled":         {prepare: func(s *simulation) { s.submitAndPlace("a", 2) }, cancel: true, cancelled: true},
		"nothing to cancel": {prepare: func(*simulation) {}, cancel: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(2, 3, 2, 1)
			tt.prepare(s)
			asked := s.entries[1]
			if tt.cancel {
				asked.CancelRemote(s.now, 900, key)
			} else {
				asked.FindRemote(s.now, 900, key)
			}
			s.collectOutputs(asked)
			s.deliverAll()
			for range 60 {
				s.advance(10 * time.Millisecond)
				s.deliverAll()
			}
			found := asked.InquiryResults()
			if len(found) != 1 || found[0].Request != 900 {
				t.Fatalf("found %+v", found)
			}
			got := found[0]
			if got.Status.Known != tt.known || (got.Status.Answer != nil) != tt.answered || got.Cancelled != tt.cancelled {
				t.Errorf("found %+v", got)
			}
			if len(asked.inquiries) != 0 {
				t.Error("the inquiry has not ended")
			}
		})
	}
}
