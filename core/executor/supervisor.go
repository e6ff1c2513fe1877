// Package executor is the agent's part of jobs that are answered at their end: it
// supervises what runs at the endpoint beside the agent.
//
// A Supervisor takes assigned tasks from entries, queues them, orders starts when
// the endpoint has room, keeps the endpoint's lease, and reports ends to the entries.
// It owns the belief about what runs at the endpoint. It never decides where a task
// runs; entries do. It is a machine for a daemon loop:
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

// Times of the leases. Together with the time to stop a run they stay below the time
// after which a caller sends a job again that got no answer, so that the runs of the
// first attempt have ended by then.
const (
	// EntryLease is how long an entry's tasks live after the last report that the
	// entry is known to have received.
	EntryLease = 700 * time.Millisecond
	// EndpointLease is the lease of the endpoint for what runs there.
	EndpointLease = 900 * time.Millisecond
	// MaxLease is the longest lease that an endpoint grants, whatever it is asked for.
	MaxLease = time.Second
	// startDeadline is the time after which a start must not be carried out.
	startDeadline = 450 * time.Millisecond
	// holdWait is how long a hold waits for an end. It is short, because a hold that is
	// lost hides all ends for that time.
	holdWait = 60 * time.Millisecond
)

const (
	// silentAfter is the time without any sign of life after which the endpoint
	// gets no new work. Announcements come every 1.5 s.
	silentAfter = 4 * time.Second
	// roomRetry is the pause after the endpoint had less room than believed.
	roomRetry = 20 * time.Millisecond
	// strayRetry is the time after which a run of unknown origin is stopped again.
	strayRetry = 120 * time.Millisecond
	// stopRetry is the pause between two stops of one run.
	stopRetry = 20 * time.Millisecond
	// suspectFrom is the number of orders in a row without an answer from which an
	// endpoint gets no new work. Single answers get lost on sound machines.
	suspectFrom = 4
	// lookEvery is the least time between two looks at the lists for a run's fate.
	lookEvery = 10 * time.Millisecond
	// unreachableRetry is the pause after a connection to the endpoint was refused.
	unreachableRetry = 50 * time.Millisecond
	// lapsedAfter is the time since the last renewal after which the lease of all
	// runs has ended, with an allowance of 2% for the rate of the endpoint's clock.
	lapsedAfter = MaxLease*102/100 + 50*time.Millisecond
	// runMemory is how long the number of a run is remembered after its end.
	runMemory = 30 * time.Second
	// maxOldRuns bounds the attempts to find a run number that is not taken.
	maxOldRuns = 8
)

// Announcement is what an endpoint says of itself.
type Announcement struct {
	Incarnation     zinniasill.EndpointIncarnation
	Sequence uint64
	Kind     zinniasill.Kind
	Capacity resource.Amount
	Labels   []string
	// Draining is set when the endpoint is about to leave.
	Draining bool
	// Clock is the endpoint's clock.
	Clock time.Duration
}

// Config configures a Supervisor.
type Config struct {
	// Self is this life of the agent.
	Self     zinniasill.Node
	Domain   zinniasill.Domain
	Recorder zinniasill.Recorder
}

// Supervisor supervises one endpoint. It is not safe for concurrent use. Use New.
type Supervisor struct {
	cfg   Config
	began time.Time

	life     zinniasill.EndpointIncarnation
	known    Announcement
	present  bool // the endpoint has announced itself and not left
	contact  time.Time
	clock    time.Duration // the endpoint's clock at clockAt
	clockAt  time.Time
	fence    uint64
	adopted  bool // the endpoint lists nothing that this process did not start
	speaking bool // adopted once, or all earlier leases have lapsed

	domainOut bool
	stopping  bool

	sessions map[zinniasill.Incarnation]*session // by the life of the entry
	queue    []*task
	active   map[zinniasill.TaskID]*task
	used     resource.Amount
	// roomVersion rises with each change of the room in use.
	roomVersion uint64
	blocked     time.Time // no start before
	unanswered  int       // orders in a row without an answer
	runs        map[zinniasill.TaskID]lastRun
	strays      map[zinniasill.TaskID]time.Time
	pruned      time.Time
	hold        holding
	orders      orderTimes
	speed       speed

	lastCall CallID
	waiting  map[CallID]pendingCall
	calls    []Call
	outbox   []message.Envelope
}

// lastRun is the highest number of a run of a task at this endpoint.
type lastRun struct {
	run zinniasill.Attempt
	at  time.Time
}

// New returns a supervisor that knows no endpoint.
func New(cfg Config) *Supervisor {
	return &Supervisor{
		cfg:      cfg,
		sessions: map[zinniasill.Incarnation]*session{},
		active:   map[zinniasill.TaskID]*task{},
		runs:     map[zinniasill.TaskID]lastRun{},
		strays:   map[zinniasill.TaskID]time.Time{},
		waiting:  map[CallID]pendingCall{},
	}
}

// Announce handles an announcement of the endpoint. Announcements of an earlier life,
// which a partition may have delayed, and older ones of this life are ignored.
func (s *Supervisor) Announce(now time.Time, said Announcement) {
	s.start(now)
	if said.Incarnation != s.life {
		if s.life.ID != "" && said.Incarnation.StartedMillis <= s.life.StartedMillis {
			s.record("announcement-ignored", slog.Int64("born", said.Incarnation.StartedMillis), slog.Int64("known", s.life.StartedMillis))
			return
		}
		s.newLife(said)
	} else if said.Sequence <= s.known.Sequence && s.known.Sequence != 0 {
		return
	}
	if said.Draining != s.known.Draining || !s.present {
		s.record("endpoint-announced", slog.Bool("draining", said.Draining),
			slog.Uint64("sequence", said.Sequence), slog.String("life", said.Incarnation.ID))
	}
	s.known = said
	s.present = true
	s.contact = now
	s.syncClock(now, said.Clock)
	if said.Draining {
		s.returnQueue(zinniasill.ReasonLeaving)
	}
}

// newLife takes over a life of the endpoint in which nothing of the former one runs.
func (s *Supervisor) newLife(said Announcement) {
	s.loseAll("endpoint-restarted")
	s.life = said.Incarnation
	s.known = Announcement{}
	s.clock = 0
	s.hold = holding{}
	s.adopted = false
	s.unanswered = 0
	s.fence = uint64(said.Clock / time.Millisecond)
	s.speed = speed{}
	clear(s.runs)
}

// EndpointLeft handles the end of an endpoint that says so itself.
func (s *Supervisor) EndpointLeft(now time.Time, id string) {
	s.start(now)
	if id == s.life.ID {
		s.record("endpoint-left", slog.String("life", id))
		s.gone("endpoint-left")
	}
}

// gone closes the endpoint until it announces itself again.
func (s *Supervisor) gone(reason zinniasill.Reason) {
	s.loseAll(reason)
	s.returnQueue(reason)
	s.present = false
}

// SetDomainOut tells the supervisor whether operators have taken its failure domain
// out of service.
func (s *Supervisor) SetDomainOut(now time.Time, out bool) {
	s.start(now)
	if out == s.domainOut {
		return
	}
	s.domainOut = out
	s.record("domain-changed", slog.Bool("out", out))
	if out {
		s.returnQueue(zinniasill.ReasonDomainOut)
	}
}

// Drain returns what has not started and takes no more work.
func (s *Supervisor) Drain(now time.Time) {
	s.start(now)
	s.stopping = true
	s.returnQueue(zinniasill.ReasonShuttingDown)
}

// Idle reports whether nothing runs and every entry that is heard from knows the ends.
func (s *Supervisor) Idle() bool {
	for _, sess := range s.sessions {
		if !sess.superseded && sess.out.Pending() > 0 {
			return false
		}
	}
	return len(s.active) == 0
}

// open reports whether new work may start.
func (s *Supervisor) open(now time.Time) bool {
	return s.present && s.adopted && !s.suspect() && !s.known.Draining && !s.domainOut && !s.stopping &&
		now.Sub(s.contact) < silentAfter
}

// Tick handles the passing of time.
func (s *Supervisor) Tick(now time.Time) {
	s.start(now)
	if !s.speaking && now.Sub(s.began) > lapsedAfter+startDeadline {
		// What a former process had started here has lost its lease.
		s.speaking = true
	}
	s.expireSessions(now)
	s.expireRuns(now)
	s.step(now)
}

// step does what has become possible.
func (s *Supervisor) step(now time.Time) {
	s.stopAgain(now)
	s.schedule(now)
	s.renewHold(now)
	s.look(now)
}

// start notes the time of the first step.
func (s *Supervisor) start(now time.Time) {
	if s.began.IsZero() {
		s.began = now
	}
}

// syncClock notes the endpoint's clock. The newest reading counts, although one that
// arrives late makes the clock look slow: the clock may be slow indeed, and leases must
// not last longer than believed.
func (s *Supervisor) syncClock(now time.Time, clock time.Duration) {
	if clock == 0 {
		return
	}
	s.clock = clock
	s.clockAt = now
}

// endpointClock returns the endpoint's clock at now, not later than it is.
func (s *Supervisor) endpointClock(now time.Time) time.Duration {
	if s.clock == 0 {
		return 0
	}
	return s.clock + now.Sub(s.clockAt)
}

// expireRuns forgets run numbers that no caller will ask for again.
func (s *Supervisor) expireRuns(now time.Time) {
	if now.Sub(s.pruned) < time.Second {
		return
	}
	s.pruned = now
	for id, last := range s.runs {
		if now.Sub(last.at) > runMemory {
			delete(s.runs, id)
		}
	}
	for id, at := range s.strays {
		if now.Sub(at) > runMemory {
			delete(s.strays, id)
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

// Calls returns and clears the orders to give to the endpoint.
func (s *Supervisor) Calls() []Call {
	out := s.calls
	s.calls = nil
	return out
}
