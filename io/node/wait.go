package node

import (
	"context"
	"time"

	"zinniasill"
	"zinniasill/io/daemon"
)

const (
	// idlePollInterval is the time between checks whether a stopping role is idle.
	idlePollInterval = 10 * time.Millisecond
	// changeTimeout bounds the wait for the loop to apply a change of the endpoint.
	changeTimeout = 10 * time.Second
)

// whenAllClosed returns a channel that is closed once all given channels are closed.
func whenAllClosed(ends ...<-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, end := range ends {
			<-end
		}
	}()
	return done
}

// waitFor polls idle on the loop's goroutine until it returns true. It returns an error
// if ctx is done or the loop has stopped first.
func waitFor(ctx context.Context, clock zinniasill.Clock, loop *daemon.Loop, idle func() bool) error {
	ticks, stop := clock.NewTicker(idlePollInterval)
	defer stop()
	for {
		done := false
		if err := loop.Do(ctx, func(time.Time) { done = idle() }); err != nil {
			return err
		}
		if done {
			return nil
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
