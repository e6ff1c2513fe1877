package budget

import "time"

// RevokeOldest tells up to count accounts of a class whose bodies make no progress to close,
// the oldest first. It frees connections when none is idle.
func (b *Budget) RevokeOldest(now time.Time, class Class, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detectPause(now)
	for element := b.open.Front(); element != nil && count > 0; element = element.Next() {
		a, ok := element.Value.(*Account)
		if ok && a.req.Class == class && !a.closing && b.stalled(now, a) {
			a.revoke()
			count--
		}
	}
}

// revokeStalled tells stalled accounts to close until they hold the missing bytes. It returns
// whether any account that a grant waits for is closing. Accounts in the guaranteed part of
// another class are left alone, since closing them frees nothing.
func (b *Budget) revokeStalled(now time.Time, wanting *Account, reason Reason, missing int64) bool {
	return b.revokeWhere(now, missing, func(a *Account) bool {
		switch {
		case a == wanting:
			return false
		case reason == ClientFull:
			return a.large && a.clientID() == wanting.clientID()
		case a.req.Class == wanting.req.Class:
			return true
		default:
			return reason == Full && b.used[a.req.Class] > b.percent(shares[a.req.Class].guaranteed)
		}
	})
}

// revokeWhere tells matching stalled accounts to close, the oldest first, until those that
// are closing hold the missing bytes. It returns whether any is closing.
func (b *Budget) revokeWhere(now time.Time, missing int64, matches func(*Account) bool) bool {
	b.detectPause(now)
	for element := b.open.Front(); element != nil; element = element.Next() {
		if a, ok := element.Value.(*Account); ok && a.closing && matches(a) {
			missing -= max(a.bytes, 1)
		}
	}
	pending := false
	for element := b.open.Front(); element != nil; element = element.Next() {
		a, ok := element.Value.(*Account)
		if !ok || !matches(a) {
			continue
		}
		if missing > 0 && !a.closing && b.stalled(now, a) {
			a.revoke()
			missing -= max(a.bytes, 1)
		}
		pending = pending || a.closing
	}
	return pending
}

// stalled reports whether the body of an account makes no progress. A pause of the process
// does not count.
func (b *Budget) stalled(now time.Time, a *Account) bool {
	since := a.progressed
	if b.resumed.After(since) {
		since = b.resumed
	}
	return !a.settled && now.Sub(since) >= StallTime
}
