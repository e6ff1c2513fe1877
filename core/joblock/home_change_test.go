package joblock_test

import (
	"fmt"
	"testing"
	"time"

	"zinniasill"
)

// lockCount is the number of locks in a test, enough for each entry to be the home of some.
const lockCount = 30

func jobName(i int) string {
	return fmt.Sprintf("job-%d", i)
}

// acquire requests all locks for an entry.
func (c *cluster) acquire(i int) {
	for job := range lockCount {
		c.entries[i].Acquire(c.now, jobName(job))
	}
}

// setEntries tells the entries in the list of all entries to each of the given ones.
func setEntries(c *cluster, members ...int) {
	var ids []zinniasill.NodeID
	for _, i := range members {
		ids = append(ids, c.entries[i].id)
	}
	for _, e := range c.entries {
		if !e.down {
			e.SetEntries(c.now, ids)
		}
	}
}

// TestHeldLockOutlivesHome guards against a second holder of a lock whose home changes while
// the first one holds it. Holders have far more time than some hundred milliseconds to tell
// the next home.
func TestHeldLockOutlivesHome(t *testing.T) {
	tests := map[string]struct {
		// before and after are the lists of entries, home the entry that is disturbed.
		before  []int
		disturb func(c *cluster)
	}{
		"home ended": {before: []int{0, 1, 2}, disturb: func(c *cluster) { c.kill(2) }},
		"home ended and delisted": {before: []int{0, 1, 2}, disturb: func(c *cluster) {
			c.kill(2)
			setEntries(c, 0, 1)
		}},
		"home delisted": {before: []int{0, 1, 2}, disturb: func(c *cluster) { setEntries(c, 0, 1) }},
		"entry listed":  {before: []int{0, 1}, disturb: func(c *cluster) { setEntries(c, 0, 1, 2) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(3)
			setEntries(c, tt.before...)
			c.acquire(0)
			c.run(50 * time.Millisecond)
			if len(c.entries[0].holds) != lockCount {
				t.Fatalf("%d of %d locks granted", len(c.entries[0].holds), lockCount)
			}
			tt.disturb(c)
			c.run(1500 * time.Millisecond)
			c.acquire(1)
			c.run(time.Second)
			if len(c.violations) > 0 {
				t.Errorf("%d of %d locks have two holders, first: %s", len(c.violations), lockCount, c.violations[0])
			}
		})
	}
}

// TestHolderNoticesLater guards against a second holder of a lock whose home ends, because
// another entry notices that before the holder does and asks the next home first.
func TestHolderNoticesLater(t *testing.T) {
	tests := map[string]struct {
		// requestAt is the time after the end of the home at which the other entry requests the
		// locks, before it if negative.
		requestAt time.Duration
	}{
		"waiting before": {requestAt: -100 * time.Millisecond},
		"soon after":     {requestAt: 200 * time.Millisecond},
		"once noticed":   {requestAt: 320 * time.Millisecond},
		"later":          {requestAt: 480 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 10 * time.Millisecond {
				c := newCluster(3)
				c.acquire(0)
				c.run(50*time.Millisecond + phase)
				for i := range lockCount {
					c.entries[1].Acquire(c.now, fmt.Sprintf("other-%d", i))
				}
				if tt.requestAt < 0 {
					c.acquire(1)
					c.run(-tt.requestAt)
				}
				c.kill(2)
				if tt.requestAt >= 0 {
					c.run(tt.requestAt)
					c.acquire(1)
				}
				c.run(time.Second)
				if len(c.violations) > 0 {
					t.Fatalf("phase %v: %d of %d locks have two holders, first: %s", phase, len(c.violations), lockCount, c.violations[0])
				}
			}
		})
	}
}

// TestHolderCutOffFromHome guards against a second holder of a lock whose first holder can no
// longer reach the home that granted it, while others can.
func TestHolderCutOffFromHome(t *testing.T) {
	c := newCluster(3)
	c.acquire(0)
	c.run(50 * time.Millisecond)
	c.drop = func(from, to zinniasill.NodeID) bool { return from == "entry-0" && to == "entry-2" }
	c.run(1500 * time.Millisecond)
	c.acquire(1)
	c.run(time.Second)
	if len(c.violations) > 0 {
		t.Errorf("%d of %d locks have two holders, first: %s", len(c.violations), lockCount, c.violations[0])
	}
}

// TestHolderCutOffFromDomain guards against a second holder of a lock whose first holder is cut
// off from a whole failure domain, with the homes there, while entries of a third domain reach
// both. It also guards against a lock that is not passed on once it is released, or once its
// holder has ended.
func TestHolderCutOffFromDomain(t *testing.T) {
	tests := map[string]struct {
		end    func(c *cluster, job string)
		within time.Duration
	}{
		"released":     {end: func(c *cluster, job string) { c.release(0, job) }, within: 600 * time.Millisecond},
		"holder ended": {end: func(c *cluster, _ string) { c.kill(0) }, within: 1800 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(6) // two entries in each of three domains
			c.acquire(0)
			c.run(50 * time.Millisecond)
			domain := func(id zinniasill.NodeID) int { return int(id[len(id)-1]-'0') / 2 }
			c.drop = func(from, to zinniasill.NodeID) bool { return domain(from)+domain(to) == 2 && domain(from) != 1 }
			c.run(1500 * time.Millisecond)
			c.acquire(2)
			c.run(time.Second)
			if len(c.violations) > 0 {
				t.Fatalf("%d of %d locks have two holders, first: %s", len(c.violations), lockCount, c.violations[0])
			}
			for i := range lockCount {
				tt.end(c, jobName(i))
			}
			c.run(tt.within)
			if granted := len(c.entries[2].holds); granted != lockCount {
				t.Errorf("%d of %d locks passed on", granted, lockCount)
			}
			if len(c.violations) > 0 {
				t.Errorf("violations: %v", c.violations)
			}
		})
	}
}
