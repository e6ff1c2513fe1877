package budget

import (
	"container/list"
	"fmt"
	"time"
)

// Reason states why a grant was refused.
type Reason string

// Values of Reason.
const (
	// Full means that the budget has no free bytes for the request.
	Full Reason = "memory"
	// ClassFull means that the class of the request uses all that it may use.
	ClassFull Reason = "class-memory"
	// ClientFull means that the large requests of the client hold all that one client may.
	ClientFull Reason = "client-memory"
	// Stalled means that the account was told to close because its body made no progress.
	Stalled Reason = "stalled"
)

// ExhaustedError is the error for a grant that does not fit.
type ExhaustedError struct {
	Class      Class
	Reason     Reason
	RetryAfter time.Duration
	// Wanted and Held are the bytes that were asked for, and that the account held.
	Wanted, Held int64
	// Used are the bytes in use by the class, ClientHeld those of large requests of the
	// client.
	Used, ClientHeld int64
	// Pending is set if other accounts have been told to close, so that the grant may fit
	// within milliseconds.
	Pending bool
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("memory budget of %s: %s", e.Class, e.Reason)
}

// Account holds the bytes of one request or connection.
type Account struct {
	budget *Budget
	req    Request
	opened time.Time
	// revoked is closed when the account is told to close.
	revoked chan struct{}
	// The fields below are guarded by the mutex of the budget. element is nil once the
	// account is closed.
	element *list.Element
	bytes   int64
	// progressed is the time of the last progress, and unmarked counts the bytes since.
	progressed time.Time
	unmarked   int64
	// large is set once the account has held more than SmallRequest bytes, settled while no
	// body is in transfer, and closing once the account was told to close.
	large, settled, closing bool
}

// Grow grants n more bytes. The error is an *ExhaustedError.
func (a *Account) Grow(now time.Time, n int64) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.element == nil {
		return nil
	}
	return a.budget.grow(now, a, n)
}

// Shrink returns n bytes, or all if the account holds fewer.
func (a *Account) Shrink(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.release(a, min(n, a.bytes))
}

// Bytes returns the number of bytes that the account holds.
func (a *Account) Bytes() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.bytes
}

// Progress records that n bytes of the body were transferred.
func (a *Account) Progress(now time.Time, n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.unmarked += n
	if a.unmarked >= progressStep {
		a.unmarked = 0
		a.progressed = now
	}
}

// Settle records that the transfer of a body is complete. Afterwards the account is not told
// to close. It returns false if it was told to close before.
func (a *Account) Settle() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.settled = true
	return !a.closing
}

// Transfer records that the transfer of another body, such as the response, begins.
func (a *Account) Transfer(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.settled = false
	a.progressed = now
	a.unmarked = 0
}

// Revoked returns a channel that is closed when the account is told to close.
func (a *Account) Revoked() <-chan struct{} {
	return a.revoked
}

// Close returns all bytes of the account. Further calls have no effect.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.remove(a)
}

// revoke tells the account to close.
func (a *Account) revoke() {
	a.closing = true
	close(a.revoked)
	if a.req.OnRevoke != nil {
		a.req.OnRevoke()
	}
}

func (a *Account) clientID() clientID {
	return clientID{class: a.req.Class, client: a.req.Client}
}
