package control

import (
	"slices"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
)

// ErrSnapshot is wrapped by the errors of Restore.
var ErrSnapshot = eris.New("malformed snapshot")

// Versions of snapshots. Version 2 added the document; a snapshot of version 1 has none.
const (
	snapshotVersion      = 2
	firstSnapshotVersion = 1
)

// snapshot is the encoded state of a Machine. The retained changes are not part of it:
// a node whose catalog is older than that of a restored replica gets the full catalog.
type snapshot struct {
	Version  uint16            `cbor:"1,keyasint"`
	Applied  uint64            `cbor:"2,keyasint"`
	Catalog  *catalog.Catalog  `cbor:"3,keyasint"`
	Requests []requestResult   `cbor:"4,keyasint"`
	Dead     []zinniasill.Node `cbor:"5,keyasint"`
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (m *Machine) Snapshot() []byte {
	state := snapshot{
		Version:  snapshotVersion,
		Applied:  m.applied,
		Catalog:  m.catalog,
		Requests: make([]requestResult, 0, len(m.requestOrder)),
		Dead:     m.deadOrder,
	}
	for _, id := range m.requestOrder {
		state.Requests = append(state.Requests, m.requests[id])
	}
	data, err := encoder.Marshal(state)
	if err != nil {
		// Every type of the state can be encoded, so this is a programming error.
		panic(eris.Wrap(err, "encode snapshot"))
	}
	return data
}

// Restore replaces the state by a snapshot. If the snapshot is malformed, it returns an
// error that wraps ErrSnapshot and leaves the state unchanged.
func (m *Machine) Restore(data []byte) error {
	var state snapshot
	if err := decoder.Unmarshal(data, &state); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	if err := state.validate(m.limits); err != nil {
		return err
	}
	restored := New()
	restored.limits = m.limits
	restored.applied = state.Applied
	restored.catalog = state.Catalog
	for _, req := range state.Requests {
		restored.rememberRequest(req)
	}
	for _, node := range state.Dead {
		restored.markDead(node)
	}
	*m = *restored
	return nil
}

func (s snapshot) validate(limit limits) error {
	if s.Version < firstSnapshotVersion || s.Version > snapshotVersion {
		return eris.Wrapf(ErrSnapshot, "version %d, latest supported is %d", s.Version, snapshotVersion)
	}
	c := s.Catalog
	if c == nil || !c.Complete() {
		return eris.Wrap(ErrSnapshot, "catalog is incomplete")
	}
	if len(s.Requests) > limit.requests || len(s.Dead) > limit.dead {
		return eris.Wrapf(ErrSnapshot, "%d request ids and %d dead nodes, limits %d and %d",
			len(s.Requests), len(s.Dead), limit.requests, limit.dead)
	}
	inOrder := slices.IsSortedFunc(c.Epochs, func(a, b catalog.EpochEntry) int {
		return int(a.Number) - int(b.Number)
	})
	if !inOrder {
		return eris.Wrap(ErrSnapshot, "epochs are out of order")
	}
	return nil
}
