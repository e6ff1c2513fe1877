package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// TestInquiry guards against a job that callers can neither find nor cancel when the
// balancer sends them to an entry that does not own it, and against an inquiry that
// never ends.
func TestInquiry(t *testing.T) {
	key := zinniasill.Key{Team: "team", Client: "a"}
	tests := map[string]struct {
		prepare   func(w *world)
		cancel    bool
		known     bool
		answered  bool
		cancelled bool
	}{
		"in progress":     {prepare: func(w *world) { w.place("a", 2) }, known: true},
		"answered":        {prepare: func(w *world) { w.place("a", 2); w.settleAll(time.Second) }, known: true, answered: true},
		"unknown":         {prepare: func(*world) {}},
		"owner is silent": {prepare: func(w *world) { w.place("a", 2); w.entries[0].cut = true }},
		"no other entry": {prepare: func(w *world) {
			w.change(func(cat *catalog.Catalog) { delete(cat.Nodes, entryNode(0).ID) })
			w.spread()
		}},
		"cancelled":         {prepare: func(w *world) { w.place("a", 2) }, cancel: true, cancelled: true},
		"nothing to cancel": {prepare: func(*world) {}, cancel: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2, 3, 2, 1)
			tt.prepare(w)
			asked := w.entries[1]
			if tt.cancel {
				asked.CancelRemote(w.now, 900, key)
			} else {
				asked.FindRemote(w.now, 900, key)
			}
			w.collect(asked)
			w.deliverAll()
			for range 60 {
				w.advance(10 * time.Millisecond)
				w.deliverAll()
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
				t.Error("the inquiry is still open")
			}
		})
	}
}
