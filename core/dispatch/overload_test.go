package dispatch

import (
	"fmt"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/overload"
	"zinniasill/core/resource"
	"zinniasill/core/subset"
)

// overloadTest is a dispatcher with agents of 10 cores each, whose free capacity the test
// sets.
type overloadTest struct {
	*Dispatcher
	now  time.Time
	sent time.Duration
}

func newOverloadTest(policy OverloadPolicy, agents int) *overloadTest {
	o := &overloadTest{
		Dispatcher: New(Config{Self: zinniasill.Node{ID: "entry", Incarnation: 1}, Overload: policy}),
		now:        time.Unix(1000, 0),
	}
	members := subset.Membership{Entries: []subset.Member{{ID: "entry"}}}
	for i := range agents {
		members.Agents = append(members.Agents, subset.Member{ID: zinniasill.NodeID(fmt.Sprintf("agent-%d", i))})
	}
	o.SetMembers(o.now, members)
	o.report(0)
	return o
}

// report delivers a report from each agent, which uses a part of its 10 cores and has
// processed all commands.
func (o *overloadTest) report(used int64) {
	o.sent += time.Millisecond
	for _, a := range o.sortedAgents {
		o.Receive(o.now, message.Envelope{
			Version: message.Version, From: zinniasill.Node{ID: a.id},
			Body: message.Progress{
				Agent: 1, Entry: 1, Session: a.session, SentAt: o.sent, Echo: o.sent, Received: a.out.Last(),
				Load: message.EndpointLoad{
					Accepting: true, Kind: "text", Capacity: resource.Amount{MilliCPU: 10_000, MemoryMB: 1000},
					Used: resource.Amount{MilliCPU: used}, ReleaseRate: 10_000,
				},
			},
		})
	}
	o.Flush(o.now)
}

// pass passes time, while the agents report that they use a part of their cores.
func (o *overloadTest) pass(length time.Duration, used int64) {
	for end := o.now.Add(length); o.now.Before(end); {
		o.now = o.now.Add(10 * time.Millisecond)
		o.Tick(o.now)
		o.report(used)
	}
}

// submit submits a job of tasks of 1 core and 100 ms, with a slack of 160 ms.
func (o *overloadTest) submit(id string, tasks, priority int) {
	o.Submit(o.now, RequestID(len(id)*1000+len(o.jobs)+int(o.assignment)+1), Job{
		ID: id, Kind: "text", Attempts: 1, Stretch: 2, Objective: 60 * time.Millisecond, Priority: priority,
		AnswerWithin: 700 * time.Millisecond,
		Steps:        []Step{{Count: tasks, Need: resource.Amount{MilliCPU: 1000}, Estimate: 100 * time.Millisecond}},
	})
	o.Flush(o.now)
}

// TestDeferredJob guards against a job that is refused although it can be served late, and
// against one that waits although it cannot.
func TestDeferredJob(t *testing.T) {
	tests := map[string]struct {
		policy OverloadPolicy
		// before is the use of each agent, in thousandths of a core, before all of it is used.
		before int64
		want   string
	}{
		"spare capacity before":       {DeferLate, 2000, "deferred"},
		"no spare capacity before":    {DeferLate, 10_000, "refused"},
		"late jobs are to be refused": {RefuseLate, 2000, "refused"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := newOverloadTest(tt.policy, 2)
			o.pass(2*time.Second, tt.before)
			o.report(10_000)
			// Two agents that release 10 cores a second each let 4 tasks start in 200 ms.
			o.submit("job", 4, 0)
			j := o.jobs["job"]
			got := "refused"
			if j != nil {
				got = j.class.String()
			}
			if got != tt.want {
				t.Errorf("the job is %s, want %s", got, tt.want)
			}
			if replies := o.Replies(); (len(replies) == 1 && replies[0].Result == Refused && replies[0].RetryAfter > 0) != (j == nil) {
				t.Errorf("replies %+v", replies)
			}
		})
	}
}

// TestDeferredPlacedAsWhole guards against a deferred job that begins with a part of its
// tasks, which then precede on-time work.
func TestDeferredPlacedAsWhole(t *testing.T) {
	o := newOverloadTest(DeferLate, 2)
	o.pass(2*time.Second, 2000)
	o.report(10_000)
	o.submit("job", 4, 0)
	j := o.jobs["job"]
	if j == nil || j.class != overload.Deferred {
		t.Fatalf("the job is not deferred: %+v", j)
	}
	o.pass(100*time.Millisecond, 9000)
	if j.begun {
		t.Error("the job has begun with 2 of 4 cores free")
	}
	o.pass(20*time.Millisecond, 8000)
	for _, task := range j.tasks {
		if task.agent == nil {
			t.Error("a task was not placed with 4 cores free")
		}
	}
}

// TestLargeDeferredJob guards against a deferred job that waits for more capacity than is ever
// free at once, and against tasks that are lost when a part of a job is placed.
func TestLargeDeferredJob(t *testing.T) {
	o := newOverloadTest(DeferLate, 1)
	o.pass(time.Second, 0)
	o.report(10_000)
	j := newJob(o.now, 1, Job{
		ID: "job", Kind: "text", Attempts: 1, Stretch: 2, Objective: time.Second,
		Steps: []Step{{Count: 8, Need: resource.Amount{MilliCPU: 1000}, Estimate: 100 * time.Millisecond}},
	})
	j.class, j.locked = overload.Deferred, true
	o.jobs[j.ID] = j
	o.begin(o.now, j)
	o.report(5000)
	o.Tick(o.now.Add(5 * time.Millisecond))
	o.Flush(o.now.Add(5 * time.Millisecond))
	placed := 0
	for _, task := range j.tasks {
		if task.agent != nil {
			placed++
		}
	}
	if placed < 5 || placed+len(o.unplaced) != 8 {
		t.Errorf("%d tasks are placed and %d wait, want 5 or more and the rest", placed, len(o.unplaced))
	}
}

// TestTooLateJobIsRefused guards against a job that waits although it has become too late,
// and against a refusal that is not true.
func TestTooLateJobIsRefused(t *testing.T) {
	tests := map[string]struct {
		mayHaveRun bool
		want       int // replies after the loss of the capacity
	}{
		"has not run":  {false, 1},
		"may have run": {true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := newOverloadTest(DeferLate, 2)
			o.pass(2*time.Second, 2000)
			o.report(10_000)
			o.submit("job", 4, 0)
			j := o.jobs["job"]
			if j == nil {
				t.Fatal("the job was refused")
			}
			j.mayHaveRun = tt.mayHaveRun
			o.sortedAgents[0].inUse = false
			o.overload.spare = overload.Average{}
			o.overload.spare.Observe(o.now, 0, spareHalfLife)
			o.overload.classifiedAt = time.Time{}
			o.pass(20*time.Millisecond, 10_000)
			replies := o.Replies()
			if len(replies) != tt.want {
				t.Fatalf("replies %+v, want %d", replies, tt.want)
			}
			if tt.want == 1 && replies[0].Result != Refused {
				t.Errorf("reply %+v, want refused", replies[0])
			}
		})
	}
}

// TestUsefulFor guards against jobs that wait longer than their callers, and against a limit
// below the objective, which would refuse jobs that could be on time.
func TestUsefulFor(t *testing.T) {
	tests := map[string]struct {
		policy  OverloadPolicy
		within  time.Duration
		present time.Duration
	}{
		"no limit":            {DeferLate, 0, 780 * time.Millisecond},
		"limit":               {DeferLate, 500 * time.Millisecond, 500 * time.Millisecond},
		"beyond useful":       {DeferLate, time.Minute, 780 * time.Millisecond},
		"below the objective": {DeferLate, 100 * time.Millisecond, 260 * time.Millisecond},
		"former policy":       {RefuseLate, 500 * time.Millisecond, 780 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(Config{Overload: tt.policy})
			j := newJob(time.Unix(1000, 0), 1, Job{
				Stretch: 2, Objective: 60 * time.Millisecond, AnswerWithin: tt.within,
				Steps: []Step{{Count: 1, Estimate: 100 * time.Millisecond}},
			})
			if got := d.usefulFor(j); got != tt.present {
				t.Errorf("useful for %v, want %v", got, tt.present)
			}
		})
	}
}

// TestDeclinedDeferredJob guards against a deferred job that precedes on-time work because
// agents that had no free capacity have declined it.
func TestDeclinedDeferredJob(t *testing.T) {
	o := newOverloadTest(DeferLate, 2)
	o.pass(2*time.Second, 2000)
	o.report(10_000)
	o.submit("job", 2, 0)
	j := o.jobs["job"]
	if j == nil {
		t.Fatal("the job was refused")
	}
	j.class = overload.Deferred
	o.pass(20*time.Millisecond, 0)
	if !j.begun {
		t.Fatal("the job was not placed")
	}
	for _, task := range j.tasks {
		o.update(o.now, task.agent, message.TaskUpdate{
			Assignment: task.assignment, State: message.RunReturned, Reason: zinniasill.ReasonOverload,
		})
	}
	if j.begun || len(o.unplaced) != 2 {
		t.Errorf("begun %v with %d waiting tasks, want false with 2", j.begun, len(o.unplaced))
	}
}

// BenchmarkOverloadedArrival measures the arrival of a job while 400 tasks wait.
func BenchmarkOverloadedArrival(b *testing.B) {
	for name, policy := range map[string]OverloadPolicy{"defer": DeferLate, "refuse": RefuseLate} {
		b.Run(name, func(b *testing.B) {
			o := newOverloadTest(policy, 24)
			o.pass(2*time.Second, 2000)
			o.report(10_000)
			for i := range 100 {
				j := newJob(o.now, RequestID(i+1), Job{
					ID: fmt.Sprint("job-", i), Kind: "text", Attempts: 1, Stretch: 2, Objective: time.Minute, Priority: i % 3,
					Steps: []Step{{Count: 4, Need: resource.Amount{MilliCPU: 1000}, Estimate: 100 * time.Millisecond}},
				})
				o.jobs[j.ID] = j
				j.taken = true
				o.unplaced = append(o.unplaced, j.tasks...)
			}
			for i := range b.N {
				o.Submit(o.now, RequestID(i+1000), Job{
					ID: "new", Kind: "text", Attempts: 1, Stretch: 2, Priority: 2,
					Steps: []Step{{Count: 4, Need: resource.Amount{MilliCPU: 1000}, Estimate: 100 * time.Millisecond}},
				})
				o.Replies()
			}
		})
	}
}

// BenchmarkOverloadedPass measures a placement pass with a classification of 400 waiting
// tasks.
func BenchmarkOverloadedPass(b *testing.B) {
	for name, policy := range map[string]OverloadPolicy{"defer": DeferLate, "refuse": RefuseLate} {
		b.Run(name, func(b *testing.B) {
			o := newOverloadTest(policy, 24)
			o.pass(2*time.Second, 2000)
			o.report(10_000)
			for i := range 100 {
				j := newJob(o.now, RequestID(i+1), Job{
					ID: fmt.Sprint("job-", i), Kind: "text", Attempts: 1, Stretch: 2, Objective: time.Minute, Priority: i % 3,
					Steps: []Step{{Count: 4, Need: resource.Amount{MilliCPU: 1000}, Estimate: 100 * time.Millisecond}},
				})
				o.jobs[j.ID] = j
				j.taken = true
				o.unplaced = append(o.unplaced, j.tasks...)
			}
			for b.Loop() {
				o.overload.classifiedAt = time.Time{}
				o.placeWaiting(o.now)
			}
		})
	}
}
