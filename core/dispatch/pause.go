package dispatch

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"zinniasill"
)

// maxPause is the longest time without an event after which this entry still holds the locks
// of its jobs. It is shorter than the time after which they expire, by a heartbeat.
const maxPause = time.Second

// detectPause detects that the process has been paused, and ends all jobs then: their locks
// have expired, and other entries may work on them.
func (d *Dispatcher) detectPause(now time.Time) {
	pause := now.Sub(d.lastActive)
	if d.lastActive.IsZero() || pause <= maxPause {
		d.lastActive = now
		return
	}
	d.lastActive = now
	d.record("entry-paused", slog.Duration("pause", pause), slog.Int("jobs", len(d.jobs)))
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		d.finish(now, d.jobs[id], Unknown, zinniasill.ReasonOutcomeUnknown)
	}
}
