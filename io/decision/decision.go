// Package decision writes decisions as structured log lines, with a bounded volume and
// without ever blocking the process.
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
	// DefaultPerSecond is the number of lines a second that are written.
	DefaultPerSecond = 600
	// queueSize is the number of lines that wait for a slow reader of the log.
	queueSize = 512
)

// Config configures a Log. Log and Clock are required.
type Config struct {
	Log      logrus.FieldLogger
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	// PerSecond is DefaultPerSecond if 0.
	PerSecond int
}

// Log is a Recorder that writes to a logger. It is safe for concurrent use. Use New.
type Log struct {
	cfg     Config
	lines   chan line
	dropped atomic.Int64
}

type line struct {
	at       time.Time
	decision string
	inputs   []slog.Attr
}

// New returns a log that has not started. Lines wait until it has.
func New(cfg Config) *Log {
	if cfg.PerSecond == 0 {
		cfg.PerSecond = DefaultPerSecond
	}
	return &Log{cfg: cfg, lines: make(chan line, queueSize)}
}

// Record implements zinniasill.Recorder. A line that finds the queue full is dropped
// and counted.
func (l *Log) Record(decision string, inputs ...slog.Attr) {
	if l.cfg.Counters != nil {
		l.cfg.Counters.Inc("decisions", zinniasill.Reason(decision))
	}
	select {
	case l.lines <- line{at: l.cfg.Clock.Now(), decision: decision, inputs: inputs}:
	default:
		l.dropped.Add(1)
	}
}

// Start writes lines until ctx ends. The returned channel is closed at the end.
func (l *Log) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		second, written := time.Time{}, 0
		for {
			select {
			case <-ctx.Done():
				return
			case next := <-l.lines:
				if next.at.Sub(second) >= time.Second {
					second, written = next.at, 0
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
