package daemon

import "time"

// SystemClock is a clock that uses the system's time, with its monotonic reading.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// NewTicker returns the channel of a new ticker and a function that stops it.
func (SystemClock) NewTicker(period time.Duration) (ticks <-chan time.Time, stop func()) {
	ticker := time.NewTicker(period)
	return ticker.C, ticker.Stop
}
