package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// trafficAfter is the time from the start of the machines to that of the traffic.
	trafficAfter = 10 * time.Second
	// lockRunMS is how long the task of a job runs, in milliseconds.
	lockRunMS = 5000
	// darkFor is how long an edge is without power, and newJobs and newJobInterval tell the
	// jobs that are handed in after its return.
	darkFor        = 5 * time.Second
	newJobs        = 80
	newJobInterval = 15 * time.Millisecond
	// resendAfter is the time without a response after which a job is sent again. It exceeds
	// retransmit.
	resendAfter = 1500 * time.Millisecond
)

const (
	// lockRounds is the number of rounds at most, and lockJobs that of the jobs of a round.
	lockRounds = 6
	lockJobs   = 12
	// shortDelay is the time after which the platform restarts a killed edge.
	shortDelay = 150 * time.Millisecond
	// frozenFor is how long another edge stands still.
	frozenFor = 450 * time.Millisecond
)

// lockNewHome lets an edge lose power for a while. Jobs are handed in at another one as it is
// back, and are sent again to a third one.
func lockNewHome(ctx context.Context, d *deployment) (verdict, error) {
	if err := d.startSettled(ctx); err != nil {
		return verdict{}, err
	}
	edges := d.ofClass("edge")
	lost := edges[1]
	if d.trouble {
		lost.process.kill()
		d.record.printf("%s has lost power", lost.name)
		time.Sleep(darkFor)
		if err := d.writeSettings(lost, false); err != nil {
			return verdict{}, err
		}
		if err := lost.process.start(); err != nil {
			return verdict{}, err
		}
		d.awaitReady(ctx, lost)
	}
	for i := range newJobs {
		go d.sendJob(ctx, edges[0], jobID(1000000+i))
		time.AfterFunc(resendAfter, func() { d.sendJob(ctx, edges[2], jobID(1000000+i)) })
		time.Sleep(newJobInterval)
	}
	time.Sleep(2 * resendAfter)
	d.runs.waitIdle(4 * lockRunMS * time.Millisecond)
	return d.checkTwice(), ctx.Err()
}

// lockRecovery kills an edge while another one works on jobs, and lets that one stand still as
// the killed one starts again. The jobs are then sent again to the restarted edge.
func lockRecovery(ctx context.Context, d *deployment) (verdict, error) {
	if err := d.startSettled(ctx); err != nil {
		return verdict{}, err
	}
	edges := d.ofClass("edge")
	edges[1].process.restartAfter = shortDelay
	for round := range lockRounds {
		d.record.printf("round %d", round+1)
		d.lockRound(ctx, edges[0], edges[1], 1000000*(round+1))
		if v := d.checkTwice(); v.broken != "" {
			return v, nil
		}
		if ctx.Err() != nil {
			return verdict{}, ctx.Err()
		}
	}
	return verdict{}, nil
}

// startSettled starts a small deployment and waits for the time of its traffic.
func (d *deployment) startSettled(ctx context.Context) error {
	if err := d.startSmall(ctx); err != nil {
		return err
	}
	time.Sleep(time.Until(d.record.began.Add(trafficAfter)))
	return nil
}

// checkTwice checks the rule TWICE for jobs that needn't be kept.
func (d *deployment) checkTwice() verdict {
	if n := d.runs.overlapping(); n > 0 {
		return verdict{broken: fmt.Sprintf("TWICE: %d tasks had two runs at the same time, on executors that are up", n)}
	}
	return verdict{}
}

// lockRound plays one round with the jobs that are numbered from first on.
func (d *deployment) lockRound(ctx context.Context, holder, restarted *machine, first int) {
	for i := range lockJobs {
		go d.sendJob(ctx, holder, jobID(first+i))
	}
	time.Sleep(resendAfter)
	if d.trouble {
		starts := restarted.process.launches()
		restarted.process.signal(syscall.SIGKILL)
		for restarted.process.launches() == starts && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		holder.process.signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() { holder.process.signal(syscall.SIGCONT) })
		d.awaitReady(ctx, restarted)
	}
	for i := range lockJobs {
		go d.sendJob(ctx, restarted, jobID(first+i))
	}
	time.Sleep(time.Second)
	d.runs.waitIdle(3 * lockRunMS * time.Millisecond)
}

// sendJob hands in a job of one task and records the answer.
func (d *deployment) sendJob(ctx context.Context, edge *machine, id string) {
	d.record.printf("job %s sent to %s", id, edge.name)
	status, text, err := submit(ctx, edge, id, newJob(1, 1000, lockRunMS, 0), 4*lockRunMS*time.Millisecond)
	d.record.printf("job %s at %s: %d %s %v", id, edge.name, status, text, err)
}

// awaitReady waits until an edge says that it is ready.
func (d *deployment) awaitReady(ctx context.Context, edge *machine) {
	client := &http.Client{Timeout: 200 * time.Millisecond}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + edge.address(portReadiness) + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.record.printf("%s is ready", edge.name)
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}
