package servemodel

import (
	"bytes"
	"math"
	"slices"
	"strconv"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// startBound is the time after which no task may start in a domain that was
// taken out of service.
const startBound = 3 * time.Second

// workBucket is the width of the time buckets in which done work is summed.
const workBucket = 100 * time.Millisecond

// Result is what a run observed.
type Result struct {
	// Jobs, Completed, Refused, Failed and Unanswered count jobs.
	Jobs, Completed, Refused, Failed, Unanswered int
	// Tasks counts the tasks of completed jobs, Starts all starts.
	Tasks, Starts int
	// Doubled counts tasks that started more than once, Partial answers that were
	// not whole, and FalseRefusals not-run answers to jobs of which a task started.
	Doubled, Partial, FalseRefusals int
	// LateStarts counts starts in a domain more than 3 s after it was taken out.
	LateStarts int
	// Messages counts the messages that were sent, Wasted those about attempts that
	// did not start and repeated offers.
	Messages, Wasted int
	// Counts are the counters of the state machines by name and reason.
	Counts map[string]int

	ideal     []time.Duration
	responses []time.Duration
	ideals    []time.Duration
	refusals  []time.Duration
	work      map[int]time.Duration
	outAt     map[int]time.Time
	offered   map[string]bool
	world     *world
}

func newResult() *Result {
	return &Result{
		Counts:  map[string]int{},
		work:    map[int]time.Duration{},
		outAt:   map[int]time.Time{},
		offered: map[string]bool{},
	}
}

// Inc implements zinniasill.Counters.
func (r *Result) Inc(name string, reason zinniasill.Reason) {
	if reason != "" {
		name += " " + string(reason)
	}
	r.Counts[name]++
}

// countMessage counts a message and whether it was wasted.
func (r *Result) countMessage(body any) {
	r.Messages++
	wasted := false
	switch m := body.(type) {
	case message.Offer:
		wasted = true
		for _, task := range m.Tasks {
			id := m.Key.String() + "/" + strconv.Itoa(int(task.Ref.Index)) + "/" + strconv.Itoa(int(task.Ref.Attempt))
			wasted = wasted && r.offered[id]
			r.offered[id] = true
		}
	case message.OfferReply:
		wasted = allClosed(m.Tasks)
	case message.Withdraw, message.WithdrawReply:
		wasted = true
	case message.Result:
		wasted = allClosed(m.Tasks)
	}
	if wasted {
		r.Wasted++
	}
}

func allClosed(tasks []message.TaskStatus) bool {
	return !slices.ContainsFunc(tasks, func(s message.TaskStatus) bool { return s.State != message.TaskClosed })
}

// started records the start of a task and the work that it will do.
func (r *Result) started(n *agentNode, now time.Time, task zinniasill.Task, run time.Duration) {
	index, err := strconv.Atoi(task.Key.Client)
	if err != nil {
		panic("servemodel: key of a job is not its number: " + task.Key.Client)
	}
	r.Starts++
	record := n.world.jobs[index]
	record.starts[task.Index]++
	if out, ok := r.outAt[n.domain]; ok && now.Sub(out) > startBound {
		r.LateStarts++
	}
	if !n.failing {
		r.spread(now.Sub(time.Unix(0, 0))-warmUp, run)
	}
}

// spread adds the work of a task to the buckets that it runs in.
func (r *Result) spread(from, run time.Duration) {
	for run > 0 {
		bucket := int(from / workBucket)
		part := min(run, time.Duration(bucket+1)*workBucket-from)
		r.work[bucket] += part
		from += part
		run -= part
	}
}

// collect judges the answers at the end of a run.
func (r *Result) collect(w *world) {
	r.world = w
	for i, record := range w.jobs {
		r.Jobs++
		started := false
		for _, starts := range record.starts {
			started = started || starts > 0
			if starts > 1 {
				r.Doubled++
			}
		}
		switch {
		case record.answer == nil:
			r.Unanswered++
		case record.answer.Complete:
			r.complete(i, record)
		default:
			r.refuse(record, started)
		}
	}
}

func (r *Result) complete(i int, record *jobRecord) {
	r.Completed++
	r.Tasks += len(record.tasks)
	r.responses = append(r.responses, record.done-record.at)
	r.ideals = append(r.ideals, r.ideal[i])
	whole := len(record.answer.Outputs) == len(record.tasks)
	for t, output := range record.answer.Outputs {
		whole = whole && bytes.Equal(output, append(encodeRunTime(record.tasks[t]), record.key.Client...))
	}
	if !whole {
		r.Partial++
	}
}

func (r *Result) refuse(record *jobRecord, started bool) {
	if record.answer.Ran != zinniasill.NotRun {
		r.Failed++
		return
	}
	r.Refused++
	r.refusals = append(r.refusals, record.done-record.at)
	if started {
		r.FalseRefusals++
	}
}

// Ratio returns a quantile of the response times of completed jobs divided by the
// same quantile of their ideal response times.
func (r *Result) Ratio(q float64) float64 {
	base := quantile(r.ideals, q)
	if base == 0 {
		return math.NaN()
	}
	return float64(quantile(r.responses, q)) / float64(base)
}

// Response returns a quantile of the response times of completed jobs.
func (r *Result) Response(q float64) time.Duration {
	return quantile(r.responses, q)
}

// Refusal returns a quantile of the response times of refused jobs.
func (r *Result) Refusal(q float64) time.Duration {
	return quantile(r.refusals, q)
}

// MessagesPerTask returns the messages for each started task.
func (r *Result) MessagesPerTask() float64 {
	return float64(r.Messages) / float64(max(r.Starts, 1))
}

// WastedPart returns the part of the messages that were wasted.
func (r *Result) WastedPart() float64 {
	return float64(r.Wasted) / float64(max(r.Messages, 1))
}

// Work returns the work done between two times as a part of what a number of
// slots could do.
func (r *Result) Work(from, to time.Duration, slots int) float64 {
	var sum time.Duration
	for bucket := int(from / workBucket); bucket < int(to/workBucket); bucket++ {
		sum += r.work[bucket]
	}
	return float64(sum) / (float64(to-from) * float64(slots))
}

// WorkIn returns the work done in the bucket that begins at a time, in slots.
func (r *Result) WorkIn(at time.Duration) float64 {
	return float64(r.work[int(at/workBucket)]) / float64(workBucket)
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(at, 0), len(sorted)-1)]
}
