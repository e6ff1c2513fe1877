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

// expireEvery is the time between two looks whether the endpoint is gone.
const expireEvery = 100 * time.Millisecond

// AgentConfig configures an Agent.
type AgentConfig struct {
	// Report is what the agent reports to control: id, domain and address.
	Report   catalog.NodeEntry
	Replicas []zinniasill.NodeID
	Sender   daemon.Sender
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	Log      logrus.FieldLogger
	// RecordLimit is the limit of the agent's records in bytes.
	RecordLimit int
}

// Agent is the role beside an endpoint. Use NewAgent.
type Agent struct {
	leasedRole
	cfg     AgentConfig
	machine *agent.Agent
	beside  *endpoint.Endpoint
	runs    conc.WaitGroup
	// busy, queued and records are the machine's occupancy after its last step.
	busy, queued, records atomic.Int64
	// process is the context of the agent's goroutines.
	process context.Context //nolint:containedctx // The parent of life.
	// life is the context of the present incarnation's runs; it is used on the
	// loop's goroutine only.
	life    context.Context //nolint:containedctx // The life of the runs that a step of the loop starts.
	endLife context.CancelFunc
	// leftAt is the time at which a stopping agent saw itself listed as leaving; it
	// is used on the loop's goroutine only.
	leftAt time.Time
}

// NewAgent returns an agent that has not started.
func NewAgent(cfg AgentConfig) *Agent {
	cfg.Report.Role = catalog.RoleAgent
	// The agent gets work only once its endpoint has announced itself.
	cfg.Report.State = catalog.Leaving
	a := &Agent{cfg: cfg}
	a.keeper = NewLeaseRenewer(LeaseRenewerConfig{
		Entry: cfg.Report, Replicas: cfg.Replicas, Sender: cfg.Sender,
		Clock: cfg.Clock, Log: cfg.Log,
	})
	a.machine = agent.New(agent.Config{
		Self: a.keeper.Node(), Domain: cfg.Report.Domain, Lease: a.keeper, Counters: cfg.Counters,
		RecordLimit: cfg.RecordLimit,
	})
	a.beside = endpoint.New(endpoint.Config{
		Clock: cfg.Clock, Counters: cfg.Counters, OnChange: a.announced, MayStart: a.mayStart,
	})
	a.loop = daemon.New(daemon.Config{
		Machine: a.machine, Sender: cfg.Sender, Clock: cfg.Clock, AfterIteration: a.startRuns,
		Dropped: func() { cfg.Counters.Inc("mailbox_dropped", "") },
	})
	return a
}

// Handler returns the HTTP interface for the endpoint.
func (a *Agent) Handler() http.Handler {
	return a.beside.Handler()
}

// Start starts the agent's goroutines. The returned channel is closed when all
// have ended, after ctx has ended.
func (a *Agent) Start(ctx context.Context) <-chan struct{} {
	a.process = ctx
	a.life, a.endLife = context.WithCancel(ctx)
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		a.watchEndpoint(ctx)
	}()
	runs := make(chan struct{})
	ended := joined(a.keeper.Start(ctx), a.loop.Start(ctx), expired)
	go func() {
		defer close(runs)
		<-ended
		a.runs.Wait()
	}()
	return joined(ended, runs)
}

func (a *Agent) watchEndpoint(ctx context.Context) {
	ticks, stop := a.cfg.Clock.NewTicker(expireEvery)
	defer stop()
	for {
		select {
		case <-ticks:
			a.beside.Expire(a.cfg.Clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// announced takes over a changed state of the endpoint.
func (a *Agent) announced(state endpoint.Announcement) {
	serving := state.State == "serving"
	a.keeper.UpdateReport(func(entry *catalog.NodeEntry) {
		entry.Slots = state.Slots
		entry.Kinds = state.Kinds
		entry.State = catalog.Leaving
		if serving {
			entry.State = catalog.Serving
		}
	})
	a.cfg.Log.WithFields(logrus.Fields{"slots": state.Slots, "state": state.State}).Info("endpoint changed")
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	_ = a.loop.Do(ctx, func(now time.Time) { a.machine.SetEndpoint(now, state.Slots, state.Kinds, serving) })
}

// startRuns starts the tasks that the machine hands out, each on its goroutine. The
// clock is read again: a process that was stopped since the step began would
// otherwise judge its lease by the time before the stop.
func (a *Agent) startRuns(time.Time) {
	if node, ok := a.keeper.TakeRestart(); ok {
		a.restart(node)
	}
	for _, task := range a.machine.StartPending(a.cfg.Clock.Now()) {
		life := a.life
		a.runs.Go(func() { a.run(life, task) })
	}
	busy, queued := a.machine.Occupancy()
	a.busy.Store(int64(busy))
	a.queued.Store(int64(queued))
	a.records.Store(int64(a.machine.RecordBytes()))
}

func (a *Agent) run(life context.Context, task zinniasill.Task) {
	outcome := a.beside.Run(life, task)
	_ = a.loop.Do(life, func(now time.Time) {
		if life.Err() == nil {
			a.machine.Finished(now, task, outcome)
		}
	})
}

// mayStart checks the lease and the failure domain once more, as the last step
// before a task goes to the endpoint. The goroutines of the runs call it.
func (a *Agent) mayStart() bool {
	cat, valid := a.keeper.Current(a.cfg.Clock.Now())
	return valid && cat.DomainInService(a.cfg.Report.Domain)
}

// restart discards the state of an incarnation that was declared dead. Its runs are
// cancelled and their outcomes dropped.
func (a *Agent) restart(node zinniasill.Node) {
	a.endLife()
	a.life, a.endLife = context.WithCancel(a.process)
	a.machine.Restart(node)
}

// Ready returns an error that says why the agent gets no work.
func (a *Agent) Ready() error {
	cat, valid := a.keeper.Current(a.cfg.Clock.Now())
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

// Stop returns queued tasks, and waits until running ones have ended and their
// results are acknowledged. It then hands the agent's records over to another
// agent. It returns an error when ctx ends before that.
func (a *Agent) Stop(ctx context.Context) error {
	a.keeper.UpdateReport(func(entry *catalog.NodeEntry) { entry.State = catalog.Leaving })
	if err := a.loop.Do(ctx, a.machine.Leave); err != nil {
		return err
	}
	idle := func() bool { return a.machine.Idle() && a.isLeaveKnown() }
	if err := waitFor(ctx, a.cfg.Clock, a.loop, idle); err != nil {
		return err
	}
	return a.handOver(ctx)
}

// messageGrace is the time of a message on its way.
const messageGrace = 200 * time.Millisecond

// offerGrace is how long the agent answers offers after control has listed it as
// leaving: the lease after which every entry knows it, and the time of a message on
// its way. An offer without an answer would be in doubt once the agent has gone.
func (a *Agent) offerGrace() time.Duration {
	return a.keeper.LeaseLength() + messageGrace
}

// isLeaveKnown reports whether no entry offers tasks any more. It runs on the loop's
// goroutine.
func (a *Agent) isLeaveKnown() bool {
	cat := a.keeper.Catalog()
	if !hasEntries(cat) {
		return true
	}
	now := a.cfg.Clock.Now()
	if a.leftAt.IsZero() && cat.Nodes[a.cfg.Report.Node.ID].State == catalog.Leaving {
		a.leftAt = now
	}
	return !a.leftAt.IsZero() && now.Sub(a.leftAt) >= a.offerGrace()
}

// hasEntries reports whether an entry is listed that may offer tasks.
func hasEntries(cat *catalog.Catalog) bool {
	for _, node := range cat.Nodes {
		if node.Role == catalog.RoleEntry && node.State == catalog.Serving {
			return true
		}
	}
	return false
}
