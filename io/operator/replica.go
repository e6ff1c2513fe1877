package operator

import (
	"context"
	"time"

	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/io/daemon"
)

// Replica implements Configuration with the control replica of this process.
type Replica struct {
	// Loop is the loop that Server runs on.
	Loop   *daemon.Loop
	Server *control.Server
}

// Propose implements Configuration.
func (r Replica) Propose(ctx context.Context, command control.Command) (control.Result, error) {
	return await(ctx, r.Loop, func(now time.Time, done func(control.Result, error)) {
		r.Server.Submit(now, command, done)
	})
}

// Catalog implements Configuration.
func (r Replica) Catalog(ctx context.Context) (*catalog.Catalog, error) {
	return await(ctx, r.Loop, r.Server.Read)
}

// result is the outcome of a request to the loop.
type result[T any] struct {
	value T
	err   error
}

// await starts a request on the loop and waits for its result or the end of ctx.
func await[T any](ctx context.Context, loop *daemon.Loop, start func(time.Time, func(T, error))) (T, error) {
	// The buffer keeps the loop from blocking when the caller no longer waits.
	answers := make(chan result[T], 1)
	var none T
	err := loop.Do(ctx, func(now time.Time) {
		start(now, func(value T, err error) { answers <- result[T]{value: value, err: err} })
	})
	if err != nil {
		return none, err
	}
	select {
	case answer := <-answers:
		return answer.value, answer.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
