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
	// Report is the initial state that the entry reports to control: its ID, failure
	// domain and address.
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

// Entry is the role that accepts jobs from callers. Use NewEntry.
type Entry struct {
	leasedRole
	cfg         EntryConfig
	jobs        *job.Coordinator
	lastRequest atomic.Uint64
	// records is the size of the job records in bytes, as of the last iteration of the
	// loop.
	records atomic.Int64
	// waiting and inquiries are used on the loop's goroutine only.
	waiting   map[job.RequestID]chan message.Answer
	inquiries map[job.RequestID]chan job.InquiryResult
}

// NewEntry returns an entry. Call Start to run it.
func NewEntry(cfg EntryConfig) *Entry {
	cfg.Report.Role = catalog.RoleEntry
	cfg.Report.State = catalog.Serving
	e := &Entry{
		cfg:       cfg,
		waiting:   map[job.RequestID]chan message.Answer{},
		inquiries: map[job.RequestID]chan job.InquiryResult{},
	}
	e.renewer = NewLeaseRenewer(LeaseRenewerConfig{
		Entry: cfg.Report, Replicas: cfg.Replicas, Sender: cfg.Sender,
		Clock: cfg.Clock, Log: cfg.Log,
	})
	e.jobs = job.New(job.Config{
		Self: e.renewer.Node(), Lease: e.renewer, Picker: cfg.Picker,
		Rand: cfg.Rand, Counters: cfg.Counters, Limits: cfg.Limits,
	})
	e.loop = daemon.New(daemon.Config{
		Machine: e.jobs, Sender: cfg.Sender, Clock: cfg.Clock, AfterIteration: e.deliverResults,
		Dropped: func() { cfg.Counters.Inc("mailbox_dropped", "") },
	})
	return e
}

// Start starts the entry's goroutines, which run until ctx is done. The returned
// channel is closed when all of them have returned.
func (e *Entry) Start(ctx context.Context) <-chan struct{} {
	return whenAllClosed(e.renewer.Start(ctx), e.loop.Start(ctx))
}

// LinkDown notifies the entry that the connection to a node was lost.
func (e *Entry) LinkDown(node zinniasill.NodeID) {
	e.loop.Post(func(now time.Time) { e.jobs.Disconnected(now, node) })
}

// Submit submits a job and waits for its answer. If ctx is done first, it returns ctx's
// error and the job continues.
func (e *Entry) Submit(ctx context.Context, sub message.Submission) (message.Answer, error) {
	if sub.Stamp > e.Epoch() {
		// The caller has obtained its stamp from an entry with a newer epoch. The job
		// waits until this entry has received that epoch.
		e.renewer.RenewSoon()
	}
	id := job.RequestID(e.lastRequest.Add(1))
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

// abandon removes the request of a caller that no longer waits. It waits at most a
// second for the loop, so that a busy loop cannot block the caller's goroutine.
func (e *Entry) abandon(id job.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.loop.Do(ctx, func(now time.Time) {
		delete(e.waiting, id)
		e.jobs.Abandon(now, id)
	})
}

// Status returns the status of a job. If this entry has no record of the job, it asks
// the other entries.
func (e *Entry) Status(ctx context.Context, key zinniasill.Key) (job.Status, error) {
	var status job.Status
	err := e.loop.Do(ctx, func(now time.Time) { status = e.jobs.Status(now, key) })
	if err != nil || status.Known {
		return status, err
	}
	found, err := e.inquire(ctx, key, e.jobs.FindRemote)
	return found.Status, err
}

// Cancel cancels a job at the entry that owns it. It returns false if none of the
// entries that answer owns the job.
func (e *Entry) Cancel(ctx context.Context, key zinniasill.Key) (bool, error) {
	cancelled := false
	err := e.loop.Do(ctx, func(now time.Time) { cancelled = e.jobs.Cancel(now, key) })
	if err != nil || cancelled {
		return cancelled, err
	}
	found, err := e.inquire(ctx, key, e.jobs.CancelRemote)
	return found.Cancelled, err
}

// inquire sends an inquiry to the other entries with ask and waits for the result.
func (e *Entry) inquire(
	ctx context.Context, key zinniasill.Key, ask func(time.Time, job.RequestID, zinniasill.Key),
) (job.InquiryResult, error) {
	id := job.RequestID(e.lastRequest.Add(1))
	results := make(chan job.InquiryResult, 1)
	err := e.loop.Do(ctx, func(now time.Time) {
		e.inquiries[id] = results
		ask(now, id, key)
	})
	if err != nil {
		return job.InquiryResult{}, err
	}
	// The coordinator completes every inquiry, which also removes it from the map.
	select {
	case found := <-results:
		return found, nil
	case <-ctx.Done():
		return job.InquiryResult{}, ctx.Err()
	}
}

// Epoch returns the current epoch, or 0 if none is known.
func (e *Entry) Epoch() zinniasill.Epoch {
	return e.renewer.Catalog().CurrentEpoch()
}

// Ready returns nil if the entry can accept new jobs, and otherwise an error with the
// reason why it can't.
func (e *Entry) Ready() error {
	cat, valid := e.renewer.Current(e.cfg.Clock.Now())
	switch {
	case !valid:
		return eris.New("no valid lease from control")
	case !cat.DomainInService(e.cfg.Report.Domain):
		return eris.Errorf("failure domain %s is out of service", e.cfg.Report.Domain)
	case cat.Endpoints[e.cfg.Report.Node.ID].State == catalog.Leaving:
		return eris.New("set to leaving by operators")
	default:
		return nil
	}
}

// Stop makes the entry refuse new jobs and waits until all jobs in progress are
// answered. It returns an error if ctx is done first.
func (e *Entry) Stop(ctx context.Context) error {
	e.renewer.UpdateReport(func(entry *catalog.NodeEntry) { entry.State = catalog.Leaving })
	if err := e.loop.Do(ctx, e.jobs.Drain); err != nil {
		return err
	}
	return waitFor(ctx, e.cfg.Clock, e.loop, e.jobs.Idle)
}

// deliverResults delivers answers and results of inquiries to the waiting requests. If
// the node has a new incarnation, it first restarts the coordinator under it.
func (e *Entry) deliverResults(time.Time) {
	if node, ok := e.renewer.TakeRestart(); ok {
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
