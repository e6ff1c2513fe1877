package daemon_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// manualClock ticks when the test says so.
type manualClock struct {
	ticks chan time.Time
}

func (c manualClock) Now() time.Time { return time.Unix(1, 0) }

func (c manualClock) NewTicker(time.Duration) (<-chan time.Time, func()) {
	return c.ticks, func() {}
}

// echo answers each message to its sender and counts ticks.
type echo struct {
	ticks  int
	outbox []message.Envelope
}

func (e *echo) Receive(_ time.Time, env message.Envelope) {
	e.outbox = append(e.outbox, message.Envelope{From: env.To, To: env.From, Body: env.Body})
}

func (e *echo) Tick(time.Time) { e.ticks++ }

func (e *echo) Outbox() []message.Envelope {
	out := e.outbox
	e.outbox = nil
	return out
}

type channelSender chan message.Envelope

func (s channelSender) Send(env message.Envelope) { s <- env }

func start(t *testing.T, machine *echo, edit func(cfg *daemon.Config)) (*daemon.Loop, manualClock, channelSender, func()) {
	t.Helper()
	clock := manualClock{ticks: make(chan time.Time)}
	sent := make(channelSender, 16)
	cfg := daemon.Config{Machine: machine, Sender: sent, Clock: clock}
	edit(&cfg)
	loop := daemon.New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := loop.Start(ctx)
	return loop, clock, sent, func() {
		cancel()
		<-done
	}
}

// TestLoop guards against steps that run outside the loop, messages that leave
// before the After hook has carried out a step, and a loop that does not end.
func TestLoop(t *testing.T) {
	machine := &echo{}
	var order []string
	loop, clock, sent, stop := start(t, machine, func(cfg *daemon.Config) {
		cfg.AfterIteration = func(time.Time) { order = append(order, "after") }
	})
	loop.Deliver(message.Envelope{From: zinniasill.Node{ID: "a"}, To: zinniasill.Node{ID: "b"}})
	if answer := <-sent; answer.To.ID != "a" {
		t.Errorf("answer %+v", answer)
	}
	clock.ticks <- time.Time{}
	ticks := 0
	if err := loop.Do(t.Context(), func(time.Time) { ticks = machine.ticks }); err != nil || ticks != 1 {
		t.Errorf("%d ticks, error %v", ticks, err)
	}
	stop()
	if len(order) < 2 {
		t.Errorf("the hook ran %d times", len(order))
	}
	if err := loop.Do(t.Context(), func(time.Time) {}); !errors.Is(err, daemon.ErrStopped) {
		t.Errorf("after the end: %v", err)
	}
}

// TestFullMailbox guards against a link that a busy machine blocks: what does not
// fit is dropped and counted.
func TestFullMailbox(t *testing.T) {
	machine := &echo{}
	dropped := 0
	block := make(chan struct{})
	entered := make(chan struct{})
	loop, _, _, stop := start(t, machine, func(cfg *daemon.Config) { cfg.Dropped = func() { dropped++ } })
	loop.Post(func(time.Time) {
		close(entered)
		<-block
	})
	<-entered
	const more = 10
	for range 4096 + more {
		loop.Post(func(time.Time) {})
	}
	if dropped != more {
		t.Errorf("%d dropped, want %d", dropped, more)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := loop.Do(ctx, func(time.Time) {}); !errors.Is(err, context.Canceled) {
		t.Errorf("full mailbox: %v", err)
	}
	close(block)
	stop()
}
