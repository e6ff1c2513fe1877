package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/resource"
	"zinniasill/core/subset"
)

// speedAgent is an agent and what it reports.
type speedAgent struct {
	// ratio and uncertainty are the reported speed, in thousandths, 0 if unknown.
	ratio, uncertainty int64
	// free is the number of tasks that the endpoint has free capacity for.
	free int64
}

const (
	speedTaskCPU = 1000
	speedSlots   = 10
)

// speedDispatcher returns a dispatcher that the agents have reported to.
func speedDispatcher(now time.Time, cfg Config, agents []speedAgent) *Dispatcher {
	cfg.Self = zinniasill.Node{ID: "entry", Incarnation: 1}
	d := New(cfg)
	var members []subset.Member
	for i := range agents {
		members = append(members, subset.Member{ID: zinniasill.NodeID(fmt.Sprintf("agent-%d", i))})
	}
	d.SetMembers(now, subset.Membership{Entries: []subset.Member{{ID: "entry"}}, Agents: members})
	for i, a := range agents {
		d.Receive(now, message.Envelope{
			Version: message.Version, From: zinniasill.Node{ID: members[i].ID},
			Body: message.Progress{Agent: 1, Entry: 1, Session: 2, SentAt: time.Millisecond, Echo: time.Millisecond, Load: message.EndpointLoad{
				Accepting: true, Kind: "text", Capacity: resource.Amount{MilliCPU: speedSlots * speedTaskCPU},
				Used: resource.Amount{MilliCPU: (speedSlots - a.free) * speedTaskCPU}, ReleaseRate: 20 * speedTaskCPU,
				Speed: message.EndpointSpeed{RunRatio: a.ratio, Uncertainty: a.uncertainty, Runs: 100},
			}},
		})
	}
	return d
}

// submitRun submits a job of one task.
func submitRun(now time.Time, d *Dispatcher, run time.Duration) {
	request := RequestID(len(d.requests) + 1)
	d.Submit(now, request, Job{
		ID: fmt.Sprint("job-", request), Kind: "text", Attempts: 1, Stretch: 1.6, Objective: 60 * time.Millisecond,
		Steps: []Step{{Count: 1, Need: resource.Amount{MilliCPU: speedTaskCPU}, Estimate: run}},
	})
}

// placedAt returns the numbers of the agents that the tasks of the jobs were assigned to, in
// order of submission, -1 for those that wait.
func placedAt(d *Dispatcher) []int {
	placed := make([]int, len(d.jobs))
	for i := range placed {
		placed[i] = -1
		if a := d.jobs[fmt.Sprint("job-", i+1)].tasks[0].agent; a != nil {
			placed[i] = slices.Index(d.sortedAgents, a)
		}
	}
	return placed
}

// TestPlacementBySpeed guards against tasks that go to slow endpoints although they would
// end sooner at fast ones, that wait for a fast one while another one is free, and against differences that are only
// errors of estimates.
func TestPlacementBySpeed(t *testing.T) {
	const (
		short, long = 50 * time.Millisecond, 900 * time.Millisecond
		certain     = 30
	)
	tests := map[string]struct {
		agents []speedAgent
		runs   []time.Duration
		// want are the agents that the tasks may be assigned to, those behind them with
		// the tasks before them assigned already.
		want [][]int
	}{
		"long to the fast": {
			[]speedAgent{{1700, certain, 8}, {700, certain, 3}, {700, certain, 0}},
			[]time.Duration{long},
			[][]int{{1}},
		},
		"unknown is the median": {
			[]speedAgent{{1700, certain, 8}, {0, 0, 3}, {700, certain, 0}, {700, certain, 0}},
			[]time.Duration{long},
			[][]int{{1}},
		},
		"within the uncertainty": {
			[]speedAgent{{1300, 150, 8}, {1000, 150, 3}, {1000, 150, 3}},
			[]time.Duration{long},
			[][]int{{0}},
		},
		"beyond the uncertainty": {
			[]speedAgent{{1300, certain, 8}, {1000, certain, 3}, {1000, certain, 0}},
			[]time.Duration{long},
			[][]int{{1}},
		},
		"free and in time": {
			[]speedAgent{{1400, certain, 4}, {700, certain, 0}, {700, certain, 0}},
			[]time.Duration{long, short},
			[][]int{{0}, {0}},
		},
		"free although late": {
			[]speedAgent{{1900, certain, 4}, {700, certain, 0}, {700, certain, 0}},
			[]time.Duration{long, short},
			[][]int{{0}, {0}},
		},
		"short leaves the fast": {
			[]speedAgent{{1700, certain, 1}, {700, certain, 1}, {700, certain, 0}},
			[]time.Duration{short},
			[][]int{{0}},
		},
		"short takes the fast while there are many": {
			[]speedAgent{{1700, certain, 9}, {700, certain, 5}, {700, certain, 3}},
			[]time.Duration{short},
			[][]int{{1}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := speedDispatcher(now, Config{}, tt.agents)
			for _, run := range tt.runs {
				now = now.Add(time.Millisecond)
				submitRun(now, d, run)
			}
			d.placeWaiting(now)
			for i, at := range placedAt(d) {
				if !slices.Contains(tt.want[i], at) {
					t.Errorf("task %d of %v placed at %d, want one of %v", i, tt.runs[i], at, tt.want[i])
				}
			}
		})
	}
}
