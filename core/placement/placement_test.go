package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

var start = time.Unix(1_000_000, 0)

var proof = catalog.Profile{Name: "proof", Kind: "render", ExpectedRunTime: 50 * time.Millisecond}

func node(id int) zinniasill.Node {
	return zinniasill.Node{ID: zinniasill.NodeID(fmt.Sprintf("agent-%04d", id)), Incarnation: 1}
}

func entry(id int) catalog.NodeEntry {
	return catalog.NodeEntry{
		Node:   node(id),
		Role:   catalog.RoleAgent,
		Domain: zinniasill.Domain(fmt.Sprintf("domain-%d", id%3)),
		Slots:  10,
		Kinds:  []zinniasill.Kind{"render"},
		State:  catalog.Serving,
	}
}

func newCatalog(agents int) *catalog.Catalog {
	cat := catalog.New()
	cat.Revision = 1
	for id := range agents {
		cat.Nodes[node(id).ID] = entry(id)
	}
	return cat
}

func newViews(agents int) (*Views, *catalog.Catalog) {
	views := New(Config{Picker: &BetterOfTwo{Rand: rand.New(rand.NewPCG(1, 2))}})
	cat := newCatalog(agents)
	views.Update(start, cat)
	return views, cat
}

// Guards against offers to agents that must not get new work.
func TestOnlyEligibleAgentsArePicked(t *testing.T) {
	cases := map[string]struct {
		change  func(cat *catalog.Catalog)
		profile catalog.Profile
		exclude zinniasill.Node
		want    bool
	}{
		"serving":          {change: func(*catalog.Catalog) {}, profile: proof, want: true},
		"domain out":       {change: func(c *catalog.Catalog) { c.Domains["domain-0"] = catalog.DomainEntry{State: catalog.DomainOutOfService} }, profile: proof},
		"endpoint leaving": {change: func(c *catalog.Catalog) { c.Endpoints[node(0).ID] = catalog.EndpointEntry{State: catalog.Leaving} }, profile: proof},
		"dead":             {change: func(c *catalog.Catalog) { delete(c.Nodes, node(0).ID) }, profile: proof},
		"other kind":       {change: func(*catalog.Catalog) {}, profile: catalog.Profile{Name: "pull", Kind: "pull"}},
		"other domain":     {change: func(*catalog.Catalog) {}, profile: catalog.Profile{Name: "far", Kind: "render", Domains: []zinniasill.Domain{"domain-1"}}},
		"excluded":         {change: func(*catalog.Catalog) {}, profile: proof, exclude: node(0)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			views, cat := newViews(1)
			next := cat.Clone()
			next.Revision++
			c.change(next)
			views.Update(start, next)
			_, ok := views.Pick(start, Request{Profile: c.profile, Exclude: func(n zinniasill.Node) bool { return n == c.exclude }})
			if ok != c.want {
				t.Fatalf("picked %t, want %t", ok, c.want)
			}
		})
	}
}

// Guards against one job filling a single agent before its first reply arrives.
func TestTasksOfOneJobAreSpread(t *testing.T) {
	views, _ := newViews(10)
	count := map[zinniasill.Node]int{}
	for range 100 {
		picked, _ := views.Pick(start, Request{Profile: proof})
		views.AddUnanswered(picked, 1, proof.ExpectedRunTime)
		count[picked]++
	}
	for id, tasks := range count {
		if tasks > 13 {
			t.Fatalf("%s got %d of 100 tasks for 100 slots", id, tasks)
		}
	}
}

// Guards against a burst on the agents of a domain that has just returned.
func TestSlowStartGrowsTheShare(t *testing.T) {
	views, cat := newViews(9)
	out := cat.Clone()
	out.Revision = 2
	out.Domains["domain-0"] = catalog.DomainEntry{State: catalog.DomainOutOfService}
	views.Update(start, out)
	back := cat.Clone()
	back.Revision = 3
	views.Update(start, back)
	share := func(now time.Time) int {
		returned := 0
		for range 3000 {
			picked, _ := views.Pick(now, Request{Profile: proof})
			if views.Domain(picked) == "domain-0" {
				returned++
			}
		}
		return returned
	}
	early := share(start.Add(100 * time.Millisecond))
	middle := share(start.Add(time.Second))
	full := share(start.Add(SlowStartWindow))
	if early > 200 || middle < 400 || middle > 850 || full < 900 {
		t.Fatalf("returned domain got %d, %d, %d of 3000 picks after 0.1, 1, 2 s", early, middle, full)
	}
}

// Guards against an endpoint that fails everything taking all tasks, because it
// is always free, and against ejecting agents for a job that fails everywhere.
func TestFailingAgentGetsProbesOnly(t *testing.T) {
	cases := map[string]struct {
		othersOK bool
		failing  bool
	}{
		"others succeed":       {othersOK: true, failing: true},
		"job fails everywhere": {othersOK: false, failing: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			views, _ := newViews(3)
			for range minOutcomes + 4 {
				views.RecordOutcome(start, node(1), proof, c.othersOK)
				views.RecordOutcome(start, node(2), proof, c.othersOK)
				views.RecordOutcome(start, node(0), proof, false)
			}
			picks := 0
			for range 30 {
				picked, _ := views.Pick(start.Add(probeEvery), Request{Profile: proof})
				views.AddUnanswered(picked, 1, proof.ExpectedRunTime)
				views.RecordOffer(start.Add(probeEvery), picked)
				views.RemoveUnanswered(picked, 1, proof.ExpectedRunTime)
				if picked == node(0) {
					picks++
				}
			}
			if (picks == 1) != c.failing {
				t.Fatalf("agent got %d of 30 tasks, failing should be %t", picks, c.failing)
			}
			if views.Available(start, node(0)) == c.failing {
				t.Fatal("the next probe does not wait")
			}
			views.RecordOutcome(start, node(0), proof, true)
			if views.agents[node(0).ID].Failing {
				t.Fatal("still failing after a success")
			}
		})
	}
}

// Guards against counting work twice once a report includes it.
func TestTotals(t *testing.T) {
	views, _ := newViews(2)
	views.AddUnanswered(node(0), 12, 600*time.Millisecond)
	got := views.Totals(start, proof)
	if got.Slots != 20 || got.Free != 10 || got.Backlog != 600*time.Millisecond {
		t.Fatalf("totals %+v", got)
	}
	views.Report(start, node(0), message.Load{Slots: 10, Busy: 10, Queued: 2, QueuedWork: 100 * time.Millisecond})
	views.RemoveUnanswered(node(0), 12, 600*time.Millisecond)
	got = views.Totals(start.Add(totalsAge), proof)
	if got.Free != 10 || got.Backlog != 50*time.Millisecond {
		t.Fatalf("totals after report %+v", got)
	}
	// The agent may never report to this entry again; its work must not count forever.
	got = views.Totals(start.Add(time.Second), proof)
	if got.Free != 20 || got.Backlog != 0 {
		t.Fatalf("totals after an old report %+v", got)
	}
}

func BenchmarkPick(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	pickers := map[string]zinniasill.Picker{
		"better-of-two": &BetterOfTwo{Rand: random},
		"random":        &Random{Rand: random},
		"round-robin":   &RoundRobin{},
	}
	for name, picker := range pickers {
		b.Run(name, func(b *testing.B) {
			views := New(Config{Picker: picker})
			views.Update(start, newCatalog(1400))
			b.ReportAllocs()
			for b.Loop() {
				picked, _ := views.Pick(start, Request{Profile: proof})
				views.AddUnanswered(picked, 1, proof.ExpectedRunTime)
				views.RemoveUnanswered(picked, 1, proof.ExpectedRunTime)
			}
		})
	}
}

// Guards against a failing agent that costs a job every half second for ever, and
// against one that gets no work after it is repaired.
func TestProbesOfFailingAgentBackOff(t *testing.T) {
	a := &agent{}
	last := time.Duration(0)
	for probe := range 20 {
		wait := a.probeWait()
		if wait < last || wait > probeMax || probe == 0 && wait != probeEvery {
			t.Fatalf("after %d failed probes waits %s, before %s", probe, wait, last)
		}
		last = wait
		a.failedProbes++
	}
	if last != probeMax {
		t.Fatalf("waits %s at last, want %s", last, probeMax)
	}
}

// TestSilentAgentGetsRetriesOnly guards against tasks that become unknown because they
// are offered to an agent that has stopped answering and is not yet declared dead, and
// against an agent that is passed over for good.
func TestSilentAgentGetsRetriesOnly(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		// offers and reports are the times of offers to the agent and of its reports.
		offers, reports []time.Duration
		at              time.Duration
		want            bool
	}{
		"never asked":               {at: time.Hour, want: true},
		"answer on its way":         {offers: []time.Duration{0, 200 * ms}, at: 299 * ms, want: true},
		"no answer":                 {offers: []time.Duration{0, 200 * ms}, at: 300 * ms, want: false},
		"answered":                  {offers: []time.Duration{0}, reports: []time.Duration{250 * ms}, at: time.Second, want: true},
		"first retry":               {offers: []time.Duration{0}, at: silentRetry, want: true},
		"after a retry":             {offers: []time.Duration{0, silentRetry}, at: 2*silentRetry - ms, want: false},
		"second retry":              {offers: []time.Duration{0, silentRetry}, at: 2 * silentRetry, want: true},
		"answered after two offers": {offers: []time.Duration{0, silentRetry}, reports: []time.Duration{silentRetry + ms}, at: silentRetry + 2*ms, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			views, _ := newViews(1)
			for _, at := range c.offers {
				views.RecordOffer(start.Add(at), node(0))
			}
			for _, at := range c.reports {
				views.Report(start.Add(at), node(0), message.Load{Slots: 10})
			}
			now := start.Add(c.at)
			_, picked := views.Pick(now, Request{Profile: proof})
			if picked != c.want || views.Available(now, node(0)) != c.want {
				t.Fatalf("picked %t, takes %t, want %t", picked, views.Available(now, node(0)), c.want)
			}
		})
	}
}
