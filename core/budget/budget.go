// Package budget accounts for the memory that a process spends on requests and links. It
// only counts: the memory is allocated by its users, who ask before they allocate.
//
//	b := budget.New(budget.Config{Limit: 64 << 20, LargestRequest: 24 << 20})
//	account, err := b.Open(now, budget.Request{Class: budget.Callers, Client: "10.0.0.7", Size: 600})
//	if err != nil {
//		return err // *ExhaustedError
//	}
//	defer account.Close()
//	err = account.Grow(now, 4096) // as bytes arrive
//	account.Settle()              // the body is complete
//
// Every class has a guaranteed part that no other class can take. A further part is kept for
// requests of at most SmallRequest bytes. When a grant does not fit, accounts whose body
// makes no progress are told to close, the oldest first; they count until they are closed.
// A Budget is safe for concurrent use.
package budget

import (
	"container/list"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Class is a kind of client that shares the budget with others.
type Class string

// Values of Class.
const (
	Callers    Class = "callers"
	Operators  Class = "operators"
	Endpoint   Class = "endpoint"
	Peers      Class = "peers"
	Monitoring Class = "monitoring"
)

// share is the part of the limit that a class is guaranteed and may use at most, in percent.
type share struct {
	guaranteed, most int64
}

// shares are chosen so that the callers' part without the reserve, 48 percent, holds a
// largest legal request at the limit of an entry with 184 MB. Peers may not use all of the
// shared part, because unknown processes can connect to their listener too.
var shares = map[Class]share{
	Callers:    {guaranteed: 0, most: 100},
	Operators:  {guaranteed: 6, most: 100},
	Endpoint:   {guaranteed: 6, most: 100},
	Peers:      {guaranteed: 25, most: 50},
	Monitoring: {guaranteed: 3, most: 10},
}

// Classes returns all classes.
func Classes() []Class {
	return []Class{Callers, Operators, Endpoint, Peers, Monitoring}
}

const (
	// reservePercent is the part of the limit that only small requests can use.
	reservePercent = 12
	// SmallRequest is the largest size of an account in bytes that can use the reserve. A
	// job of 5 KiB needs three times its size with its headers while it is decoded.
	SmallRequest = 32 << 10
	// clientPercent is the part of the limit that the large requests of one caller can hold.
	clientPercent = 24
	// StallTime is how long a body may make no progress before its account may be told to
	// close.
	StallTime = time.Second
	// progressStep is the number of bytes that count as progress. Without it a client could
	// hold its memory with a byte a second.
	progressStep = 1 << 10
	// maxTickGap is the time between two calls of Tick from which the process was paused.
	maxTickGap = time.Second
	// retryAfter is when a refused client may try again: by then stalled bodies are closed.
	retryAfter = StallTime
)

// Config configures a Budget.
type Config struct {
	// Limit is the number of bytes that all accounts can hold.
	Limit int64
	// LargestRequest is the number of bytes that one caller can hold at least, so that the
	// bound for a client refuses no request that is alone.
	LargestRequest int64
}

// Request describes the holder of an account.
type Request struct {
	Class Class
	// Client identifies the client whose large requests are bounded together.
	Client string
	// Size is the number of bytes that the account starts with.
	Size int64
	// OnRevoke, if set, is called once when the account is told to close. It must not call
	// the Budget.
	OnRevoke func()
}

// Budget grants bytes to accounts. Use New.
type Budget struct {
	cfg Config
	mu  sync.Mutex
	// used and clients count bytes by class, and of large requests by client.
	used    map[Class]int64
	clients map[clientID]int64
	// open lists the accounts, the oldest first.
	open *list.List
	// ticked is the time of the last tick, resumed that of the end of the last pause.
	ticked, resumed time.Time
}

// clientID identifies a client of a class.
type clientID struct {
	class  Class
	client string
}

// New returns a budget without accounts.
func New(cfg Config) *Budget {
	return &Budget{
		cfg: cfg, used: map[Class]int64{}, clients: map[clientID]int64{}, open: list.New(),
	}
}

// Open opens an account of req.Size bytes. The error is an *ExhaustedError unless the class
// is unknown.
func (b *Budget) Open(now time.Time, req Request) (*Account, error) {
	if _, ok := shares[req.Class]; !ok {
		return nil, eris.Errorf("unknown budget class %q", req.Class)
	}
	a := &Account{budget: b, req: req, opened: now, progressed: now, revoked: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.element = b.open.PushBack(a)
	if err := b.grow(now, a, req.Size); err != nil {
		b.remove(a)
		return nil, err
	}
	return a, nil
}

// grow grants n more bytes to an open account, or tells stalled accounts to close.
func (b *Budget) grow(now time.Time, a *Account, n int64) error {
	if a.closing {
		return b.exhausted(a, n, Stalled)
	}
	large := a.large || a.bytes+n > SmallRequest
	reason, missing := b.shortage(a, n, large)
	if missing > 0 {
		refusal := b.exhausted(a, n, reason)
		refusal.Pending = b.revokeStalled(now, a, reason, missing)
		return refusal
	}
	if large && !a.large {
		a.large = true
		b.addToClient(a, a.bytes)
	}
	a.bytes += n
	b.used[a.req.Class] += n
	if a.large {
		b.addToClient(a, n)
	}
	return nil
}

// exhausted returns the error for n bytes that an account is not granted.
func (b *Budget) exhausted(a *Account, n int64, reason Reason) *ExhaustedError {
	return &ExhaustedError{
		Class: a.req.Class, Reason: reason, RetryAfter: retryAfter, Wanted: n, Held: a.bytes,
		Used: b.used[a.req.Class], ClientHeld: b.clients[a.clientID()],
	}
}

// shortage returns how many bytes are missing for a grant, 0 if it fits, and why.
func (b *Budget) shortage(a *Account, n int64, large bool) (Reason, int64) {
	class := a.req.Class
	if large && class == Callers {
		held := b.clients[a.clientID()]
		if !a.large {
			held += a.bytes
		}
		bound := max(b.percent(clientPercent), b.cfg.LargestRequest)
		if missing := held + n - bound; missing > 0 {
			return ClientFull, missing
		}
	}
	wanted := b.used[class] + n
	if missing := wanted - b.percent(shares[class].most); missing > 0 {
		return ClassFull, missing
	}
	if wanted <= b.percent(shares[class].guaranteed) {
		return "", 0
	}
	limit := b.cfg.Limit
	if large && class != Peers {
		limit -= b.percent(reservePercent)
	}
	return Full, max(wanted+b.committed(class)-limit, 0)
}

// committed returns the bytes that a class cannot use because of the others: what they hold,
// or are guaranteed if that is more.
func (b *Budget) committed(except Class) int64 {
	sum := int64(0)
	for class, part := range shares {
		if class != except {
			sum += max(b.used[class], b.percent(part.guaranteed))
		}
	}
	return sum
}

// percent returns a part of the limit. The limit is divided first, so that no product
// overflows.
func (b *Budget) percent(part int64) int64 {
	return b.cfg.Limit / 100 * part
}

// remove returns the bytes of an account.
func (b *Budget) remove(a *Account) {
	if a.element == nil {
		return
	}
	b.open.Remove(a.element)
	a.element = nil
	b.release(a, a.bytes)
}

// release returns n of the bytes of an account.
func (b *Budget) release(a *Account, n int64) {
	a.bytes -= n
	b.used[a.req.Class] -= n
	if a.large {
		b.addToClient(a, -n)
	}
}

// addToClient adds n bytes to those that the large requests of a client hold.
func (b *Budget) addToClient(a *Account, n int64) {
	id := a.clientID()
	b.clients[id] += n
	if b.clients[id] == 0 {
		delete(b.clients, id)
	}
}

// Tick tells the budget the time. It is called every few hundred milliseconds: a longer gap
// means that the process was paused, which is no fault of the clients.
func (b *Budget) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detectPause(now)
	b.ticked = now
}

// detectPause notes the end of a pause of the process.
func (b *Budget) detectPause(now time.Time) {
	if !b.ticked.IsZero() && now.Sub(b.ticked) > maxTickGap {
		b.resumed = now
		b.ticked = now
	}
}

// Limit returns the number of bytes that all accounts can hold.
func (b *Budget) Limit() int64 {
	return b.cfg.Limit
}

// Used returns the bytes that the accounts of a class hold.
func (b *Budget) Used(class Class) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[class]
}

// OldestBody returns the age of the oldest account whose body is not complete, 0 if there
// is none.
func (b *Budget) OldestBody(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	for element := b.open.Front(); element != nil; element = element.Next() {
		if a, ok := element.Value.(*Account); ok && !a.settled {
			return now.Sub(a.opened)
		}
	}
	return 0
}
