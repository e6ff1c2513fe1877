// Package decision writes decision lines: structured log lines, one for each decision of
// a role. Their rate is limited, and recording a decision never blocks.
//
//	log := decision.New(decision.Config{Log: logger, Clock: clock, PerSecond: 400})
//	done := log.Start(ctx)
//	log.Record("job-taken", slog.String("job", id))
package decision

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill"
)

const (
	// DefaultPerSecond is the default maximum number of lines written per second.
	DefaultPerSecond = 600
	// queueSize is the maximum number of lines queued while the log output is slow.
	queueSize = 512
)

// Config configures a Log. Log and Clock are required.
type Config struct {
	Log      logrus.FieldLogger
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	// PerSecond is the maximum number of lines written per second, DefaultPerSecond
	// if 0.
	PerSecond int
}

// Log is a zinniasill.Recorder that writes to a logger. It is safe for concurrent use.
// Use New.
type Log struct {
	cfg     Config
	lines   chan line
	dropped atomic.Int64
}

type line struct {
	recordedAt time.Time
	decision   string
	inputs     []slog.Attr
}

// New returns a log. Lines are queued until Start is called.
func New(cfg Config) *Log {
	if cfg.PerSecond == 0 {
		cfg.PerSecond = DefaultPerSecond
	}
	return &Log{cfg: cfg, lines: make(chan line, queueSize)}
}

// Record implements zinniasill.Recorder. If the queue is full, the line is dropped and
// counted as dropped.
func (l *Log) Record(decision string, inputs ...slog.Attr) {
	if l.cfg.Counters != nil {
		l.cfg.Counters.Inc("decisions", zinniasill.Reason(decision))
	}
	select {
	case l.lines <- line{recordedAt: l.cfg.Clock.Now(), decision: decision, inputs: inputs}:
	default:
		l.dropped.Add(1)
	}
}

// Start starts the goroutine that writes lines until ctx is done. The returned channel
// is closed when it has returned.
func (l *Log) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		windowStart, written := time.Time{}, 0
		for {
			select {
			case <-ctx.Done():
				return
			case next := <-l.lines:
				if next.recordedAt.Sub(windowStart) >= time.Second {
					windowStart, written = next.recordedAt, 0
					l.reportDropped()
				}
				if written++; written > l.cfg.PerSecond {
					l.dropped.Add(1)
					continue
				}
				l.write(next)
			}
		}
	}()
	return done
}

// reportDropped logs the number of lines dropped since the last report, if any.
func (l *Log) reportDropped() {
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.cfg.Log.WithField("lines", dropped).Warn("log lines were dropped")
	}
}

func (l *Log) write(next line) {
	fields := make(logrus.Fields, len(next.inputs))
	for _, input := range next.inputs {
		value := input.Value.Resolve()
		if value.Kind() == slog.KindDuration {
			fields[input.Key+"-ms"] = float64(value.Duration().Microseconds()) / 1000
			continue
		}
		fields[input.Key] = value.Any()
	}
	l.cfg.Log.WithFields(fields).Info(next.decision)
}
