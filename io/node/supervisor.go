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
	// Executor is the endpoint beside the agent.
	Executor zinniasill.Executor
}

// Supervisor is the role of an agent for jobs that are answered at their end. Use
// NewSupervisor.
type Supervisor struct {
	leasedRole
	cfg      SupervisorConfig
	runs     *executor.Supervisor
	follower follower
	calls    conc.WaitGroup
	// life is the context of the calls to the endpoint; it is set before the loop
	// starts.
	life context.Context //nolint:containedctx // The life of calls that a step of the loop starts.
}

// NewSupervisor returns a supervisor that has not started.
func NewSupervisor(cfg SupervisorConfig) *Supervisor {
	s := &Supervisor{cfg: cfg, follower: follower{keeper: cfg.LeaseRenewer, log: cfg.Log}}
	s.keeper = cfg.LeaseRenewer
	s.runs = executor.New(executor.Config{
		Self: cfg.LeaseRenewer.Node(), Domain: cfg.Report.Domain, Recorder: cfg.Recorder,
	})
	s.loop = cfg.newLoop(s.runs, s.after)
	return s
}

// Start starts the supervisor's goroutines. The returned channel is closed when all
// have ended, after ctx has ended.
func (s *Supervisor) Start(ctx context.Context) <-chan struct{} {
	s.life = ctx
	ended := joined(s.keeper.Start(ctx), s.loop.Start(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ended
		s.calls.Wait()
	}()
	return done
}

// Announce hands on an announcement of the endpoint. It returns once the announcement
// is in force.
func (s *Supervisor) Announce(ctx context.Context, said executor.Announcement) error {
	return s.loop.Do(ctx, func(now time.Time) { s.runs.Announce(now, said) })
}

// Left hands on that the endpoint has ended its work.
func (s *Supervisor) Left(ctx context.Context, id string) error {
	return s.loop.Do(ctx, func(now time.Time) { s.runs.EndpointLeft(now, id) })
}

// Ready implements the process's readiness. An agent has nothing to wait for.
func (s *Supervisor) Ready() error {
	return nil
}

// Stop returns what has not started and waits for the end of what runs.
func (s *Supervisor) Stop(ctx context.Context) error {
	s.keeper.UpdateReport(func(entry *catalog.NodeEntry) { entry.State = catalog.Leaving })
	if err := s.loop.Do(ctx, s.runs.Drain); err != nil {
		return err
	}
	return waitFor(ctx, s.cfg.Clock, s.loop, s.runs.Idle)
}

// after follows the configuration, sends what the step has changed, and carries out
// the orders to the endpoint.
func (s *Supervisor) after(now time.Time) {
	if cat, ok := s.follower.newer(); ok {
		s.runs.SetDomainOut(now, !cat.DomainInService(s.cfg.Report.Domain))
	}
	s.runs.Flush(now)
	for _, call := range s.runs.Calls() {
		s.calls.Go(func() { s.carryOut(call) })
	}
}

// carryOut gives one order to the endpoint and hands its answer to the loop.
func (s *Supervisor) carryOut(call executor.Call) {
	ctx, cancel := context.WithTimeout(s.life, call.Timeout)
	defer cancel()
	if call.Renew != nil {
		result := s.cfg.Executor.Renew(ctx, *call.Renew)
		s.post(func(now time.Time) { s.runs.Renewed(now, call.ID, result) })
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
	s.post(func(now time.Time) { s.runs.Answered(now, call.ID, result) })
}

// post waits for room in the loop's mailbox: an answer that is lost would leave its
// order open for good.
func (s *Supervisor) post(step func(now time.Time)) {
	_ = s.loop.Do(s.life, step)
}
