// Package daemon runs the deterministic state machines of zinniasill/core.
//
// A Loop owns one machine. All calls to the machine happen on the loop's
// goroutine, so a machine needs no locks:
//
//	loop := daemon.New(daemon.Config{Machine: machine, Sender: link, Clock: clock})
//	done := loop.Start(ctx)
//	loop.Deliver(envelope)
//	loop.Do(ctx, func(now time.Time) { machine.Submit(now, job) })
//	<-done
package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/message"
)

// DefaultTick is the time between two ticks of a machine.
const DefaultTick = 10 * time.Millisecond

// mailboxSize bounds the calls that wait for a loop. A full mailbox drops
// messages, which every protocol tolerates, instead of blocking a link.
const mailboxSize = 4096

// ErrStopped is returned by Do when the loop has ended.
var ErrStopped = eris.New("state machine loop has stopped")

// Machine is a deterministic state machine.
type Machine interface {
	// Receive handles one message.
	Receive(now time.Time, env message.Envelope)
	// Tick handles the passing of time.
	Tick(now time.Time)
	// Outbox returns and clears the messages to send.
	Outbox() []message.Envelope
}

// Sender sends messages to other processes. Send never blocks and may drop.
type Sender interface {
	Send(env message.Envelope)
}

// Config configures a Loop.
type Config struct {
	Machine Machine
	Sender  Sender
	Clock   zinniasill.Clock
	// Tick is the time between ticks, DefaultTick if 0.
	Tick time.Duration
	// AfterIteration, if set, runs on the loop's goroutine after each step, before the
	// messages of the step are sent. It carries out the machine's other outputs.
	// Messages that depend on a write leave only once AfterIteration has returned.
	AfterIteration func(now time.Time)
	// Dropped, if set, is called for each message or step dropped by a full mailbox.
	Dropped func()
}

// Loop runs one machine. Use New.
type Loop struct {
	cfg     Config
	mailbox chan func(now time.Time)
	done    chan struct{}
}

// New returns a loop that has not started.
func New(cfg Config) *Loop {
	if cfg.Tick == 0 {
		cfg.Tick = DefaultTick
	}
	return &Loop{
		cfg:     cfg,
		mailbox: make(chan func(now time.Time), mailboxSize),
		done:    make(chan struct{}),
	}
}

// Start starts the loop's goroutine. The returned channel is closed when it has
// ended, after ctx has ended.
func (l *Loop) Start(ctx context.Context) <-chan struct{} {
	go l.run(ctx)
	return l.done
}

func (l *Loop) run(ctx context.Context) {
	defer close(l.done)
	ticks, stop := l.cfg.Clock.NewTicker(l.cfg.Tick)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			now := l.cfg.Clock.Now()
			l.cfg.Machine.Tick(now)
			l.flush(now)
		case step := <-l.mailbox:
			now := l.cfg.Clock.Now()
			step(now)
			l.drain(now)
			l.flush(now)
		}
	}
}

// drain runs the steps that already wait, so that their outputs leave together.
func (l *Loop) drain(now time.Time) {
	for range len(l.mailbox) {
		step := <-l.mailbox
		step(now)
	}
}

func (l *Loop) flush(now time.Time) {
	if l.cfg.AfterIteration != nil {
		l.cfg.AfterIteration(now)
	}
	for _, env := range l.cfg.Machine.Outbox() {
		l.cfg.Sender.Send(env)
	}
}

// Deliver hands a message to the machine. It never blocks; a message that does
// not fit into the mailbox is dropped.
func (l *Loop) Deliver(env message.Envelope) {
	l.Post(func(now time.Time) { l.cfg.Machine.Receive(now, env) })
}

// Post runs step on the loop's goroutine. It never blocks; a step that does not fit
// into the mailbox is dropped.
func (l *Loop) Post(step func(now time.Time)) {
	select {
	case l.mailbox <- step:
	default:
		if l.cfg.Dropped != nil {
			l.cfg.Dropped()
		}
	}
}

// Do runs step on the loop's goroutine and waits until it has returned. It
// returns ctx's error, or ErrStopped when the loop has ended.
func (l *Loop) Do(ctx context.Context, step func(now time.Time)) error {
	ran := make(chan struct{})
	wrapped := func(now time.Time) {
		step(now)
		close(ran)
	}
	select {
	case l.mailbox <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return ErrStopped
	}
}
