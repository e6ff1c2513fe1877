package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/job"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

// EntryConfig configures an Entry.
type EntryConfig struct {
	// Report is what the entry reports to control: id, domain and address.
	Report   catalog.NodeEntry
	Replicas []zinniasill.NodeID
	Sender   daemon.Sender
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	Log      logrus.FieldLogger
	Picker   zinniasill.Picker
	Rand     *rand.Rand
	Limits   job.Limits
}

// Entry is the role that takes jobs from callers. Use NewEntry.
type Entry struct {
	leasedRole
	cfg  EntryConfig
	jobs *job.Coordinator
	last atomic.Uint64
	// records is the size of the records after the last step.
	records atomic.Int64
	// waiting and inquiries are used on the loop's goroutine only.
	waiting   map[job.RequestID]chan message.Answer
	inquiries map[job.RequestID]chan job.InquiryResult
}

// NewEntry returns an entry that has not started.
func NewEntry(cfg EntryConfig) *Entry {
	cfg.Report.Role = catalog.RoleEntry
	cfg.Report.State = catalog.Serving
	e := &Entry{
		cfg:       cfg,
		waiting:   map[job.RequestID]chan message.Answer{},
		inquiries: map[job.RequestID]chan job.InquiryResult{},
	}
	e.keeper = NewLeaseRenewer(LeaseRenewerConfig{
		Entry: cfg.Report, Replicas: cfg.Replicas, Sender: cfg.Sender,
		Clock: cfg.Clock, Log: cfg.Log,
	})
	e.jobs = job.New(job.Config{
		Self: e.keeper.Node(), Lease: e.keeper, Picker: cfg.Picker,
		Rand: cfg.Rand, Counters: cfg.Counters, Limits: cfg.Limits,
	})
	e.loop = daemon.New(daemon.Config{
		Machine: e.jobs, Sender: cfg.Sender, Clock: cfg.Clock, AfterIteration: e.deliverReplies,
		Dropped: func() { cfg.Counters.Inc("mailbox_dropped", "") },
	})
	return e
}

// Start starts the entry's goroutines. The returned channel is closed when all
// have ended, after ctx has ended.
func (e *Entry) Start(ctx context.Context) <-chan struct{} {
	return joined(e.keeper.Start(ctx), e.loop.Start(ctx))
}

// LinkDown tells the entry that the link to a node was lost.
func (e *Entry) LinkDown(node zinniasill.NodeID) {
	e.loop.Post(func(now time.Time) { e.jobs.Disconnected(now, node) })
}

// Submit hands in a job and waits for its answer. When ctx ends first, the job
// goes on and ctx's error is returned.
func (e *Entry) Submit(ctx context.Context, sub message.Submission) (message.Answer, error) {
	if sub.Stamp > e.Epoch() {
		// Another entry has told the caller of a newer epoch. The job waits for it.
		e.keeper.RenewSoon()
	}
	id := job.RequestID(e.last.Add(1))
	answers := make(chan message.Answer, 1)
	err := e.loop.Do(ctx, func(now time.Time) {
		e.waiting[id] = answers
		e.jobs.Submit(now, id, sub)
	})
	if err != nil {
		e.abandon(id)
		return message.Answer{}, err
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		e.abandon(id)
		return message.Answer{}, ctx.Err()
	}
}

// abandon forgets a caller that went away. It waits for the loop at most as long
// as a busy loop takes.
func (e *Entry) abandon(id job.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.loop.Do(ctx, func(now time.Time) {
		delete(e.waiting, id)
		e.jobs.Abandon(now, id)
	})
}

// Status returns what this entry or, if it has no record of the job, any other entry
// knows of it.
func (e *Entry) Status(ctx context.Context, key zinniasill.Key) (job.Status, error) {
	var status job.Status
	err := e.loop.Do(ctx, func(now time.Time) { status = e.jobs.Status(now, key) })
	if err != nil || status.Known {
		return status, err
	}
	found, err := e.inquire(ctx, key, e.jobs.FindRemote)
	return found.Status, err
}

// Cancel cancels a job at the entry that owns it. It returns false when no entry
// that answers does.
func (e *Entry) Cancel(ctx context.Context, key zinniasill.Key) (bool, error) {
	cancelled := false
	err := e.loop.Do(ctx, func(now time.Time) { cancelled = e.jobs.Cancel(now, key) })
	if err != nil || cancelled {
		return cancelled, err
	}
	found, err := e.inquire(ctx, key, e.jobs.CancelRemote)
	return found.Cancelled, err
}

// inquire asks the other entries and waits for the result.
func (e *Entry) inquire(
	ctx context.Context, key zinniasill.Key, ask func(time.Time, job.RequestID, zinniasill.Key),
) (job.InquiryResult, error) {
	id := job.RequestID(e.last.Add(1))
	results := make(chan job.InquiryResult, 1)
	err := e.loop.Do(ctx, func(now time.Time) {
		e.inquiries[id] = results
		ask(now, id, key)
	})
	if err != nil {
		return job.InquiryResult{}, err
	}
	// The coordinator ends every inquiry, so that the entry in the map goes too.
	select {
	case found := <-results:
		return found, nil
	case <-ctx.Done():
		return job.InquiryResult{}, ctx.Err()
	}
}

// Epoch returns the current epoch, 0 if none is known.
func (e *Entry) Epoch() zinniasill.Epoch {
	return e.keeper.Catalog().CurrentEpoch()
}

// Ready returns an error that says why the entry should get no new jobs.
func (e *Entry) Ready() error {
	cat, valid := e.keeper.Current(e.cfg.Clock.Now())
	switch {
	case !valid:
		return eris.New("no valid lease from control")
	case !cat.DomainInService(e.cfg.Report.Domain):
		return eris.Errorf("failure domain %s is out of service", e.cfg.Report.Domain)
	case cat.Endpoints[e.cfg.Report.Node.ID].State == catalog.Leaving:
		return eris.New("told to leave by operators")
	default:
		return nil
	}
}

// Stop refuses new jobs and waits until those in flight have their answers, or
// until ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.keeper.UpdateReport(func(entry *catalog.NodeEntry) { entry.State = catalog.Leaving })
	if err := e.loop.Do(ctx, e.jobs.Drain); err != nil {
		return err
	}
	return waitFor(ctx, e.cfg.Clock, e.loop, e.jobs.Idle)
}

// deliverReplies hands the answers to the waiting requests, after the entry has
// taken a new incarnation if there is one.
func (e *Entry) deliverReplies(time.Time) {
	if node, ok := e.keeper.TakeRestart(); ok {
		e.jobs.Restart(node)
	}
	e.records.Store(int64(e.jobs.RecordBytes()))
	for _, reply := range e.jobs.Replies() {
		if answers, ok := e.waiting[reply.Request]; ok {
			delete(e.waiting, reply.Request)
			answers <- reply.Answer
		}
	}
	for _, found := range e.jobs.InquiryResults() {
		if results, ok := e.inquiries[found.Request]; ok {
			delete(e.inquiries, found.Request)
			results <- found
		}
	}
}
