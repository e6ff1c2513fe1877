// Package executor is the agent's part of direct jobs: it supervises the runs at the
// agent's endpoint.
//
// A Supervisor accepts assigned tasks from entries, queues them, orders starts when the
// endpoint has free capacity, renews the endpoint's lease, and reports completions to
// the entries. It owns the recorded state of the runs at the endpoint. It never decides
// where a task runs; entries do. It is a state machine without I/O, driven by a daemon
// loop:
//
//	supervisor := executor.New(executor.Config{Self: node, Recorder: recorder})
//	supervisor.Announce(now, announcement)
//	supervisor.Receive(now, envelope)
//	for _, call := range supervisor.Calls() {
//		// carry out call, then supervisor.Answered(now, call.ID, result)
//	}
package executor

import (
	"log/slog"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// Lease times. Together with the time to stop a run, they stay below the time after
// which a caller resends a job without an answer, so that the runs of the first attempt
// have ended by then.
const (
	// EntryLease is how long an entry's tasks are kept, counted from the time at which
	// the agent sent the last report that the entry is known to have received.
	EntryLease = 700 * time.Millisecond
	// EndpointLease is the lease requested for the runs at the endpoint.
	EndpointLease = 900 * time.Millisecond
	// MaxLease is the longest lease that an endpoint grants, whatever is requested.
	MaxLease = time.Second
	// startDeadline is the time after which a start order must no longer be carried out.
	startDeadline = 450 * time.Millisecond
	// minStartLease is the shortest lease under which a run is started.
	minStartLease = 100 * time.Millisecond
	// renewalWait is how long a renewal waits for a completion. It is short, because a
	// lost renewal delays all completions by that time.
	renewalWait = 60 * time.Millisecond
)

const (
	// unresponsiveTimeout is the time without an announcement or answer after which the
	// endpoint gets no new work. Announcements arrive every 1.5 s.
	unresponsiveTimeout = 4 * time.Second
	// capacityRetryDelay is the delay before the next start after the endpoint had less
	// free capacity than recorded.
	capacityRetryDelay = 20 * time.Millisecond
	// orphanStopInterval is the minimum time between two stop orders for an orphaned
	// run.
	orphanStopInterval = 120 * time.Millisecond
	// stopRetryInterval is the minimum time between two stop orders for a run.
	stopRetryInterval = 20 * time.Millisecond
	// stopOverdueTimeout is the time after the end of an entry's lease from which the stop
	// of one of its runs is overdue, and to which the endpoint's lease is limited.
	stopOverdueTimeout = 150 * time.Millisecond
	// suspectThreshold is the number of consecutive unanswered orders from which the
	// endpoint gets no new work. Single answers are lost on healthy machines as well.
	suspectThreshold = 4
	// pollInterval is the minimum time between two polls of the endpoint's lists.
	pollInterval = 10 * time.Millisecond
	// unreachableRetryDelay is the delay after the endpoint has refused a connection.
	unreachableRetryDelay = 50 * time.Millisecond
	// maxClockLead is the time by which a reading of the endpoint's clock may differ from
	// its estimate, apart from the delay of a reading.
	maxClockLead = 300 * time.Millisecond
	// unknownClockDelay stands for the delay of the first announcement.
	unknownClockDelay = time.Hour
	// leaseExpiryTimeout is the time since the last renewal after which the lease of all
	// runs has expired, with an allowance of 2% for the rate of the endpoint's clock.
	leaseExpiryTimeout = MaxLease*102/100 + 50*time.Millisecond
	// runRetention is how long the last run number of a task is kept.
	runRetention = 30 * time.Second
	// maxSequenceLag is the number of announcements by which a delayed one may lag.
	maxSequenceLag = 100
	// maxStaleRetries limits how often a start that was refused for its run number,
	// deadline or fencing token is retried.
	maxStaleRetries = 8
)

// Announcement is an endpoint's description of itself and its state.
type Announcement struct {
	Incarnation zinniasill.EndpointIncarnation
	Sequence    uint64
	Kind        zinniasill.Kind
	Capacity    resource.Amount
	Labels      []string
	// Draining is set if the endpoint is about to shut down.
	Draining bool
	// Clock is a reading of the endpoint's clock.
	Clock time.Duration
}

// Config configures a Supervisor.
type Config struct {
	// Self is this incarnation of the agent.
	Self     zinniasill.Node
	Domain   zinniasill.Domain
	Recorder zinniasill.Recorder
}

// Supervisor supervises one endpoint. It is not safe for concurrent use. Use New.
type Supervisor struct {
	cfg       Config
	startedAt time.Time

	incarnation zinniasill.EndpointIncarnation
	announced   Announcement
	present     bool // the endpoint has announced itself and has not ended
	// left is set once this incarnation has notified, at leftAt, that it shuts down.
	left   bool
	leftAt time.Time
	// candidate is an announcement of another incarnation that the endpoint's answers have
	// not confirmed yet, received at candidateAt.
	candidate   *Announcement
	candidateAt time.Time
	lastContact time.Time
	clock       time.Duration // reading of the endpoint's clock at clockAt
	clockAt     time.Time
	// clockDelay is the longest time by which the reading may have been delayed.
	clockDelay time.Duration
	fence      uint64
	// firstEcho is the SentAt of the earliest report whose echo extends leases.
	firstEcho time.Duration
	adopted   bool // the endpoint lists no run that another process started
	reporting bool // set once adopted, or once all earlier leases have expired

	domainOut bool
	stopping  bool

	sessions map[zinniasill.Incarnation]*session // by incarnation of the entry
	queue    []*task
	active   map[zinniasill.TaskID]*task
	used     resource.Amount
	// loadVersion increases with each change of the load.
	loadVersion        uint64
	startsBlockedUntil time.Time // no starts are ordered before this time
	unanswered         int       // consecutive orders without an answer
	refused            int       // refused connections since the last answer
	runs               map[zinniasill.TaskID]lastRun
	crashes            []crash
	lastCrash          uint64
	orphanStops        map[zinniasill.TaskID]time.Time
	lastPruned         time.Time
	lease              leaseState
	responses          responseTimes
	stats              stats

	lastCall     CallID
	pendingCalls map[CallID]pendingCall
	calls        []Call
	outbox       []message.Envelope
	suspects     []zinniasill.NodeID
}

// lastRun is the highest known run number of a task at this endpoint.
type lastRun struct {
	run zinniasill.Attempt
	at  time.Time
}

// New returns a supervisor without an endpoint.
func New(cfg Config) *Supervisor {
	return &Supervisor{
		cfg:          cfg,
		sessions:     map[zinniasill.Incarnation]*session{},
		active:       map[zinniasill.TaskID]*task{},
		runs:         map[zinniasill.TaskID]lastRun{},
		orphanStops:  map[zinniasill.TaskID]time.Time{},
		pendingCalls: map[CallID]pendingCall{},
	}
}

// SetDomainOut records whether operators have taken the agent's failure domain out of
// service.
func (s *Supervisor) SetDomainOut(now time.Time, out bool) {
	s.markStarted(now)
	if out == s.domainOut {
		return
	}
	s.domainOut = out
	s.record("domain-changed", slog.Bool("out", out))
	if out {
		s.returnQueue(zinniasill.ReasonDomainOut)
	}
}

// Drain returns all queued tasks and accepts no new ones.
func (s *Supervisor) Drain(now time.Time) {
	s.markStarted(now)
	s.stopping = true
	s.returnQueue(zinniasill.ReasonShuttingDown)
}

// Idle reports whether nothing runs and the entries of all current sessions have
// acknowledged every update.
func (s *Supervisor) Idle() bool {
	for _, sess := range s.sessions {
		if !sess.superseded && sess.out.Pending() > 0 {
			return false
		}
	}
	return len(s.active) == 0
}

// acceptsWork reports whether new tasks may be started.
func (s *Supervisor) acceptsWork(now time.Time) bool {
	return s.present && s.adopted && s.announced.Incarnation == s.incarnation && !s.suspect() &&
		!s.announced.Draining && !s.domainOut && !s.stopping &&
		now.Sub(s.lastContact) < unresponsiveTimeout
}

// markStarted records the time of the first call.
func (s *Supervisor) markStarted(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
}

// expireRuns deletes what is kept about runs for which no caller will send another order.
func (s *Supervisor) expireRuns(now time.Time) {
	if now.Sub(s.lastPruned) < time.Second {
		return
	}
	s.lastPruned = now
	for id, last := range s.runs {
		if now.Sub(last.at) > runRetention {
			delete(s.runs, id)
		}
	}
	s.expireCrashes(now)
	for id, at := range s.orphanStops {
		if now.Sub(at) > runRetention {
			delete(s.orphanStops, id)
		}
	}
}

func (s *Supervisor) record(decision string, inputs ...slog.Attr) {
	if s.cfg.Recorder != nil {
		s.cfg.Recorder.Record(decision, inputs...)
	}
}

// Outbox returns and clears the messages to send.
func (s *Supervisor) Outbox() []message.Envelope {
	out := s.outbox
	s.outbox = nil
	return out
}

// Suspects returns and clears the entries that do not receive reports: the links to them
// may have failed without an error.
func (s *Supervisor) Suspects() []zinniasill.NodeID {
	out := s.suspects
	s.suspects = nil
	return out
}

// Calls returns and clears the calls to make to the endpoint.
func (s *Supervisor) Calls() []Call {
	out := s.calls
	s.calls = nil
	return out
}
