package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// largeJobTime is how long the client of large jobs sends them.
	largeJobTime = 35 * time.Second
	// crowdTimeout is how long a client of the crowd waits for an answer.
	crowdTimeout = 10 * time.Second
	// retransmit is retransmit_ms of the settings.
	retransmit = 1300 * time.Millisecond
	// probeInterval is the time between two ordinary jobs.
	probeInterval = time.Second
)

// crowd is a number of clients that each hand in one job after the other.
type crowd struct {
	clients int
	job     job
	// sends is how long they do so.
	sends time.Duration
}

// largeJob lets a single client hand in a job whose body has a legal size. Without the
// disruption its spec is as short as the pages say.
func largeJob(ctx context.Context, d *deployment) (verdict, error) {
	spec := longSpec
	if !d.trouble {
		spec = legalSpec
	}
	return d.withCrowd(ctx, crowd{clients: 1, sends: largeJobTime, job: newJob(largeJobTasks, smallCPU, crowdRunMS, spec)})
}

// The job of a crowd.
const (
	largeJobTasks = 1500
	smallCPU      = 10
	crowdRunMS    = 1000
	// legalSpec and longSpec are the sizes of a spec in bytes. A body with the longer one is
	// below the limit of 262,144 bytes.
	legalSpec = 4000
	longSpec  = 250000
)

// withCrowd starts a deployment, lets a crowd hand in jobs and checks that no processes end.
func (d *deployment) withCrowd(ctx context.Context, c crowd) (verdict, error) {
	d.runs.quiet = true
	if err := d.startSmall(ctx); err != nil {
		return verdict{}, err
	}
	var clients sync.WaitGroup
	crowdCtx, cancel := context.WithTimeout(ctx, c.sends)
	defer cancel()
	for i := range c.clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			d.handIn(crowdCtx, c, i)
		}()
	}
	d.probe(crowdCtx)
	clients.Wait()
	d.record.printf("the crowd has gone; %d runs have begun", d.runs.total())
	afterwards, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	d.probe(afterwards)
	return d.checkFault(), ctx.Err()
}

// handIn hands in jobs until ctx ends. A job without an answer is sent again under its id, as
// the pages say.
func (d *deployment) handIn(ctx context.Context, c crowd, client int) {
	edges := d.ofClass("edge")
	id := jobID(100000 * (client + 1))
	for try := 0; ctx.Err() == nil; try++ {
		status, text, err := submit(ctx, edges[(client+try)%len(edges)], id, c.job, crowdTimeout)
		if ctx.Err() != nil {
			return
		}
		d.record.printf("client %d, job %s of %d tasks: %d %s %v", client, id, c.job.Phases[0].Count, status, text, err)
		if err == nil && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			id = jobID(100000*(client+1) + try + 1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retransmit):
		}
	}
}

// probe hands in ordinary jobs until ctx ends and records what becomes of them.
func (d *deployment) probe(ctx context.Context) {
	edges := d.ofClass("edge")
	for ctx.Err() == nil {
		d.probes++
		status, text, err := submit(ctx, edges[d.probes%len(edges)], jobID(10000+d.probes), ordinaryJob(), ordinaryTimeout)
		d.record.printf("ordinary job: %d %s %v", status, text, err)
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}
