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
)

const (
	// lingerTime is how long a stopping dispatcher goes on taking requests: load
	// balancers need two looks, a second apart, to see that it is not ready.
	lingerTime = 2500 * time.Millisecond
	// lastAnswers is the time before the end of a graceful stop at which jobs that are
	// still in progress are answered.
	lastAnswers = 300 * time.Millisecond
)

// DispatcherConfig configures a Dispatcher.
type DispatcherConfig struct {
	DirectConfig
	// Compile reads a document of the configuration.
	Compile func(content []byte) (*route.Table, error)
}

// Dispatcher is the role of an entry for jobs that are answered at their end. Use
// NewDispatcher.
type Dispatcher struct {
	leasedRole
	cfg      DispatcherConfig
	jobs     *dispatch.Dispatcher
	follower follower
	table    atomic.Pointer[route.Table]
	last     atomic.Uint64
	stopping atomic.Bool
	// waiting is used on the loop's goroutine only.
	waiting map[dispatch.RequestID]chan dispatch.Reply
}

// NewDispatcher returns a dispatcher that has not started.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	d := &Dispatcher{
		cfg:      cfg,
		follower: follower{keeper: cfg.LeaseRenewer, log: cfg.Log},
		waiting:  map[dispatch.RequestID]chan dispatch.Reply{},
	}
	d.keeper = cfg.LeaseRenewer
	d.jobs = dispatch.New(dispatch.Config{
		Self: cfg.LeaseRenewer.Node(), Domain: cfg.Report.Domain, Recorder: cfg.Recorder,
	})
	d.loop = cfg.newLoop(d.jobs, d.after)
	return d
}

// Start starts the dispatcher's goroutines. The returned channel is closed when all
// have ended, after ctx has ended.
func (d *Dispatcher) Start(ctx context.Context) <-chan struct{} {
	return joined(d.keeper.Start(ctx), d.loop.Start(ctx))
}

// Table returns the queues in force, nil before the first configuration.
func (d *Dispatcher) Table() *route.Table {
	return d.table.Load()
}

// Stopping reports whether the graceful stop has begun.
func (d *Dispatcher) Stopping() bool {
	return d.stopping.Load()
}

// Submit hands in a job and waits for its end. When ctx ends first, the caller has
// gone and the job is withdrawn.
func (d *Dispatcher) Submit(ctx context.Context, job dispatch.Job) (dispatch.Reply, error) {
	id := dispatch.RequestID(d.last.Add(1))
	began := d.cfg.Clock.Now()
	replies := make(chan dispatch.Reply, 1)
	err := d.loop.Do(ctx, func(now time.Time) {
		d.waiting[id] = replies
		d.jobs.Submit(now, id, job)
	})
	if err == nil {
		select {
		case reply := <-replies:
			d.cfg.Histograms.Observe("job", zinniasill.Reason(reply.Result), d.cfg.Clock.Now().Sub(began))
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

// Cancel ends a job that is in progress here. It returns false if there is none.
func (d *Dispatcher) Cancel(ctx context.Context, id string) (bool, error) {
	cancelled := false
	err := d.loop.Do(ctx, func(now time.Time) { cancelled = d.jobs.Cancel(now, id) })
	return cancelled, err
}

// Waiting returns the number of a queue's jobs that have not begun.
func (d *Dispatcher) Waiting(ctx context.Context, queue string) (int, error) {
	count := 0
	err := d.loop.Do(ctx, func(time.Time) { count = d.jobs.Waiting(queue) })
	return count, err
}

// Ready returns an error that says why the entry should get no new requests.
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

// Stop goes on until load balancers have noticed, and then until all jobs have been
// answered. Shortly before ctx ends, the rest are answered as not known.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.keeper.UpdateReport(func(entry *catalog.NodeEntry) { entry.State = catalog.Leaving })
	if err := pause(ctx, lingerTime); err != nil {
		return err
	}
	end, hasEnd := ctx.Deadline()
	if hasEnd {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-lastAnswers))
		defer cancel()
	}
	err := waitFor(ctx, d.cfg.Clock, d.loop, d.jobs.Idle)
	if err != nil {
		d.loop.Post(d.jobs.AbortAll)
	}
	return err
}

// pause waits for a time, or returns ctx's error.
func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// after follows the configuration and hands the answers to the waiting requests.
func (d *Dispatcher) after(now time.Time) {
	if cat, ok := d.follower.newer(); ok {
		d.follow(now, cat)
	}
	d.jobs.Flush(now)
	for _, reply := range d.jobs.Replies() {
		if replies, ok := d.waiting[reply.Request]; ok {
			delete(d.waiting, reply.Request)
			replies <- reply
		}
	}
}

// follow takes over a newer catalog.
func (d *Dispatcher) follow(now time.Time, cat *catalog.Catalog) {
	var agents []dispatch.AgentEntry
	for _, node := range cat.Nodes {
		if node.Role == catalog.RoleAgent {
			agents = append(agents, dispatch.AgentEntry{ID: node.Node.ID, Domain: node.Domain})
		}
	}
	d.jobs.SetAgents(now, agents)
	out := map[zinniasill.Domain]bool{}
	for name, domain := range cat.Domains {
		out[name] = domain.State == catalog.DomainOutOfService
	}
	d.jobs.SetDomainsOut(out)
	d.compile(cat)
}

// compile puts a newer document into force.
func (d *Dispatcher) compile(cat *catalog.Catalog) {
	doc := cat.Document
	if doc.Version <= d.Table().Version() {
		return
	}
	table, err := d.cfg.Compile(doc.Content)
	if err != nil {
		d.cfg.Log.WithError(err).WithField("version", doc.Version).Error("configuration cannot be read")
		d.cfg.Counters.Inc("documents_unreadable", "")
		return
	}
	d.table.Store(table)
	d.cfg.Log.WithFields(logrus.Fields{"version": doc.Version, "revision": cat.Revision}).
		Info("configuration in force")
}
