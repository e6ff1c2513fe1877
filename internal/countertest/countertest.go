// Package countertest has counters that let a test wait for what they count.
//
//	counted := countertest.New()
//	source := identity.New(identity.Config{Counters: counted, ...})
//	...
//	counted.WaitForMore("tls_reloads/", 0)
package countertest

import (
	"strings"
	"sync"

	"zinniasill"
)

// Counters implements zinniasill.Counters. A count is named by the counter and the
// reason with a slash between them. Use New.
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

// Inc implements zinniasill.Counters.
func (c *Counters) Inc(name string, reason zinniasill.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name+"/"+string(reason)]++
	c.changed.Broadcast()
}

// Get returns a count.
func (c *Counters) Get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName[name]
}

// WaitForMore waits until a count is above than.
func (c *Counters) WaitForMore(name string, than int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.byName[name] <= than {
		c.changed.Wait()
	}
}

// WaitReason waits until a counter has counted anything, and returns one of its
// reasons.
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
