package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/internal/localcluster"
)

// window is the number of epochs that a long rolling restart leaves retained, and
// groupKeys the number of keys whose claim group is chosen.
const (
	window    = 64
	groupKeys = 2000
)

// measureSizes measures the encoded and resident size of the catalog and the time
// to choose claim groups, by the number of agents.
func measureSizes(_ context.Context, o options) error {
	results := newTable("agents", "catalog-bytes", "epoch-members-bytes", "epoch-change-bytes",
		"catalog-64-epochs-bytes", "catalog-64-epochs-all-members-bytes", "catalog-64-epochs-heap-bytes",
		"clone-us", "group-first-us", "group-cached-us")
	for _, n := range o.sizes {
		if err := sizesOf(n, results); err != nil {
			return err
		}
	}
	return results.write(o, "sizes")
}

func encodedSize(value any) (float64, error) {
	data, err := cbor.Marshal(value)
	return float64(len(data)), eris.Wrap(err, "encode a value to measure it")
}

func catalogOf(agents int) *catalog.Catalog {
	c := catalog.New()
	for i := range agents {
		register(c, i, 1)
	}
	c.Apply(catalog.Change{Revision: c.Revision + 1, Epoch: &catalog.EpochEntry{Number: 1}})
	return c
}

func register(c *catalog.Catalog, i, life int) {
	c.Apply(catalog.Change{Revision: c.Revision + 1, Node: &catalog.NodeEntry{
		Node: zinniasill.Node{
			ID:          zinniasill.NodeID(fmt.Sprintf("agent-%04d", i)),
			Incarnation: zinniasill.Incarnation(1<<62 + uint64(i)<<8 + uint64(life)),
		},
		Role: catalog.RoleAgent, Domain: zinniasill.Domain("zone-" + string(rune('a'+i%5))),
		Address: fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250), Slots: 3,
		Kinds: []zinniasill.Kind{localcluster.Kind}, State: catalog.Serving,
	}})
}

func sizesOf(n int, results *table) error {
	c := catalogOf(n)
	var sizes [5]float64
	var failed error
	measure := func(at int, value any) {
		size, err := encodedSize(value)
		sizes[at] = size
		failed = errors.Join(failed, err)
	}
	measure(0, c)
	measure(1, catalog.Change{Revision: c.Revision, Epoch: &c.Epochs[0]})
	measure(2, catalog.Change{Revision: c.Revision, Epoch: &catalog.EpochEntry{Number: 1}})
	before := heap()
	for i := range window - 1 {
		register(c, i%n, 2+i/n)
		c.Apply(catalog.Change{Revision: c.Revision + 1, Epoch: &catalog.EpochEntry{Number: zinniasill.Epoch(i + 2)}})
	}
	grown := max(0, heap()-before)
	measure(3, c)
	sizes[4] = sizes[3] + window*sizes[1] - sizes[1]
	first, cached := groupCost(c.Epochs[0])
	clone := average(100, func(int) { c.Clone() })
	runtime.KeepAlive(c)
	results.add(n, sizes[0], sizes[1], sizes[2], sizes[3], sizes[4], grown, clone, first, cached)
	return eris.Wrapf(failed, "sizes of the catalog of %d agents", n)
}

// groupCost returns the mean time in microseconds to choose the group of a key,
// for the first key of a hash shard and for later ones.
func groupCost(epoch catalog.EpochEntry) (first, cached float64) {
	groups := claim.NewGroups(epoch)
	of := func(i int) { groups.Of(zinniasill.Key{Team: "team", Client: strconv.Itoa(i)}) }
	return average(groupKeys, of), average(groupKeys, of)
}

// average returns the mean time of a call in microseconds.
func average(calls int, call func(i int)) float64 {
	began := time.Now()
	for i := range calls {
		call(i)
	}
	return float64(time.Since(began)) / float64(time.Microsecond) / float64(calls)
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
