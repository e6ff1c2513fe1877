package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"zinniasill"
	"zinniasill/core/route"
)

const (
	// startTimeout is the time after the start of a dispatcher in which it holds the
	// requests that arrive before the first configuration. After a restart of all
	// processes, entries have a configuration 0.4 to 0.5 s after their start. Callers give
	// up after 1.5 s.
	startTimeout = time.Second
	// maxHeldRequests and maxHeldBytes limit the requests that are held at the same time,
	// and their bodies. An entry with 0.192 of a core gets up to 600 requests in the time
	// that it holds them, with bodies of about 1 KB.
	maxHeldRequests = 1024
	maxHeldBytes    = 16 << 20
)

// HeldRequest describes a request to AwaitTable.
type HeldRequest struct {
	// Path is recorded in the decision line.
	Path string
	// Bytes is the size of the body, which the caller keeps in memory.
	Bytes int
}

// Outcomes of holding a request. They are the reasons of the counter requests_held.
const (
	heldUntilConfiguration = "configuration"
	heldUntilTimeout       = "start-timeout"
	heldUntilStop          = "shutting-down"
	heldUntilDisconnected  = "disconnected"
	notHeldTooMany         = "too-many"
)

// startHold holds the requests that arrive before the first configuration. All of them are
// released at once, and none is held from then on.
type startHold struct {
	startedAt time.Time
	// released is closed when the requests are released, and outcome is set before.
	released chan struct{}

	mu       sync.Mutex
	outcome  zinniasill.Reason
	requests int
	bytes    int
}

func newStartHold(now time.Time) *startHold {
	return &startHold{startedAt: now, released: make(chan struct{})}
}

// release releases the requests. Only the first call has an effect.
func (h *startHold) release(outcome zinniasill.Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outcome == "" {
		h.outcome = outcome
		close(h.released)
	}
}

// expire releases the requests if the start of the process takes too long.
func (h *startHold) expire(now time.Time) {
	if now.Sub(h.startedAt) >= startTimeout {
		h.release(heldUntilTimeout)
	}
}

// ended reports whether requests are no longer held.
func (h *startHold) ended() bool {
	select {
	case <-h.released:
		return true
	default:
		return false
	}
}

// wait holds a request until all are released or ctx is done. It returns the outcome, and
// the number of requests that were held when this one arrived.
func (h *startHold) wait(ctx context.Context, request HeldRequest) (outcome zinniasill.Reason, others int) {
	others, ok := h.add(request)
	if !ok {
		return notHeldTooMany, others
	}
	defer h.remove(request)
	select {
	case <-h.released:
		return h.outcome, others
	case <-ctx.Done():
		return heldUntilDisconnected, others
	}
}

// add counts a request. It returns the number of those before it, and false if it exceeds
// the limits.
func (h *startHold) add(request HeldRequest) (others int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	others = h.requests
	if h.requests >= maxHeldRequests || h.bytes+request.Bytes > maxHeldBytes {
		return others, false
	}
	h.requests++
	h.bytes += request.Bytes
	return others, true
}

func (h *startHold) remove(request HeldRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests--
	h.bytes -= request.Bytes
}

// Starting reports whether requests are held because no configuration is known yet.
func (d *Dispatcher) Starting() bool {
	return !d.hold.ended()
}

// AwaitTable returns the routing table in force. Right after the start of the process,
// while there is none yet, it waits for the first one and also returns when it began to
// wait; otherwise that time is zero. It returns nil if there is no table, if ctx is done
// first, or if too many requests wait already.
func (d *Dispatcher) AwaitTable(ctx context.Context, request HeldRequest) (table *route.Table, arrivedAt time.Time) {
	if !d.Starting() {
		return d.Table(), time.Time{}
	}
	arrivedAt = d.cfg.Clock.Now()
	outcome, others := d.hold.wait(ctx, request)
	waited := d.cfg.Clock.Now().Sub(arrivedAt)
	d.cfg.Counters.Inc("requests_held", outcome)
	d.cfg.Histograms.Observe("request_hold", outcome, waited)
	d.cfg.Recorder.Record("request-held", slog.String("path", request.Path),
		slog.String("outcome", string(outcome)), slog.Duration("waited", waited),
		slog.Int("held", others), slog.Int("bytes", request.Bytes),
		slog.Duration("since-start", arrivedAt.Sub(d.hold.startedAt)))
	if outcome != heldUntilConfiguration {
		return nil, arrivedAt
	}
	return d.Table(), arrivedAt
}
