package main

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"zinniasill/internal/localcluster"
)

// leaderPeriod is the resolution of the times without a leader.
const leaderPeriod = 100 * time.Millisecond

// leaderSample is the replicas that took themselves for the leader at a time.
type leaderSample struct {
	at      time.Time
	leaders []string
}

// leaderWatch samples the leaders until it is stopped.
type leaderWatch struct {
	cancel  context.CancelFunc
	done    chan struct{}
	samples []leaderSample
}

func watchLeaders(ctx context.Context, cluster *localcluster.Cluster) *leaderWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &leaderWatch{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		ticker := time.NewTicker(leaderPeriod)
		defer ticker.Stop()
		for {
			at := time.Now()
			w.samples = append(w.samples, leaderSample{at: at, leaders: leadersOf(ctx, cluster)})
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return w
}

// stop ends the samples, which may then be read.
func (w *leaderWatch) stop() {
	w.cancel()
	<-w.done
}

// leadersOf returns the replicas that take themselves for the leader.
func leadersOf(ctx context.Context, cluster *localcluster.Cluster) []string {
	var mu sync.Mutex
	var leaders []string
	var wait conc.WaitGroup
	for _, p := range cluster.Controls {
		wait.Go(func() {
			if leads, _ := localcluster.Gauge(ctx, p, "zinniasill_control_leading"); leads == 1 {
				mu.Lock()
				defer mu.Unlock()
				leaders = append(leaders, p.Name)
			}
		})
	}
	wait.Wait()
	return leaders
}

// leaderOf returns the only replica that takes itself for the leader, nil if there
// is none or more than one.
func leaderOf(ctx context.Context, cluster *localcluster.Cluster) *localcluster.Process {
	leaders := leadersOf(ctx, cluster)
	for _, p := range cluster.Controls {
		if len(leaders) == 1 && leaders[0] == p.Name {
			return p
		}
	}
	return nil
}

// without returns for how long no replica for which allowed holds led between two
// times.
func (w *leaderWatch) without(from, to time.Time, allowed func(name string) bool) time.Duration {
	var sum time.Duration
	for i, s := range w.samples[:max(0, len(w.samples)-1)] {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		led := false
		for _, name := range s.leaders {
			led = led || allowed(name)
		}
		if !led {
			sum += w.samples[i+1].at.Sub(s.at)
		}
	}
	return sum
}

// last returns the last time between two times at which a replica led for which
// allowed holds, and false if there was none.
func (w *leaderWatch) last(from, to time.Time, allowed func(name string) bool) (time.Time, bool) {
	var last time.Time
	for _, s := range w.samples {
		for _, name := range s.leaders {
			if !s.at.Before(from) && s.at.Before(to) && allowed(name) {
				last = s.at
			}
		}
	}
	return last, !last.IsZero()
}
