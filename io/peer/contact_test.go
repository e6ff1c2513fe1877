package peer

import (
	"testing"
	"time"

	"zinniasill/io/daemon"
)

// stillClock is a clock whose tickers never tick, so that a back-off never ends by itself.
type stillClock struct{ daemon.SystemClock }

func (stillClock) NewTicker(time.Duration) (ticks <-chan time.Time, stop func()) {
	return nil, func() {}
}

// TestContactEndsBackOff guards against a process that leaves another one without messages
// for up to a second after that has started, because of the failed attempts before.
func TestContactEndsBackOff(t *testing.T) {
	book := &addressBook{}
	failed := make(chan struct{}, 1)
	a := start(t, "a", book, func(cfg *Config) {
		cfg.Clock = stillClock{}
		cfg.Notify = func(event LinkEvent) {
			if event.Peer == "b" && event.State == StateDown {
				failed <- struct{}{}
			}
		}
	})
	a.Send(grant("b", 1))
	<-failed // There is no address of b yet.
	b := start(t, "b", book, nil)
	book.set("a", a.Address())
	book.set("b", b.Address())
	b.Send(grant("a", 2))
	select {
	case <-b.inbox:
	case <-time.After(30 * time.Second):
		t.Error("the envelope is still queued")
	}
}
