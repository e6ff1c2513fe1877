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
	// Claims are the messages about claims. Packets counts the messages of one node
	// to another that leave at the same moment once.
	Claims, Packets int
	// Counts are the counters of the state machines by name and reason.
	Counts map[string]int

	work     []map[int]time.Duration
	outAt    map[int]time.Time
	offered  map[string]bool
	world    *world
	inOrder  []time.Duration
	small    []time.Duration
	finishes []finish
	refusals []time.Duration
}

// finish is one complete answer.
type finish struct {
	at       time.Duration
	response time.Duration
	team     int
	work     time.Duration
}

func newResult(domains int) *Result {
	r := &Result{Counts: map[string]int{}, outAt: map[int]time.Time{}, offered: map[string]bool{}}
	for range domains {
		r.work = append(r.work, map[int]time.Duration{})
	}
	return r
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
	if isClaim(body) {
		r.Claims++
	}
	if r.wasted(body) {
		r.Wasted++
	}
}

func isClaim(body any) bool {
	switch m := body.(type) {
	case message.ClaimFast, message.ClaimPrepare, message.ClaimAccept, message.ClaimRead, message.ClaimReply:
		return true
	case message.Bundle:
		return slices.ContainsFunc(m.Bodies, isClaim)
	default:
		return false
	}
}

// wasted reports whether a message was wasted. A bundle is when all its parts are.
func (r *Result) wasted(body any) bool {
	wasted := false
	switch m := body.(type) {
	case message.Bundle:
		wasted = true
		for _, part := range m.Bodies {
			// Each part must be looked at, since offers are recorded.
			wasted = r.wasted(part) && wasted
		}
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
	return wasted
}

func allClosed(tasks []message.TaskStatus) bool {
	return !slices.ContainsFunc(tasks, func(s message.TaskStatus) bool { return s.State != message.TaskClosed })
}

// started records the start of a task.
func (r *Result) started(n *agentNode, now time.Time, task zinniasill.Task) {
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
}

// finished adds the work of a task to the buckets that it ran in.
func (r *Result) finished(n *agentNode, now time.Time, run time.Duration) {
	if n.failing {
		return
	}
	from := now.Sub(epochStart) - warmUp - run
	for run > 0 {
		bucket := int(from / workBucket)
		part := min(run, time.Duration(bucket+1)*workBucket-from)
		r.work[n.domain][bucket] += part
		from += part
		run -= part
	}
}

// collect judges the answers at the end of a run.
func (r *Result) collect(w *world) {
	r.world = w
	var completed []arrival
	for _, record := range w.jobs {
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
			r.complete(record)
			completed = append(completed, record.arrival)
		default:
			r.refuse(record, started)
		}
	}
	slots := w.cfg.Agents * w.cfg.Slots
	r.inOrder = idealInOrder(completed, slots)
	r.small = idealSmallFirst(completed, slots)
}

func (r *Result) complete(record *jobRecord) {
	r.Completed++
	r.Tasks += len(record.tasks)
	done := finish{at: record.done, response: record.done - record.at, team: record.team}
	for _, run := range record.tasks {
		done.work += run
	}
	r.finishes = append(r.finishes, done)
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
	if !record.cancelled {
		r.refusals = append(r.refusals, record.done-record.at)
	}
	if started {
		r.FalseRefusals++
	}
}

// Ratio returns a quantile of the response times of completed jobs divided by the
// same quantile of the ideal queue, which serves them in the order of arrival.
func (r *Result) Ratio(q float64) float64 {
	return part(r.Response(q), quantile(r.inOrder, q))
}

// RatioSmallFirst is the ratio to an ideal queue that serves small jobs first.
func (r *Result) RatioSmallFirst(q float64) float64 {
	return part(r.Response(q), quantile(r.small, q))
}

func part(value, base time.Duration) float64 {
	if base == 0 {
		return math.NaN()
	}
	return float64(value) / float64(base)
}

// Response returns a quantile of the response times of completed jobs.
func (r *Result) Response(q float64) time.Duration {
	return r.ResponseOf(q, func(int) bool { return true })
}

// ResponseOf is Response of the jobs of some teams.
func (r *Result) ResponseOf(q float64, of func(team int) bool) time.Duration {
	var times []time.Duration
	for _, done := range r.finishes {
		if of(done.team) {
			times = append(times, done.response)
		}
	}
	return quantile(times, q)
}

// Refusal returns a quantile of the response times of refused jobs that were not
// cancelled.
func (r *Result) Refusal(q float64) time.Duration {
	return quantile(r.refusals, q)
}

// Goodput returns the work of the jobs that completed between two times as a part
// of what all slots can do.
func (r *Result) Goodput(from, to time.Duration) float64 {
	var sum time.Duration
	for _, done := range r.finishes {
		if done.at >= from && done.at < to {
			sum += done.work
		}
	}
	return float64(sum) / (float64(to-from) * float64(r.world.cfg.Agents*r.world.cfg.Slots))
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
// slots could do. What is done beyond that in one bucket does not make up for
// another one.
func (r *Result) Work(from, to time.Duration, slots int) float64 {
	sum := 0.0
	buckets := 0
	for at := from; at < to; at += workBucket {
		sum += min(r.WorkAt(at), float64(slots))
		buckets++
	}
	return sum / float64(buckets*slots)
}

// WorkAt returns the work done in the bucket that begins at a time, in slots.
func (r *Result) WorkAt(at time.Duration) float64 {
	var sum time.Duration
	for _, domain := range r.work {
		sum += domain[int(at/workBucket)]
	}
	return float64(sum) / float64(workBucket)
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(at, 0), len(sorted)-1)]
}
