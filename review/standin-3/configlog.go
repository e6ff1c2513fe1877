package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"
)

const (
	// growths is how often the configuration grows, and growthRoutes by how many routes.
	growths      = 3
	growthRoutes = 1400
	// logChanges is the number of changes of a time-out.
	logChanges = 990
	// changesTime is how long the operator sends changes.
	changesTime = 100 * time.Second
	// readTimeout bounds the reads at the end of the case.
	readTimeout = 3 * time.Second
)

// configLog lets an operator change one time-out after the other. With the disruption the
// configuration has many routes.
func configLog(ctx context.Context, d *deployment) (verdict, error) {
	for zone := 1; zone <= 3; zone++ {
		d.addMachine("core", zone, coreMemoryMB)
	}
	d.addMachine("edge", 1, edgeMemoryMB)
	if err := d.prepare(); err != nil {
		return verdict{}, err
	}
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	op := newOperator(d)
	acked, err := d.sendChanges(ctx, op)
	if err != nil {
		return verdict{}, err
	}
	d.record.printf("the newest acknowledged version is %d", acked)
	for _, m := range d.ofClass("core") {
		d.record.printf("%s: %d MB on its disk", m.name, folderBytes(filepath.Join(d.folder, m.name))>>20)
	}
	result := d.checkFault()
	for _, m := range d.ofClass("core") {
		version, err := op.readVersion(ctx, m)
		d.record.printf("%s: Config.Get returns version %d, error %v", m.name, version, err)
	}
	return result, nil
}

// sendChanges sends changes, each once the former one is acknowledged, and returns the newest
// version that was acknowledged.
func (d *deployment) sendChanges(ctx context.Context, op *operator) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, changesTime)
	defer cancel()
	c := newConfiguration()
	for i := range growths + logChanges {
		if i < growths && d.trouble {
			c.grow(growthRoutes)
		}
		began := time.Now()
		err := op.put(ctx, c)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.record.printf("version %d is not acknowledged after %s", c.Version, time.Since(began).Round(time.Millisecond))
			break
		}
		if err != nil {
			return 0, err
		}
		if c.Version%100 == 1 {
			d.recordChange(c, time.Since(began))
		}
		if d.faulty() {
			break
		}
		c.change()
	}
	return c.Version - 1, nil
}

// recordChange records an acknowledged change and the memory of the processes.
func (d *deployment) recordChange(c *configuration, took time.Duration) {
	line := fmt.Sprintf("version %d of %d routes acknowledged after %s; peak memory", c.Version, len(c.Routes), took.Round(time.Millisecond))
	for _, m := range d.machines {
		line += fmt.Sprintf(" %s %d MB", m.name, m.process.peakMB())
	}
	d.record.printf("%s", line)
}

// readVersion reads the configuration at a node and returns its version.
func (o *operator) readVersion(ctx context.Context, node *machine) (int64, error) {
	status, data, err := o.call(ctx, "GET", node, "/Config.Get", nil, readTimeout)
	if err != nil {
		return 0, err
	}
	if status != 200 {
		return 0, fmt.Errorf("status %d", status)
	}
	var read configuration
	err = json.Unmarshal(data, &read)
	return read.Version, err
}

// folderBytes returns the size of the files in a folder in bytes.
func folderBytes(folder string) int64 {
	sum := int64(0)
	_ = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			sum += info.Size()
		}
		return nil
	})
	return sum
}
