package dispatch

import (
	"fmt"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// warmupTest is a dispatcher with ten agents. Those that report have no free capacity.
type warmupTest struct {
	*memberTest
	ids []zinniasill.NodeID
}

func newWarmupTest() *warmupTest {
	w := &warmupTest{memberTest: &memberTest{
		Dispatcher: New(Config{Overload: RefuseLate, Self: zinniasill.Node{ID: "entry", Incarnation: 1}}), now: time.Unix(1000, 0),
	}}
	for i := range 10 {
		w.ids = append(w.ids, zinniasill.NodeID(fmt.Sprintf("agent-%d", i)))
	}
	w.setAgents(w.ids...)
	return w
}

// reportFull delivers reports from the first agents, whose endpoints are full.
func (w *warmupTest) reportFull(count int) {
	capacity := resource.Amount{MilliCPU: 10_000, MemoryMB: 1000}
	for _, id := range w.ids[:count] {
		w.sent += time.Millisecond
		w.Receive(w.now, message.Envelope{
			Version: message.Version, From: zinniasill.Node{ID: id},
			Body: message.Progress{
				Agent: 1, Entry: 1, Session: w.agents[id].session, SentAt: w.sent, Echo: w.sent,
				Load: message.EndpointLoad{
					Accepting: true, Kind: "text", Capacity: capacity, Used: resource.Amount{MilliCPU: 10_000}, ReleaseRate: 5000,
				},
			},
		})
	}
	w.Flush(w.now)
}

// TestWarmup guards against jobs that are refused on the basis of a few reports although the
// other agents are about to report, and against jobs that are accepted for agents that are
// not, or whose reports would come too late.
func TestWarmup(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *warmupTest)
		held    time.Duration // before the job is submitted
		want    bool
	}{
		"few reports after the start":  {func(w *warmupTest) { w.reportFull(2) }, 0, true},
		"no report yet":                {func(w *warmupTest) { w.advance(500 * time.Millisecond) }, 0, true},
		"no report within the warm-up": {func(w *warmupTest) { w.advance(warmupTimeout) }, 0, false},
		"all have reported":            {func(w *warmupTest) { w.reportFull(10) }, 0, false},
		"nearly all have reported":     {func(w *warmupTest) { w.reportFull(9) }, 0, false},
		"few reports for long": {func(w *warmupTest) {
			for range 12 {
				w.reportFull(2)
				w.advance(100 * time.Millisecond)
			}
			w.reportFull(2)
		}, 0, false},
		"few reports after the loss of all": {func(w *warmupTest) {
			w.reportFull(10)
			w.advance(3 * time.Second)
			w.reportFull(2)
		}, 0, true},
		"loss of a part": {func(w *warmupTest) {
			w.reportFull(10)
			for range 30 {
				w.reportFull(2)
				w.advance(100 * time.Millisecond)
			}
			w.reportFull(2)
		}, 0, false},
		"the others are out of service": {func(w *warmupTest) {
			w.reportFull(2)
			for _, id := range w.ids[2:] {
				w.agents[id].domain = "out"
			}
			w.domainsOut = map[zinniasill.Domain]bool{"out": true}
		}, 0, false},
		"answer no longer useful": {func(w *warmupTest) { w.reportFull(2) }, 350 * time.Millisecond, false},
		"long backlog": {func(w *warmupTest) {
			w.reportFull(2)
			for i := range 200 {
				w.Submit(w.now, RequestID(1000+i), warmupJob(fmt.Sprint("earlier-", i)))
			}
		}, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWarmupTest()
			tt.prepare(w)
			w.Replies()
			job := warmupJob("job")
			job.ArrivedAt = w.now.Add(-tt.held)
			w.Submit(w.now, 1, job)
			if _, accepted := w.jobs["job"]; accepted != tt.want {
				t.Errorf("job accepted: %t, want %t", accepted, tt.want)
			}
		})
	}
}

// warmupJob returns a job whose answer is useful for 3 x 156 ms.
func warmupJob(id string) Job {
	return Job{
		ID: id, Kind: "text", Attempts: 1, Stretch: 1.6, Objective: 60 * time.Millisecond,
		Steps: []Step{{Count: 4, Need: resource.Amount{MilliCPU: 2000}, Estimate: 60 * time.Millisecond}},
	}
}

// TestWarmupEnds guards against a job that waits for agents which never report, and is not
// answered while its caller waits.
func TestWarmupEnds(t *testing.T) {
	w := newWarmupTest()
	w.reportFull(2)
	w.Submit(w.now, 1, warmupJob("job"))
	for range 5 {
		w.advance(100 * time.Millisecond)
		w.reportFull(2)
	}
	replies := w.Replies()
	if len(replies) != 1 || replies[0].Result != Refused {
		t.Errorf("replies %+v, want one refusal", replies)
	}
}
