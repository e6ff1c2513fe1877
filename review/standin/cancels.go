package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the deployment.
const (
	cancelBound   = 3000 * time.Millisecond
	stopBound     = 50 * time.Millisecond
	contactTime   = 3000 * time.Millisecond
	retransmitGap = 1300 * time.Millisecond
)

// rounds is how often a scenario repeats its steps.
const rounds = 5

// prepare boots the executors, sends the configuration, and waits until all machines have
// been in touch.
func (r *run) prepare(ctx context.Context, boots func(int) boot, timeout time.Duration) error {
	if err := r.bootAll(boots); err != nil {
		return err
	}
	if err := r.putConfiguration(ctx, 7, timeout); err != nil {
		return err
	}
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	return pause(ctx, contactTime+time.Second)
}

// taskOf reports whether a start is one of a job.
func taskOf(id string, s start) bool {
	return strings.HasPrefix(s.task, id+".")
}

// acknowledged reports whether a cancel was acknowledged.
func acknowledged(ack reply) bool {
	return ack.err == nil && (ack.status == http.StatusOK || ack.status == http.StatusGone)
}

// playCancelElsewhere cancels jobs while their tasks run. The channel of the first attempt to
// cancel is reset, and the client cancels again at another node.
func playCancelElsewhere(ctx context.Context, r *run) ([]string, error) {
	const runTime, budget = 7 * time.Second, 10 * time.Second
	if err := r.prepare(ctx, plainBoot, budget); err != nil {
		return nil, err
	}
	var broken []string
	for i := range rounds {
		id := newID()
		first, other := r.entries[i%len(r.entries)], r.entries[(i+1)%len(r.entries)]
		done := make(chan reply, 1)
		go func() {
			done <- r.call(ctx, first, http.MethodPost, id, newJob(2, 1000, runTime, ""), budget)
		}()
		if err := pause(ctx, 500*time.Millisecond); err != nil {
			return nil, err
		}
		ack, err := r.cancelTwice(ctx, id, first, other)
		if err != nil {
			return nil, err
		}
		<-done
		if err := pause(ctx, time.Until(ack.at.Add(cancelBound+time.Second))); err != nil {
			return nil, err
		}
		broken = append(broken, r.ranOn(id, ack)...)
	}
	return broken, nil
}

// cancelTwice cancels a job by way of a proxy, which resets the channel if there is trouble,
// and then at another node if the first attempt had no response.
func (r *run) cancelTwice(ctx context.Context, id string, first, other *machine) (reply, error) {
	p, err := newProxy(first.ip, at(first.ip, portFront))
	if err != nil {
		return reply{}, err
	}
	defer p.close()
	p.resets.Store(r.trouble)
	ack := r.callAt(ctx, first, p.address, http.MethodDelete, id, nil, time.Second)
	if ack.err == nil {
		return ack, nil
	}
	if err := pause(ctx, retransmitGap); err != nil {
		return reply{}, err
	}
	return r.call(ctx, other, http.MethodDelete, id, nil, time.Second), nil
}

// ranOn returns the tasks of a job that ran on after its cancelling was acknowledged.
func (r *run) ranOn(id string, ack reply) []string {
	var broken []string
	if !acknowledged(ack) {
		return nil
	}
	limit := ack.at.Add(cancelBound + stopBound)
	for _, s := range r.starts() {
		if taskOf(id, s) && (s.end.IsZero() || s.end.After(limit)) {
			broken = append(broken, fmt.Sprintf("%s ran from %s to %s, its cancelling was acknowledged with %d at %s",
				s.task, r.record.at(s.at), r.record.at(s.end), ack.status, r.record.at(ack.at)))
		}
	}
	return broken
}

// playLateDuplicate cancels jobs. The submission of each arrives once more after that.
func playLateDuplicate(ctx context.Context, r *run) ([]string, error) {
	const runTime, budget = 900 * time.Millisecond, 1500 * time.Millisecond
	if err := r.prepare(ctx, plainBoot, budget); err != nil {
		return nil, err
	}
	var broken []string
	for i := range rounds {
		id, body := newID(), newJob(2, 1000, runTime, "")
		first, other := r.entries[i%len(r.entries)], r.entries[(i+1)%len(r.entries)]
		done := make(chan reply, 1)
		go func() { done <- r.call(ctx, first, http.MethodPost, id, body, budget) }()
		if err := pause(ctx, 300*time.Millisecond); err != nil {
			return nil, err
		}
		ack := r.call(ctx, first, http.MethodDelete, id, nil, time.Second)
		<-done
		if err := pause(ctx, cancelBound+500*time.Millisecond); err != nil {
			return nil, err
		}
		if r.trouble {
			r.call(ctx, other, http.MethodPost, id, body, budget)
		}
		broken = append(broken, r.startedAfter(id, ack)...)
	}
	return broken, nil
}

// startedAfter returns the tasks of a job that started after its cancelling was acknowledged.
func (r *run) startedAfter(id string, ack reply) []string {
	var broken []string
	for _, s := range r.starts() {
		if acknowledged(ack) && taskOf(id, s) && s.at.After(ack.at.Add(cancelBound)) {
			broken = append(broken, fmt.Sprintf("%s started at %s, its cancelling was acknowledged with %d at %s",
				s.task, r.record.at(s.at), ack.status, r.record.at(ack.at)))
		}
	}
	return broken
}
