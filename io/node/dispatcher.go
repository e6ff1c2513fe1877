package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/dispatch"
	"zinniasill/core/route"
	"zinniasill/core/subset"
)

const (
	// deregistrationDelay is how long a stopping dispatcher keeps accepting requests. Load
	// balancers need two health checks, a second apart, to detect that it is not ready.
	deregistrationDelay = 2500 * time.Millisecond
	// finalReplyMargin is how long before the deadline of a graceful stop the remaining
	// jobs are answered.
	finalReplyMargin = 300 * time.Millisecond
)

// DispatcherConfig configures a Dispatcher.
type DispatcherConfig struct {
	DirectConfig
	// Compile builds the routing table from the content of a configuration document.
	Compile func(content []byte) (*route.Table, error)
	// Overload is dispatch.Config.Overload.
	Overload dispatch.OverloadPolicy
}

// Dispatcher is the entry role for direct jobs. Use NewDispatcher.
type Dispatcher struct {
	leasedRole
	cfg            DispatcherConfig
	jobs           *dispatch.Dispatcher
	catalogWatcher catalogWatcher
	table          atomic.Pointer[route.Table]
	lastRequest    atomic.Uint64
	stopping       atomic.Bool
	hold           *startHold
	// waiting is used on the loop's goroutine only.
	waiting map[dispatch.RequestID]chan dispatch.Reply
}

// NewDispatcher returns a dispatcher. Call Start to run it.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	d := &Dispatcher{
		cfg:            cfg,
		catalogWatcher: catalogWatcher{renewer: cfg.LeaseRenewer, log: cfg.Log},
		waiting:        map[dispatch.RequestID]chan dispatch.Reply{},
		hold:           newStartHold(cfg.Clock.Now()),
	}
	d.renewer = cfg.LeaseRenewer
	d.jobs = dispatch.New(dispatch.Config{
		Self: cfg.LeaseRenewer.Node(), Domain: cfg.Report.Domain, Recorder: cfg.Recorder, Counters: cfg.Counters,
		Overload: cfg.Overload,
	})
	d.loop = cfg.newLoop(d.jobs, d.afterIteration)
	return d
}

// Start starts the dispatcher's goroutines, which run until ctx is done. The returned
// channel is closed when all of them have returned.
func (d *Dispatcher) Start(ctx context.Context) <-chan struct{} {
	return whenAllClosed(d.renewer.Start(ctx), d.loop.Start(ctx))
}

// Table returns the routing table in force, or nil before the first configuration.
func (d *Dispatcher) Table() *route.Table {
	return d.table.Load()
}

// Stopping reports whether a graceful stop has begun.
func (d *Dispatcher) Stopping() bool {
	return d.stopping.Load()
}

// Submit submits a job and waits for its reply. If ctx is done first, the caller has
// disconnected and the job is abandoned.
func (d *Dispatcher) Submit(ctx context.Context, job dispatch.Job) (dispatch.Reply, error) {
	began := d.cfg.Clock.Now()
	if !job.ArrivedAt.IsZero() {
		began = job.ArrivedAt
	}
	reply, err := d.await(ctx, func(now time.Time, id dispatch.RequestID) { d.jobs.Submit(now, id, job) })
	if err == nil {
		d.cfg.Histograms.Observe("job", zinniasill.Reason(reply.Result), d.cfg.Clock.Now().Sub(began))
	}
	return reply, err
}

// await makes a request on the loop's goroutine and waits for its reply. If ctx is done first,
// the request is abandoned.
func (d *Dispatcher) await(ctx context.Context, request func(now time.Time, id dispatch.RequestID)) (dispatch.Reply, error) {
	id := dispatch.RequestID(d.lastRequest.Add(1))
	replies := make(chan dispatch.Reply, 1)
	err := d.loop.Do(ctx, func(now time.Time) {
		if ctx.Err() != nil {
			return // The caller has disconnected while the request waited.
		}
		d.waiting[id] = replies
		request(now, id)
	})
	if err == nil {
		select {
		case reply := <-replies:
			return reply, nil
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	d.loop.Post(func(now time.Time) {
		delete(d.waiting, id)
		d.jobs.Abandon(now, id)
	})
	return dispatch.Reply{}, err
}

// Cancel cancels a job that is in progress on this dispatcher or another one. It returns false
// if there is no such job, and an error if the others could not be told.
func (d *Dispatcher) Cancel(ctx context.Context, id string) (bool, error) {
	reply, err := d.await(ctx, func(now time.Time, request dispatch.RequestID) {
		if d.jobs.Cancel(now, id) {
			d.waiting[request] <- dispatch.Reply{Request: request, Result: dispatch.Cancelled}
			delete(d.waiting, request)
			return
		}
		d.jobs.AwaitCancel(request, id)
	})
	if err != nil {
		return false, err
	}
	if reply.Result == dispatch.Refused {
		return false, eris.Errorf("no other entry confirmed that job %s is cancelled", id)
	}
	return reply.Result == dispatch.Cancelled, nil
}

// Waiting returns the number of jobs in a queue that have not started.
func (d *Dispatcher) Waiting(ctx context.Context, queue string) (int, error) {
	count := 0
	err := d.loop.Do(ctx, func(time.Time) { count = d.jobs.Waiting(queue) })
	return count, err
}

// Ready returns nil if the dispatcher should get new requests, and otherwise an error
// with the reason why it should not.
func (d *Dispatcher) Ready() error {
	switch {
	case d.stopping.Load():
		return eris.New("the process is stopping")
	case d.table.Load() == nil:
		return eris.New("no configuration is known")
	default:
		return nil
	}
}

// Stop keeps accepting requests until load balancers have detected that the process is
// not ready, and then waits until all jobs are answered. Shortly before the deadline of
// ctx, the remaining jobs are answered with an unknown outcome.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.hold.release(heldUntilStop)
	d.renewer.UpdateReport(func(entry *catalog.NodeEntry) { entry.State = catalog.Leaving })
	if err := sleep(ctx, deregistrationDelay); err != nil {
		return err
	}
	end, hasEnd := ctx.Deadline()
	if hasEnd {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-finalReplyMargin))
		defer cancel()
	}
	err := waitFor(ctx, d.cfg.Clock, d.loop, d.jobs.Idle)
	if err != nil {
		d.loop.Post(d.jobs.AbortAll)
	}
	return err
}

// sleep waits for the given time. It returns ctx's error if ctx is done first.
func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// afterIteration applies configuration changes and delivers replies to the waiting
// requests.
func (d *Dispatcher) afterIteration(now time.Time) {
	if cat, ok := d.catalogWatcher.next(); ok {
		d.applyCatalog(now, cat)
	}
	d.hold.expire(now)
	d.jobs.Flush(now)
	for _, id := range d.jobs.Suspects() {
		d.cfg.Sender.Probe(id)
	}
	for _, reply := range d.jobs.Replies() {
		if replies, ok := d.waiting[reply.Request]; ok {
			delete(d.waiting, reply.Request)
			replies <- reply
		}
	}
}

// applyCatalog applies a newer catalog.
func (d *Dispatcher) applyCatalog(now time.Time, cat *catalog.Catalog) {
	members := subset.Membership{DomainsOut: map[zinniasill.Domain]bool{}}
	for _, node := range cat.Nodes {
		member := subset.Member{ID: node.Node.ID, Domain: node.Domain}
		switch node.Role {
		case catalog.RoleAgent:
			members.Agents = append(members.Agents, member)
		case catalog.RoleEntry:
			members.Entries = append(members.Entries, member)
		default:
		}
	}
	for name, domain := range cat.Domains {
		members.DomainsOut[name] = domain.State == catalog.DomainOutOfService
	}
	d.jobs.SetMembers(now, members)
	d.applyDocument(cat)
}

// applyDocument compiles a newer configuration document and puts it into force. If the
// document can't be compiled, the previous one stays in force.
func (d *Dispatcher) applyDocument(cat *catalog.Catalog) {
	doc := cat.Document
	if doc.Version <= d.Table().Version() {
		return
	}
	content, err := unpackDocument(doc.Content)
	var table *route.Table
	if err == nil {
		table, err = d.cfg.Compile(content)
	}
	if err != nil {
		d.cfg.Log.WithError(err).WithField("version", doc.Version).Error("configuration document cannot be compiled")
		d.cfg.Counters.Inc("documents_unreadable", "")
		return
	}
	d.table.Store(table)
	d.hold.release(heldUntilConfiguration)
	d.cfg.Log.WithFields(logrus.Fields{
		"version": doc.Version, "revision": cat.Revision, "bytes": len(content), "stored-bytes": len(doc.Content),
	}).Info("configuration in force")
}
