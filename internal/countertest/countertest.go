// Package countertest provides counters whose increments a test can wait for.
//
//	counters := countertest.New()
//	source := identity.New(identity.Config{Counters: counters, ...})
//	...
//	counters.WaitForMore("tls_reloads/", 0)
package countertest

import (
	"strings"
	"sync"

	"zinniasill"
)

// Counters implements zinniasill.Counters. Each count is keyed by the counter's name and
// the reason, joined by a slash. Use New to create one.
type Counters struct {
	mu      sync.Mutex
	changed *sync.Cond
	byName  map[string]int
}

// New returns counters at zero.
func New() *Counters {
	c := &Counters{byName: map[string]int{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Inc increments the count of a counter and reason. It implements zinniasill.Counters.
func (c *Counters) Inc(name string, reason zinniasill.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name+"/"+string(reason)]++
	c.changed.Broadcast()
}

// Get returns the count with the key name, for example "tls_reloads/".
func (c *Counters) Get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName[name]
}

// WaitForMore blocks until the count with the key name exceeds count.
func (c *Counters) WaitForMore(name string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.byName[name] <= count {
		c.changed.Wait()
	}
}

// WaitReason blocks until a counter was incremented for any reason, and returns one of
// the reasons.
func (c *Counters) WaitReason(counter string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for name := range c.byName {
			if reason, ok := strings.CutPrefix(name, counter+"/"); ok {
				return reason
			}
		}
		c.changed.Wait()
	}
}
