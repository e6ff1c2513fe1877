package operator

import (
	"context"
	"time"

	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/io/daemon"
)

// Replica is the Configuration of a control replica in the same process.
type Replica struct {
	// Loop runs Server.
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

type outcome[T any] struct {
	value T
	err   error
}

// await starts a request on the loop and waits until it is done.
func await[T any](ctx context.Context, loop *daemon.Loop, start func(time.Time, func(T, error))) (T, error) {
	// One place lets the loop deliver an answer that nobody waits for any more.
	answers := make(chan outcome[T], 1)
	var none T
	err := loop.Do(ctx, func(now time.Time) {
		start(now, func(value T, err error) { answers <- outcome[T]{value: value, err: err} })
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
