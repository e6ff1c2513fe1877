package main

import (
	"context"
	"fmt"
	"time"
)

// Memory limits of the machines of the small deployments, in MB.
const (
	coreMemoryMB = 280
	edgeMemoryMB = 284
	sideMemoryMB = 152
)

// startSmall starts a deployment of three zones with one machine of each class in each, stores
// a first configuration and waits until all edges serve.
func (d *deployment) startSmall(ctx context.Context) error {
	for zone := 1; zone <= 3; zone++ {
		d.addMachine("core", zone, coreMemoryMB)
		d.addMachine("edge", zone, edgeMemoryMB)
		d.addMachine("side", zone, sideMemoryMB)
	}
	if err := d.prepare(); err != nil {
		return err
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if err := newOperator(d).put(ctx, newConfiguration()); err != nil {
		return err
	}
	return d.awaitService(ctx)
}

// awaitService waits until each edge has answered a job with success.
func (d *deployment) awaitService(ctx context.Context) error {
	for i, edge := range d.ofClass("edge") {
		for try := 0; ; try++ {
			status, text, err := submit(ctx, edge, jobID(1000*(i+1)+try), ordinaryJob(), ordinaryTimeout)
			if err == nil && status == 200 {
				d.record.printf("%s serves: %s", edge.name, text)
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s does not serve: %w", edge.name, ctx.Err())
			case <-time.After(200 * time.Millisecond):
			}
		}
	}
	return nil
}

// faultEnds is how often the processes of a machine end by themselves in a day that counts 0.
const faultEnds = 3

// faults returns the number of machines whose processes have ended by themselves so often, of
// all and of the core.
func (d *deployment) faults() (machines, core int) {
	for _, m := range d.machines {
		if m.process.ends() < faultEnds {
			continue
		}
		machines++
		if m.class == "core" {
			core++
		}
	}
	return machines, core
}

// faulty reports whether the rule Fault is broken: processes end by themselves three times on a
// tenth of the machines, two at least, or on half of the core. A kill for memory over the limit
// counts as such an end.
func (d *deployment) faulty() bool {
	machines, core := d.faults()
	return machines >= max(2, (len(d.machines)+9)/10) || core >= 1 && 2*core >= len(d.ofClass("core"))
}

// checkFault checks the rule Fault at the end of a case.
func (d *deployment) checkFault() verdict {
	for _, m := range d.machines {
		d.record.printf("%s: peak %d MB of %d MB, ended by itself %d times", m.name, m.process.peakMB(), m.memoryMB, m.process.ends())
	}
	if !d.faulty() {
		return verdict{}
	}
	machines, core := d.faults()
	return verdict{broken: fmt.Sprintf("Fault: processes of %d of %d machines, %d of them of the core, ended by themselves %d times or more",
		machines, len(d.machines), core, faultEnds)}
}
