package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/executor"
)

// SupervisorConfig configures a Supervisor.
type SupervisorConfig struct {
	DirectConfig
	// Executor calls the endpoint on the agent's host.
	Executor zinniasill.Executor
}

// Supervisor is the agent role for direct jobs. Use NewSupervisor.
type Supervisor struct {
	leasedRole
	cfg            SupervisorConfig
	runs           *executor.Supervisor
	catalogWatcher catalogWatcher
	calls          conc.WaitGroup
	// callCtx is the context of calls to the endpoint. It is set before the loop starts.
	callCtx context.Context //nolint:containedctx // Calls are started by the loop, which has no context to pass.
}

// NewSupervisor returns a supervisor. Call Start to run it.
func NewSupervisor(cfg SupervisorConfig) *Supervisor {
	s := &Supervisor{cfg: cfg, catalogWatcher: catalogWatcher{renewer: cfg.LeaseRenewer, log: cfg.Log}}
	s.renewer = cfg.LeaseRenewer
	s.runs = executor.New(executor.Config{
		Self: cfg.LeaseRenewer.Node(), Domain: cfg.Report.Domain, Recorder: cfg.Recorder,
	})
	s.loop = cfg.newLoop(s.runs, s.afterIteration)
	return s
}

// Start starts the supervisor's goroutines, which run until ctx is done. The returned
// channel is closed when all of them, and all calls to the endpoint, have returned.
func (s *Supervisor) Start(ctx context.Context) <-chan struct{} {
	s.callCtx = ctx
	ended := whenAllClosed(s.renewer.Start(ctx), s.loop.Start(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ended
		s.calls.Wait()
	}()
	return done
}

// Announce passes on an announcement of the endpoint. It returns once the announcement
// has been applied.
func (s *Supervisor) Announce(ctx context.Context, announcement executor.Announcement) error {
	return s.loop.Do(ctx, func(now time.Time) { s.runs.Announce(now, announcement) })
}

// Left handles a notification that the endpoint incarnation with the given ID has ended.
func (s *Supervisor) Left(ctx context.Context, id string) error {
	return s.loop.Do(ctx, func(now time.Time) { s.runs.EndpointLeft(now, id) })
}

// Ready returns nil: a supervisor is ready as soon as it runs.
func (s *Supervisor) Ready() error {
	return nil
}

// Stop returns tasks that have not started and waits until running tasks have ended. It
// returns an error if ctx is done first.
func (s *Supervisor) Stop(ctx context.Context) error {
	s.renewer.UpdateReport(func(entry *catalog.NodeEntry) { entry.State = catalog.Leaving })
	if err := s.loop.Do(ctx, s.runs.Drain); err != nil {
		return err
	}
	return waitFor(ctx, s.cfg.Clock, s.loop, s.runs.Idle)
}

// afterIteration applies catalog changes, flushes the pending messages of the state
// machine and starts its calls to the endpoint.
func (s *Supervisor) afterIteration(now time.Time) {
	if cat, ok := s.catalogWatcher.next(); ok {
		s.runs.SetDomainOut(now, !cat.DomainInService(s.cfg.Report.Domain))
	}
	s.runs.Flush(now)
	for _, id := range s.runs.Suspects() {
		s.cfg.Sender.Probe(id)
	}
	for _, call := range s.runs.Calls() {
		s.calls.Go(func() { s.executeCall(call) })
	}
}

// executeCall performs one call to the endpoint and passes the result to the loop.
func (s *Supervisor) executeCall(call executor.Call) {
	ctx, cancel := context.WithTimeout(s.callCtx, call.Timeout)
	defer cancel()
	if call.Renew != nil {
		result := s.cfg.Executor.Renew(ctx, *call.Renew)
		s.postResult(func(now time.Time) { s.runs.Renewed(now, call.ID, result) })
		return
	}
	var result zinniasill.OrderResult
	began := s.cfg.Clock.Now()
	if call.Start != nil {
		result = s.cfg.Executor.Start(ctx, *call.Start)
	} else {
		result = s.cfg.Executor.Stop(ctx, *call.Stop)
	}
	s.cfg.Histograms.Observe("order", zinniasill.Reason(result.Outcome), s.cfg.Clock.Now().Sub(began))
	s.postResult(func(now time.Time) { s.runs.Answered(now, call.ID, result) })
}

// postResult runs apply on the loop's goroutine. It waits for free capacity in the
// mailbox, because a dropped result would leave its call pending forever.
func (s *Supervisor) postResult(apply func(now time.Time)) {
	_ = s.loop.Do(s.callCtx, apply)
}
