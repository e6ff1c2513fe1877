// Package daemon runs the deterministic state machines of zinniasill/core.
//
// A Loop owns one state machine. It makes all calls to the machine on its own
// goroutine, so that the machine needs no locks:
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

// DefaultTick is the default time between ticks of a machine.
const DefaultTick = 10 * time.Millisecond

// mailboxSize is the maximum number of calls queued for a loop. If the mailbox is full,
// messages are dropped, which every protocol tolerates, so that a busy machine does not
// block a connection.
const mailboxSize = 4096

// ErrStopped is returned by Do if the loop has stopped.
var ErrStopped = eris.New("state machine loop has stopped")

// Machine is a deterministic state machine.
type Machine interface {
	// Receive handles one message.
	Receive(now time.Time, env message.Envelope)
	// Tick handles timeouts and periodic work that are due at now.
	Tick(now time.Time)
	// Outbox returns and clears the messages to send.
	Outbox() []message.Envelope
}

// Pacer is implemented by machines that need fewer ticks while they have little to do. A
// process that is idle should rarely wake up, since hundreds of them may share a host.
type Pacer interface {
	// TickInterval returns the time until the next tick that the machine needs.
	TickInterval() time.Duration
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
	// Tick is the time between ticks of a machine that is not a Pacer, DefaultTick if 0.
	Tick time.Duration
	// AfterIteration, if set, runs on the loop's goroutine at the end of each iteration,
	// before the machine's messages are sent. It handles the other outputs of the
	// machine, such as writes: messages that depend on a write are sent only once
	// AfterIteration has returned.
	AfterIteration func(now time.Time)
	// Dropped, if set, is called for each message or function that is dropped because
	// the mailbox is full.
	Dropped func()
}

// Loop runs one state machine. Use New.
type Loop struct {
	cfg     Config
	mailbox chan func(now time.Time)
	done    chan struct{}
}

// New returns a loop. Call Start to run it.
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

// Start starts the loop's goroutine, which runs until ctx is done. The returned channel
// is closed when it has returned.
func (l *Loop) Start(ctx context.Context) <-chan struct{} {
	go l.run(ctx)
	return l.done
}

func (l *Loop) run(ctx context.Context) {
	defer close(l.done)
	interval := l.tickInterval()
	lastTick := l.cfg.Clock.Now()
	ticks, stop := l.cfg.Clock.NewTicker(interval)
	defer func() { stop() }()
	for {
		if next := l.tickInterval(); next != interval {
			stop()
			interval = next
			ticks, stop = l.cfg.Clock.NewTicker(interval)
			// The new ticker starts a whole interval, perhaps again and again.
			if now := l.cfg.Clock.Now(); now.Sub(lastTick) >= interval {
				lastTick = now
				l.cfg.Machine.Tick(now)
				l.flush(now)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			lastTick = l.cfg.Clock.Now()
			l.cfg.Machine.Tick(lastTick)
			l.flush(lastTick)
		case call := <-l.mailbox:
			now := l.cfg.Clock.Now()
			call(now)
			l.drain(now)
			l.flush(now)
		}
	}
}

// tickInterval returns the time between ticks in the current state of the machine.
func (l *Loop) tickInterval() time.Duration {
	if pacer, ok := l.cfg.Machine.(Pacer); ok {
		return pacer.TickInterval()
	}
	return l.cfg.Tick
}

// drain runs the calls that are already queued, so that their outputs are sent together.
func (l *Loop) drain(now time.Time) {
	for range len(l.mailbox) {
		call := <-l.mailbox
		call(now)
	}
}

// flush runs AfterIteration and then sends the machine's messages.
func (l *Loop) flush(now time.Time) {
	if l.cfg.AfterIteration != nil {
		l.cfg.AfterIteration(now)
	}
	for _, env := range l.cfg.Machine.Outbox() {
		l.cfg.Sender.Send(env)
	}
}

// Deliver queues a message for the machine. It never blocks. If the mailbox is full, the
// message is dropped.
func (l *Loop) Deliver(env message.Envelope) {
	l.Post(func(now time.Time) { l.cfg.Machine.Receive(now, env) })
}

// Post queues call to run on the loop's goroutine. It never blocks. If the mailbox is
// full, call is dropped.
func (l *Loop) Post(call func(now time.Time)) {
	select {
	case l.mailbox <- call:
	default:
		if l.cfg.Dropped != nil {
			l.cfg.Dropped()
		}
	}
}

// Do runs call on the loop's goroutine and waits until it has returned. It returns
// ctx's error if ctx is done first, or ErrStopped if the loop has stopped. If it returns
// an error after call was queued, call may still run.
func (l *Loop) Do(ctx context.Context, call func(now time.Time)) error {
	ran := make(chan struct{})
	wrapped := func(now time.Time) {
		call(now)
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
