package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cancelForgotten cancels jobs at an entry, stops that entry as planned and starts it again, and
// lets a copy of each job arrive there seconds later.
func cancelForgotten(c *cluster, trouble bool) ([]string, error) {
	const jobs = 30
	entry := c.edge[0]
	sent := make([]job, jobs)
	acked := make([]time.Time, jobs)
	var answers sync.WaitGroup
	for i := range sent {
		sent[i] = job{id: newID(), spec: "ms=1200", phases: []step{{Count: 1, CPU: 2000, MemMB: 64, EstimateMS: 1200}}}
		answers.Go(func() { c.submit(entry, sent[i], 10*time.Second) })
	}
	time.Sleep(400 * time.Millisecond)
	for i, j := range sent {
		a := c.cancel(entry, j.id)
		if a.status != http.StatusOK && a.status != http.StatusGone {
			return nil, fmt.Errorf("the cancelling of %s was not acknowledged: %s", j.id, a)
		}
		acked[i] = a.at
	}
	answers.Wait()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := c.roll(entry, restartDelay); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(entry); err != nil {
		return nil, err
	}
	// The entry is in touch again.
	time.Sleep(contactTime + 500*time.Millisecond)
	for i := range sent {
		answers.Go(func() { c.submit(entry, sent[i], 10*time.Second) })
	}
	answers.Wait()
	var violations []string
	for i, j := range sent {
		for _, s := range runsOf(c.history(), j.id) {
			if late := s.began.Sub(acked[i]); late > cancelTime {
				violations = append(violations, fmt.Sprintf("UNASKED: %s was started at %s %.3f s after the cancelling of its job was acknowledged",
					s.task, s.executor, late.Seconds()))
			}
		}
	}
	return violations, nil
}

// leaveUnanswered lets an executor drain and leave while it runs a task. The answer to its
// notice is lost, so it ends endsAnyway later.
func leaveUnanswered(c *cluster, trouble bool) ([]string, error) {
	j := job{id: newID(), spec: "ms=6000", phases: []step{{Count: 1, CPU: 6000, MemMB: 64, EstimateMS: 6000}}}
	answered := make(chan answer, 1)
	go func() { answered <- c.submit(c.edge[0], j, 30*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	leaver := c.runsAt(j.id)
	if leaver == nil {
		return nil, errors.New("the job was not started")
	}
	if trouble {
		if err := leaver.leave(); err != nil {
			return nil, err
		}
	}
	<-answered
	return doubleRuns(c.record, c.history()), nil
}

// secondOwner restarts an entry while another one works on jobs. Their client has got no
// response within resendTime and sends them again, to the restarted entry. It does so in
// several rounds, each with one restart.
func secondOwner(c *cluster, trouble bool) ([]string, error) {
	const rounds = 6
	for round := range rounds {
		owner, other := c.edge[round%3], c.edge[(round+1)%3]
		if err := c.sendTwice(owner, other, trouble); err != nil {
			return nil, err
		}
		if found := doubleRuns(c.record, c.history()); len(found) > 0 {
			return found, nil
		}
	}
	return nil, nil
}

// sendTwice sends jobs to one entry, restarts another one, and sends the jobs again to that one.
// It waits for all responses.
func (c *cluster) sendTwice(owner, other *machine, trouble bool) error {
	const jobs = 12
	sent := make([]job, jobs)
	var answers sync.WaitGroup
	defer answers.Wait()
	began := time.Now()
	for i := range sent {
		sent[i] = job{id: newID(), spec: "ms=5000", phases: []step{{Count: 1, CPU: 2000, MemMB: 64, EstimateMS: 5000}}}
		answers.Go(func() { c.submit(owner, sent[i], 30*time.Second) })
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := c.restart(other, 3*restartDelay); err != nil {
			return err
		}
	}
	for !c.ready(other) {
		if time.Since(began) > 10*time.Second {
			return errors.New("the restarted entry is not ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(resendTime)))
	for i := range sent {
		answers.Go(func() { c.submit(other, sent[i], 30*time.Second) })
	}
	return nil
}

// manySmallTasks lets jobs of many small tasks come at once. Once all of them have been answered,
// it sends ordinary jobs of one task in turn to the entries, and counts those that are served.
func manySmallTasks(c *cluster, trouble bool) ([]string, error) {
	const (
		jobs  = 100
		tasks = 4000
		every = 500 * time.Millisecond
	)
	var answers sync.WaitGroup
	for i := range jobs {
		if !trouble {
			break
		}
		j := job{id: newID(), spec: "ms=1000", phases: []step{{Count: tasks, CPU: 1, MemMB: 1, EstimateMS: 1000}}}
		answers.Go(func() { c.submit(c.edge[i%len(c.edge)], j, 3*time.Second) })
	}
	answers.Wait()
	time.Sleep(recoveryTime)
	sent, served := 0, 0
	for began := time.Now(); time.Since(began) < recoveryTime; time.Sleep(every) {
		j := job{id: newID(), spec: "ms=20", phases: []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 20}}}
		if c.submit(c.edge[sent%len(c.edge)], j, 3*time.Second).state() == "completed" {
			served++
		}
		sent++
	}
	c.record.add("%d of %d ordinary jobs were served", served, sent)
	if served > 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("Fault: none of %d ordinary jobs was served in %v, which began %v after the last job of the burst was answered",
		sent, recoveryTime, recoveryTime)}, nil
}
