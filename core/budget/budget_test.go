package budget_test

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill/core/budget"
)

const limit = 1 << 20

var start = time.Unix(1, 0)

func open(t *testing.T, b *budget.Budget, now time.Time, req budget.Request) *budget.Account {
	t.Helper()
	account, err := b.Open(now, req)
	if err != nil {
		t.Fatalf("open %+v: %v", req, err)
	}
	return account
}

// model is a naive copy of the accounts, which are counted by adding them up.
type model struct {
	*budget.Budget
	now      time.Time
	accounts []*held
}

type held struct {
	*budget.Account
	class  budget.Class
	client string
	bytes  int64
	large  bool
}

func (m *model) sum(matches func(*held) bool) int64 {
	sum := int64(0)
	for _, a := range m.accounts {
		if matches(a) {
			sum += a.bytes
		}
	}
	return sum
}

// open draws a request and opens its account.
func (m *model) open(t *rapid.T) {
	a := &held{
		class:  rapid.SampledFrom(budget.Classes()).Draw(t, "class"),
		client: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client"),
		bytes:  rapid.Int64Range(0, 2*budget.SmallRequest).Draw(t, "size"),
	}
	account, err := m.Open(m.now, budget.Request{Class: a.class, Client: a.client, Size: a.bytes})
	if err != nil {
		return
	}
	a.Account, a.large = account, a.bytes > budget.SmallRequest
	m.accounts = append(m.accounts, a)
}

func (m *model) grow(t *rapid.T, a *held) {
	n := rapid.Int64Range(0, limit/4).Draw(t, "bytes")
	if a.Grow(m.now, n) == nil {
		a.bytes += n
		a.large = a.large || a.bytes > budget.SmallRequest
	}
}

func (m *model) shrink(t *rapid.T, a *held) {
	n := rapid.Int64Range(0, limit/4).Draw(t, "bytes")
	a.Shrink(n)
	a.bytes -= min(n, a.bytes)
}

func (m *model) close(index int) {
	m.accounts[index].Close()
	m.accounts[index].Close()
	m.accounts = append(m.accounts[:index], m.accounts[index+1:]...)
}

// step does one drawn operation.
func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	if len(m.accounts) == 0 {
		m.open(t)
		return
	}
	index := rapid.IntRange(0, len(m.accounts)-1).Draw(t, "account")
	a := m.accounts[index]
	switch rapid.IntRange(0, 7).Draw(t, "operation") {
	case 0, 1, 2:
		m.open(t)
	case 3, 4:
		m.grow(t, a)
	case 5:
		m.shrink(t, a)
	case 6:
		a.Settle()
	case 7:
		m.close(index)
	}
}

// check compares the budget with the model.
func (m *model) check(t *rapid.T) {
	total := int64(0)
	for _, class := range budget.Classes() {
		want := m.sum(func(a *held) bool { return a.class == class })
		if used := m.Used(class); used != want {
			t.Fatalf("%s use %d bytes, its accounts hold %d", class, used, want)
		}
		total += want
	}
	if total > limit {
		t.Fatalf("%d bytes are granted of %d", total, limit)
	}
}

// checkReserve opens a small request wherever the small ones hold less than the reserve, and
// peers wherever they hold less than their part.
func (m *model) checkReserve(t *rapid.T) {
	class := rapid.SampledFrom([]budget.Class{budget.Callers, budget.Operators, budget.Endpoint}).Draw(t, "class")
	small := m.sum(func(a *held) bool { return !a.large })
	if small+budget.SmallRequest <= limit/100*12 {
		account, err := m.Open(m.now, budget.Request{Class: class, Client: "a", Size: budget.SmallRequest})
		if err != nil {
			t.Fatalf("small request of %s with %d bytes in small ones: %v", class, small, err)
		}
		account.Close()
	}
	peers := m.sum(func(a *held) bool { return a.class == budget.Peers })
	if free := limit/100*25 - peers; free > 0 {
		account, err := m.Open(m.now, budget.Request{Class: budget.Peers, Client: "a", Size: free})
		if err != nil {
			t.Fatalf("peers with %d bytes: %v", peers, err)
		}
		account.Close()
	}
}

// TestAccounting guards against bytes that are granted twice or never return, a reserve that
// large requests use up, and peers that others starve, whichever requests come and go.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{Budget: budget.New(budget.Config{Limit: limit, LargestRequest: limit / 3}), now: start}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.check(t)
			m.checkReserve(t)
		}
		for len(m.accounts) > 0 {
			m.close(rapid.IntRange(0, len(m.accounts)-1).Draw(t, "account"))
			m.check(t)
		}
		account, err := m.Open(m.now, budget.Request{Class: budget.Callers, Client: "a", Size: limit / 3})
		if err != nil {
			t.Fatalf("largest request with nothing else open: %v", err)
		}
		account.Close()
	})
}

// TestOneClient guards against a client whose large requests take the memory of all others,
// and against a bound for a client that also refuses its small ones.
func TestOneClient(t *testing.T) {
	b := budget.New(budget.Config{Limit: limit})
	granted := 0
	var err error
	for err == nil {
		_, err = b.Open(start, budget.Request{Class: budget.Callers, Client: "a", Size: 2 * budget.SmallRequest})
		granted++
	}
	var exhausted *budget.ExhaustedError
	if !errors.As(err, &exhausted) || exhausted.Reason != budget.ClientFull || granted < 3 {
		t.Fatalf("large request %d: %v, want %s", granted, err, budget.ClientFull)
	}
	open(t, b, start, budget.Request{Class: budget.Callers, Client: "b", Size: 2 * budget.SmallRequest})
	open(t, b, start, budget.Request{Class: budget.Callers, Client: "a", Size: budget.SmallRequest})
}

// TestStalledBodies guards against closing bodies without need, in another order than by
// age, that make progress, or that are complete and may have run.
func TestStalledBodies(t *testing.T) {
	const size = limit / 10
	type body struct {
		settled  bool
		progress int64
	}
	tests := map[string]struct {
		bodies  []body
		after   time.Duration
		revoked []int
		pending bool
	}{
		"oldest of two stalled":  {bodies: []body{{}, {}}, after: budget.StallTime, revoked: []int{0}, pending: true},
		"not long enough":        {bodies: []body{{}, {}}, after: budget.StallTime - 1},
		"complete":               {bodies: []body{{settled: true}, {}}, after: budget.StallTime, revoked: []int{1}, pending: true},
		"in progress":            {bodies: []body{{progress: 1 << 10}, {}}, after: budget.StallTime, revoked: []int{1}, pending: true},
		"a few bytes at a time":  {bodies: []body{{progress: 10}, {}}, after: budget.StallTime, revoked: []int{0}, pending: true},
		"all complete or moving": {bodies: []body{{settled: true}, {progress: 1 << 10}}, after: budget.StallTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := budget.New(budget.Config{Limit: limit})
			now := start.Add(test.after)
			var accounts []*budget.Account
			var revoked []int
			for i, body := range test.bodies {
				account := open(t, b, start, budget.Request{
					Class: budget.Callers, Client: string(rune('a' + i)), Size: size * 2, OnRevoke: func() { revoked = append(revoked, i) },
				})
				account.Progress(now, body.progress)
				if body.settled {
					account.Settle()
				}
				accounts = append(accounts, account)
			}
			request := budget.Request{Class: budget.Callers, Client: "z", Size: size}
			_, err := b.Open(now, request)
			var exhausted *budget.ExhaustedError
			if !errors.As(err, &exhausted) || exhausted.Pending != test.pending {
				t.Fatalf("%v, want %s, pending %t", err, budget.Full, test.pending)
			}
			if len(revoked) != len(test.revoked) || len(revoked) > 0 && revoked[0] != test.revoked[0] {
				t.Fatalf("accounts %v were told to close, want %v", revoked, test.revoked)
			}
			for _, i := range revoked {
				<-accounts[i].Revoked()
				if accounts[i].Grow(now, 1) == nil || accounts[i].Settle() {
					t.Error("an account that was told to close goes on")
				}
				accounts[i].Close()
				open(t, b, now, request)
			}
		})
	}
}

// TestPause guards against closing bodies because the process itself was paused while their
// bytes waited in the kernel.
func TestPause(t *testing.T) {
	b := budget.New(budget.Config{Limit: limit})
	now := start
	b.Tick(now)
	open(t, b, now, budget.Request{Class: budget.Callers, Client: "a", Size: limit / 5})
	open(t, b, now, budget.Request{Class: budget.Callers, Client: "b", Size: limit / 5})
	now = now.Add(time.Minute)
	want := func(pending bool) {
		t.Helper()
		_, err := b.Open(now, budget.Request{Class: budget.Callers, Client: "c", Size: limit / 5})
		var exhausted *budget.ExhaustedError
		if !errors.As(err, &exhausted) || exhausted.Pending != pending {
			t.Fatalf("%v, want pending %t", err, pending)
		}
	}
	want(false)
	b.Tick(now)
	want(false)
	for range 4 {
		now = now.Add(budget.StallTime / 4)
		b.Tick(now)
	}
	want(true)
}
