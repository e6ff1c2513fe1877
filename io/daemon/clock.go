package daemon

import "time"

// SystemClock is the machine's monotonic clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// NewTicker returns a ticker of the system clock.
func (SystemClock) NewTicker(period time.Duration) (ticks <-chan time.Time, stop func()) {
	ticker := time.NewTicker(period)
	return ticker.C, ticker.Stop
}
