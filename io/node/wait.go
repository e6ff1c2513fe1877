package node

import (
	"context"
	"time"

	"zinniasill"
	"zinniasill/io/daemon"
)

const (
	// idlePoll is the time between two looks whether a stopping role is idle.
	idlePoll = 10 * time.Millisecond
	// changeTimeout bounds the wait for a loop to take a changed endpoint.
	changeTimeout = 10 * time.Second
)

// joined returns a channel that is closed when all given channels are closed.
func joined(ends ...<-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, end := range ends {
			<-end
		}
	}()
	return done
}

// waitFor returns when idle, which runs on the loop's goroutine, returns true, or
// with an error when ctx or the loop ends.
func waitFor(ctx context.Context, clock zinniasill.Clock, loop *daemon.Loop, idle func() bool) error {
	ticks, stop := clock.NewTicker(idlePoll)
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
