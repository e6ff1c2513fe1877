package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// lostFor is how long the lost machine stays dark.
	lostFor = 9500 * time.Millisecond
	// contactBound is contact_ms of the settings.
	contactBound = 3 * time.Second
	// giveUp is how long the operator sends the first configuration.
	giveUp = 40 * time.Second
)

// firstStart starts a deployment for the first time. With the disruption, one machine with a
// disk, which is one of the seeds, loses power as soon as its process has started, and comes
// back later. The core is stable from contactBound after the loss until the machine is back.
func firstStart(ctx context.Context, d *deployment) (verdict, error) {
	for i := range 5 {
		d.addMachine("core", i%3+1, coreMemoryMB)
	}
	d.addMachine("edge", 1, edgeMemoryMB)
	if err := d.prepare(); err != nil {
		return verdict{}, err
	}
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	lost := d.ofClass("core")[seedCount-1]
	began := time.Now()
	if d.trouble {
		lost.process.kill()
		d.record.printf("%s has lost power", lost.name)
		timer := time.AfterFunc(lostFor, func() { d.restart(lost) })
		defer timer.Stop()
	}
	sendCtx, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	err := newOperator(d).put(sendCtx, newConfiguration())
	took := time.Since(began).Round(time.Millisecond)
	d.record.printf("the first configuration, sent for %s: %v", took, err)
	if ctx.Err() != nil {
		return verdict{}, ctx.Err()
	}
	if err != nil || took > contactBound+ackBound {
		return verdict{broken: fmt.Sprintf("Acks: the first configuration had no acknowledgement for %s", took)}, nil
	}
	return verdict{}, nil
}

// restart starts a machine again with an empty disk or what was on it, not for the first time.
func (d *deployment) restart(m *machine) {
	if err := d.writeSettings(m, false); err != nil {
		d.record.printf("write the settings of %s: %v", m.name, err)
		return
	}
	d.record.printf("%s is back", m.name)
	if err := m.process.start(); err != nil {
		d.record.printf("start %s: %v", m.name, err)
	}
}
