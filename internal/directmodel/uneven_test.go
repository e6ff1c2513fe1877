package directmodel_test

import (
	"testing"
	"time"
)

// TestUnevenEntries guards against an entry that refuses jobs for overload although agents
// of other entries have free capacity. Callers are hashed to entries, so that one entry may
// get half of the jobs. Each load is played with a fixed subset, too.
func TestUnevenEntries(t *testing.T) {
	tests := map[string]struct {
		percent, firstEntryPercent int
		// minInTime is the least share of jobs in time, in percent.
		minInTime int
	}{
		"most of the jobs at one entry":       {percent: 80, firstEntryPercent: 65, minInTime: 90},
		"even shares below the capacity":      {percent: 80, firstEntryPercent: 12, minInTime: 90},
		"sustained overload, all agents full": {percent: 150, firstEntryPercent: 12},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := deployment{entries: 8, agents: 69, domains: 3, firstEntryPercent: tt.firstEntryPercent}
			widened := mixedLoad(t, d, tt.percent, 2*time.Second, nil)
			widened.log(t)
			d.fixedSubset = true
			fixed := mixedLoad(t, d, tt.percent, 2*time.Second, nil)
			fixed.log(t)
			if widened.inTime*100 < widened.jobs*tt.minInTime {
				t.Errorf("%d of %d jobs in time, %d with a fixed subset", widened.inTime, widened.jobs, fixed.inTime)
			}
			if widened.workInTime*100 < fixed.workInTime*97 {
				t.Errorf("the work in time is %v, %v with a fixed subset", widened.workInTime, fixed.workInTime)
			}
		})
	}
}
