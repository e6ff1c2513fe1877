package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/catalog"
	"zinniasill/io/daemon"
	"zinniasill/io/endpoint"
)

// expireInterval is the time between checks whether the endpoint's announcement has
// expired.
const expireInterval = 100 * time.Millisecond

// AgentConfig configures an Agent.
type AgentConfig struct {
	// Report is the initial state that the agent reports to control: its ID, failure
	// domain and address.
	Report   catalog.NodeEntry
	Replicas []zinniasill.NodeID
	Sender   daemon.Sender
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	Log      logrus.FieldLogger
	// RecordLimit is the maximum size of the agent's records, in bytes.
	RecordLimit int
}

// Agent is the role that runs tasks on the endpoint on its host. Use NewAgent.
type Agent struct {
	leasedRole
	cfg          AgentConfig
	machine      *agent.Agent
	endpointConn *endpoint.Endpoint
	runs         conc.WaitGroup
	// busy and queued are numbers of tasks and records is a size in bytes, all as of
	// the last iteration of the loop. They back the gauges.
	busy, queued, records atomic.Int64
	// processCtx is the context given to Start.
	processCtx context.Context //nolint:containedctx // Parent of runCtx.
	// runCtx is the context of the current incarnation's runs. It is used on the loop's
	// goroutine only.
	runCtx     context.Context //nolint:containedctx // Runs are started by the loop, which has no context to pass.
	cancelRuns context.CancelFunc
	// leavingSince is the time at which a stopping agent first saw itself listed as
	// leaving in the catalog. It is used on the loop's goroutine only.
	leavingSince time.Time
	// stopping is set once the graceful stop has begun.
	stopping atomic.Bool
}

// NewAgent returns an agent. Call Start to run it.
func NewAgent(cfg AgentConfig) *Agent {
	cfg.Report.Role = catalog.RoleAgent
	// Entries offer no tasks to a leaving agent. The agent reports Serving once its
	// endpoint has announced itself.
	cfg.Report.State = catalog.Leaving
	a := &Agent{cfg: cfg}
	a.renewer = NewLeaseRenewer(LeaseRenewerConfig{
		Entry: cfg.Report, Replicas: cfg.Replicas, Sender: cfg.Sender,
		Clock: cfg.Clock, Log: cfg.Log,
	})
	a.machine = agent.New(agent.Config{
		Self: a.renewer.Node(), Domain: cfg.Report.Domain, Lease: a.renewer, Counters: cfg.Counters,
		RecordLimit: cfg.RecordLimit,
	})
	a.endpointConn = endpoint.New(endpoint.Config{
		Clock: cfg.Clock, Counters: cfg.Counters, OnChange: a.endpointChanged, MayStart: a.mayStart,
	})
	a.loop = daemon.New(daemon.Config{
		Machine: a.machine, Sender: cfg.Sender, Clock: cfg.Clock, AfterIteration: a.startRuns,
		Dropped: func() { cfg.Counters.Inc("mailbox_dropped", "") },
	})
	return a
}

// Handler returns the HTTP handler that the endpoint announces itself to.
func (a *Agent) Handler() http.Handler {
	return a.endpointConn.Handler()
}

// Start starts the agent's goroutines, which run until ctx is done. The returned
// channel is closed when all of them have returned.
func (a *Agent) Start(ctx context.Context) <-chan struct{} {
	a.processCtx = ctx
	a.runCtx, a.cancelRuns = context.WithCancel(ctx)
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		a.watchEndpoint(ctx)
	}()
	runs := make(chan struct{})
	ended := whenAllClosed(a.renewer.Start(ctx), a.loop.Start(ctx), expired)
	go func() {
		defer close(runs)
		<-ended
		a.runs.Wait()
	}()
	return whenAllClosed(ended, runs)
}

func (a *Agent) watchEndpoint(ctx context.Context) {
	ticks, stop := a.cfg.Clock.NewTicker(expireInterval)
	defer stop()
	for {
		select {
		case <-ticks:
			a.endpointConn.Expire(a.cfg.Clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// endpointChanged applies a changed announcement of the endpoint: it updates the report
// to control and the agent's state machine.
func (a *Agent) endpointChanged(state endpoint.Announcement) {
	serving := state.State == "serving"
	a.renewer.UpdateReport(func(entry *catalog.NodeEntry) {
		entry.Slots = state.Slots
		entry.Kinds = state.Kinds
		entry.State = catalog.Leaving
		if serving && !a.stopping.Load() {
			entry.State = catalog.Serving
		}
	})
	a.cfg.Log.WithFields(logrus.Fields{"slots": state.Slots, "state": state.State}).Info("endpoint announcement changed")
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	_ = a.loop.Do(ctx, func(now time.Time) { a.machine.SetEndpoint(now, state.Slots, state.Kinds, serving) })
}

// startRuns starts the tasks that the state machine has released, each on its own
// goroutine. It reads the clock again instead of using the time of the iteration: if
// the process was suspended in between, the older time could make an expired lease
// look valid.
func (a *Agent) startRuns(time.Time) {
	if node, ok := a.renewer.TakeRestart(); ok {
		a.restart(node)
	}
	for _, task := range a.machine.StartPending(a.cfg.Clock.Now()) {
		runCtx := a.runCtx
		a.runs.Go(func() { a.run(runCtx, task) })
	}
	busy, queued := a.machine.Occupancy()
	a.busy.Store(int64(busy))
	a.queued.Store(int64(queued))
	a.records.Store(int64(a.machine.RecordBytes()))
}

func (a *Agent) run(runCtx context.Context, task zinniasill.Task) {
	outcome := a.endpointConn.Run(runCtx, task)
	_ = a.loop.Do(runCtx, func(now time.Time) {
		if runCtx.Err() == nil {
			a.machine.Finished(now, task, outcome)
		}
	})
}

// mayStart reports whether a task may be sent to the endpoint: the lease must be valid, the
// failure domain in service and the endpoint not set to leave by operators. Runs call it from their goroutines immediately
// before the request.
func (a *Agent) mayStart() bool {
	cat, valid := a.renewer.Current(a.cfg.Clock.Now())
	return valid && cat.DomainInService(a.cfg.Report.Domain) &&
		cat.Endpoints[a.cfg.Report.Node.ID].State != catalog.Leaving
}

// restart discards the state of an incarnation that was declared dead and continues
// as node. The runs of the old incarnation are canceled and their outcomes dropped.
func (a *Agent) restart(node zinniasill.Node) {
	a.cancelRuns()
	a.runCtx, a.cancelRuns = context.WithCancel(a.processCtx)
	a.machine.Restart(node)
}

// Ready returns nil if the agent can receive tasks, and otherwise an error with the
// reason why it can't.
func (a *Agent) Ready() error {
	cat, valid := a.renewer.Current(a.cfg.Clock.Now())
	entry, listed := cat.Nodes[a.cfg.Report.Node.ID]
	switch {
	case !valid:
		return eris.New("no valid lease from control")
	case !listed || entry.Slots == 0:
		return eris.New("no endpoint has announced itself")
	case !cat.Serving(entry):
		return eris.New("the endpoint is leaving or its failure domain is out of service")
	default:
		return nil
	}
}

// Stop returns queued tasks to their entries and waits until running tasks have ended
// and their results are acknowledged. It then hands the agent's records over to
// another agent. It returns an error if ctx is done first or the handover fails.
func (a *Agent) Stop(ctx context.Context) error {
	a.stopping.Store(true)
	a.renewer.UpdateReport(func(entry *catalog.NodeEntry) { entry.State = catalog.Leaving })
	if err := a.loop.Do(ctx, a.machine.Leave); err != nil {
		return err
	}
	idle := func() bool { return a.machine.Idle() && a.offersEnded() }
	if err := waitFor(ctx, a.cfg.Clock, a.loop, idle); err != nil {
		return err
	}
	return a.handOver(ctx)
}

// messageDelayAllowance is the delivery time allowed for a message in transit.
const messageDelayAllowance = 200 * time.Millisecond

// offerGracePeriod returns how long the agent answers offers after control has listed
// it as leaving: one lease length, after which every entry has received that catalog,
// plus the delivery time of an offer in transit. If the agent exited earlier, the
// outcome of an unanswered offer would be unknown to its entry.
func (a *Agent) offerGracePeriod() time.Duration {
	return a.renewer.LeaseLength() + messageDelayAllowance
}

// offersEnded reports whether no entry can offer tasks to this agent anymore. It runs
// on the loop's goroutine.
func (a *Agent) offersEnded() bool {
	cat := a.renewer.Catalog()
	if !hasServingEntry(cat) {
		return true
	}
	now := a.cfg.Clock.Now()
	if a.leavingSince.IsZero() && cat.Nodes[a.cfg.Report.Node.ID].State == catalog.Leaving {
		a.leavingSince = now
	}
	return !a.leavingSince.IsZero() && now.Sub(a.leavingSince) >= a.offerGracePeriod()
}

// hasServingEntry reports whether the catalog lists an entry that may offer tasks.
func hasServingEntry(cat *catalog.Catalog) bool {
	for _, node := range cat.Nodes {
		if node.Role == catalog.RoleEntry && node.State == catalog.Serving {
			return true
		}
	}
	return false
}
