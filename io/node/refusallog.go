package node

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/io/httpserver"
)

const (
	// recordInterval is the least time between two decision lines on clients that were turned
	// away. A crowd must not use up the decision lines of the jobs.
	recordInterval = 20 * time.Millisecond
	// logInterval is the least time between two log lines where there is no recorder.
	logInterval = time.Second
)

// refusalLog writes a line for clients that are turned away for want of memory or
// connections. It leaves out lines that follow each other too fast and says how many.
type refusalLog struct {
	// recorder is nil where decisions are not recorded; log gets the lines then.
	recorder zinniasill.Recorder
	log      logrus.FieldLogger
	clock    zinniasill.Clock
	mu       sync.Mutex
	last     time.Time
	skipped  int
}

// requestRefused writes the line of a refused request.
func (l *refusalLog) requestRefused(r *http.Request, refusal *budget.ExhaustedError) {
	l.write("request-refused", "request refused for want of memory", []slog.Attr{
		slog.String("host", r.Host), slog.String("path", r.URL.Path), slog.String("method", r.Method),
		slog.String("reason", string(refusal.Reason)), slog.String("class", string(refusal.Class)),
		slog.String("client", r.RemoteAddr), slog.Int64("body-bytes", r.ContentLength),
		slog.Int64("held-bytes", refusal.Held), slog.Int64("wanted-bytes", refusal.Wanted),
		slog.Int64("class-bytes", refusal.Used), slog.Int64("client-bytes", refusal.ClientHeld),
	})
}

// connectionClosed writes the line of a connection that was closed before its client did.
func (l *refusalLog) connectionClosed(closed httpserver.ClosedConnection) {
	l.write("connection-closed", "connection closed for want of resources", []slog.Attr{
		slog.String("reason", string(closed.Reason)), slog.String("class", string(closed.Class)),
		slog.String("client", closed.Client), slog.Int("client-connections", closed.ClientOpen),
		slog.Int("class-connections", closed.ClassOpen),
	})
}

// write writes a line unless the last one was written too short a time ago.
func (l *refusalLog) write(decision, text string, inputs []slog.Attr) {
	interval := recordInterval
	if l.recorder == nil {
		interval = logInterval
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now.Sub(l.last) < interval {
		l.skipped++
		return
	}
	inputs = append(inputs, slog.Int("more", l.skipped))
	l.last, l.skipped = now, 0
	if l.recorder != nil {
		l.recorder.Record(decision, inputs...)
		return
	}
	fields := logrus.Fields{}
	for _, input := range inputs {
		fields[input.Key] = input.Value.Any()
	}
	l.log.WithFields(fields).Warn(text)
}
