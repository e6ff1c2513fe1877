package peer

import (
	"sync"
	"time"

	"zinniasill"
	"zinniasill/core/budget"
)

const (
	// linkBytes is the memory of an accepted connection without received messages.
	linkBytes = 8 << 10
	// unchargedBytes is the part of an incomplete message that is not charged, so that small
	// messages, nearly all there are, do not use the budget.
	unchargedBytes = splitSize
	// grantBytes is the number of bytes that are asked for at a time.
	grantBytes = 64 << 10
	// grantRetryDelay is the wait before a link asks again for memory that it was refused.
	grantRetryDelay = 10 * time.Millisecond
)

// linkAccount charges the incomplete message of an accepted connection to the class of peers.
// Its zero value charges nothing.
type linkAccount struct {
	account *budget.Account
	clock   zinniasill.Clock

	mu sync.Mutex
	// incomplete counts the bytes received since the last complete message, granted those
	// that the account has been granted for them.
	incomplete, granted int64
}

// openLinkAccount returns the account of an accepted connection, which calls revoke if the
// connection must be closed. Without a budget, the account charges nothing.
func openLinkAccount(t *Transport, client string, revoke func()) (*linkAccount, error) {
	if t.cfg.Budget == nil {
		return &linkAccount{}, nil
	}
	account, err := t.cfg.Budget.Open(t.cfg.Clock.Now(), budget.Request{
		Class: budget.Peers, Client: client, Size: linkBytes, OnRevoke: revoke,
	})
	if err != nil {
		return nil, err
	}
	return &linkAccount{account: account, clock: t.cfg.Clock}, nil
}

// received charges n received bytes. After an error it may be called again with 0.
func (l *linkAccount) received(n int) error {
	if l.account == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete += int64(n)
	missing := l.incomplete - unchargedBytes - l.granted
	if missing <= 0 {
		return nil
	}
	now := l.clock.Now()
	if l.granted == 0 {
		l.account.Transfer(now)
	}
	l.account.Progress(now, int64(n))
	wanted := (missing + grantBytes - 1) / grantBytes * grantBytes
	if err := l.account.Grow(now, wanted); err != nil {
		return err
	}
	l.granted += wanted
	return nil
}

// complete records that a message was delivered and returns the bytes charged for it. Bytes of
// the next message that were received before count as part of this one.
func (l *linkAccount) complete() {
	if l.account == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete = 0
	if l.granted > 0 {
		l.account.Shrink(l.granted)
		l.granted = 0
		l.account.Settle()
	}
}

// established records that the hello was received: a link may be idle as long as it likes.
func (l *linkAccount) established() {
	l.complete()
	if l.account != nil {
		l.account.Settle()
	}
}

// close returns all bytes of the account.
func (l *linkAccount) close() {
	if l.account != nil {
		l.account.Close()
	}
}
