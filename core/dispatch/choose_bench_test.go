package dispatch

import (
	"testing"
	"time"
)

// BenchmarkPlacement measures the choice of an agent for one task, and the preparation of a
// placement pass, with the number of agents that an entry works with.
func BenchmarkPlacement(b *testing.B) {
	const agents = 30
	reports := make([]speedAgent, agents)
	for i := range reports {
		reports[i] = speedAgent{ratio: []int64{700, 700, 1700}[i%3], uncertainty: 30, free: int64(i % 4)}
	}
	now := time.Unix(1000, 0)
	d := speedDispatcher(now, Config{}, reports)
	submitRun(now, d, 900*time.Millisecond)
	t := d.jobs["job-1"].tasks[0]
	candidates := d.candidates(now)
	b.Run("choose", func(b *testing.B) {
		for b.Loop() {
			choose(t, candidates)
		}
	})
	b.Run("candidates", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			d.candidates(now.Add(time.Duration(i) * time.Microsecond))
		}
	})
}
