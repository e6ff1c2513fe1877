package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
	"zinniasill/core/route"
	"zinniasill/internal/countertest"
	"zinniasill/io/daemon"
)

// discardDecisions is a Recorder and Histograms that discard everything.
type discardDecisions struct{}

func (discardDecisions) Record(string, ...slog.Attr) {}

func (discardDecisions) Observe(string, zinniasill.Reason, time.Duration) {}

// dropLink is a peer.Sender that drops all messages.
type dropLink struct{ discardSender }

func (dropLink) Probe(zinniasill.NodeID) {}

// newTestDispatcher returns a dispatcher whose messages are dropped. Its only document is
// compiled to an empty table.
func newTestDispatcher(counters zinniasill.Counters, clock zinniasill.Clock) *Dispatcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	report := catalog.NodeEntry{Node: zinniasill.Node{ID: "entry-1"}, Domain: "a", Role: catalog.RoleEntry}
	renewer := NewLeaseRenewer(LeaseRenewerConfig{
		Entry: report, Replicas: []zinniasill.NodeID{"control-1"}, Sender: discardSender{}, Clock: clock, Log: log,
	})
	return NewDispatcher(DispatcherConfig{
		DirectConfig: DirectConfig{
			LeaseRenewer: renewer, Report: report, Sender: dropLink{}, Clock: clock,
			Counters: counters, Histograms: discardDecisions{}, Log: log, Recorder: discardDecisions{},
		},
		Compile: func([]byte) (*route.Table, error) { return route.New(1, nil, nil) },
	})
}

// TestHeldRequests guards against requests that are refused although the entry has a
// configuration a moment later, and against ones that wait for longer than the start.
func TestHeldRequests(t *testing.T) {
	const held = 3
	tests := map[string]struct {
		end         func(t *testing.T, d *Dispatcher, disconnect context.CancelFunc)
		outcome     string
		table       bool
		heldAfter   bool
		longestWait time.Duration
	}{
		"configuration": {
			end: func(t *testing.T, d *Dispatcher, _ context.CancelFunc) {
				time.Sleep(400 * time.Millisecond)
				cat := catalog.New()
				cat.Revision, cat.Document = 1, catalog.Document{Version: 1, Content: []byte("{}")}
				grantLease(t, d.renewer, time.Now(), cat)
				d.afterIteration(time.Now())
			},
			outcome: "configuration", table: true, longestWait: 400 * time.Millisecond,
		},
		"timeout": {
			end: func(_ *testing.T, d *Dispatcher, _ context.CancelFunc) {
				time.Sleep(startTimeout)
				d.afterIteration(time.Now())
			},
			outcome: "start-timeout", longestWait: startTimeout,
		},
		"stop": {
			end: func(t *testing.T, d *Dispatcher, _ context.CancelFunc) {
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				_ = d.Stop(ctx)
			},
			outcome: "shutting-down",
		},
		"disconnection": {
			end:     func(_ *testing.T, _ *Dispatcher, disconnect context.CancelFunc) { disconnect() },
			outcome: "disconnected", heldAfter: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counters := countertest.New()
				d := newTestDispatcher(counters, daemon.SystemClock{})
				start := time.Now()
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				var requests sync.WaitGroup
				for range held {
					requests.Go(func() {
						table, arrivedAt := d.AwaitTable(ctx, HeldRequest{Bytes: 1000})
						if (table != nil) != tt.table || !arrivedAt.Equal(start) {
							t.Errorf("table %v, arrived at %v, want a table: %t, and %v", table, arrivedAt, tt.table, start)
						}
					})
				}
				synctest.Wait()
				if d.hold.requests != held || d.hold.bytes != held*1000 {
					t.Fatalf("%d requests of %d bytes held", d.hold.requests, d.hold.bytes)
				}
				tt.end(t, d, disconnect)
				requests.Wait()
				if waited := time.Since(start); waited > tt.longestWait {
					t.Errorf("requests were held for %s", waited)
				}
				if got := counters.Get("requests_held/" + tt.outcome); got != held {
					t.Errorf("counter of %s is %d, want %d", tt.outcome, got, held)
				}
				if d.hold.requests != 0 || d.hold.bytes != 0 || d.Starting() != tt.heldAfter {
					t.Errorf("%d requests of %d bytes still held, starting %t", d.hold.requests, d.hold.bytes, d.Starting())
				}
			})
		})
	}
}

// TestHeldLimits guards against a crowd of requests that fills the memory of an entry which
// has no configuration.
func TestHeldLimits(t *testing.T) {
	tests := map[string]struct {
		bytes int // of each request
		want  int // requests held
	}{
		"number": {bytes: 0, want: maxHeldRequests},
		"bytes":  {bytes: 256 << 10, want: maxHeldBytes / (256 << 10)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counters := countertest.New()
				d := newTestDispatcher(counters, daemon.SystemClock{})
				var requests sync.WaitGroup
				for i := range maxHeldRequests + 10 {
					requests.Go(func() {
						d.AwaitTable(t.Context(), HeldRequest{Path: fmt.Sprint(i), Bytes: tt.bytes})
					})
				}
				synctest.Wait()
				if d.hold.requests != tt.want || counters.Get("requests_held/too-many") != maxHeldRequests+10-tt.want {
					t.Errorf("%d requests held, want %d", d.hold.requests, tt.want)
				}
				d.hold.release(heldUntilStop)
				requests.Wait()
			})
		})
	}
}

// stillClock is a clock whose tickers never tick.
type stillClock struct{ daemon.SystemClock }

func (stillClock) NewTicker(time.Duration) (ticks <-chan time.Time, stop func()) {
	return nil, func() {}
}

// TestCatalogWakesEntry guards against an idle entry that puts its first configuration into
// force only with its next tick, up to 100 ms after it has arrived.
func TestCatalogWakesEntry(t *testing.T) {
	d := newTestDispatcher(countertest.New(), stillClock{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := d.Start(ctx)
	defer func() {
		cancel()
		<-ended
	}()
	cat := catalog.New()
	cat.Revision, cat.Document = 1, catalog.Document{Version: 1, Content: []byte("{}")}
	d.renewer.RenewSoon() // It ticks the renewer, which sends its first renewal.
	d.Deliver(message.Envelope{
		Version: message.Version, From: zinniasill.Node{ID: "control-1", Incarnation: 1}, To: d.renewer.Node(), Cluster: "c",
		Body: message.RenewReply{Sequence: 1, Revision: 1, Full: cat, Length: time.Minute},
	})
	if table, _ := d.AwaitTable(ctx, HeldRequest{}); table == nil {
		t.Error("no configuration is in force")
	}
}
