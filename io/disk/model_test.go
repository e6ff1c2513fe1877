package disk_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"zinniasill/core/consensus"
	"zinniasill/io/disk"
)

// model is the in-memory reference implementation that the folder is compared with.
type model struct {
	hard     consensus.HardState
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
}

func (m model) save(ready consensus.Ready) model {
	if ready.Hard != nil {
		m.hard = *ready.Hard
	}
	if ready.Snapshot != nil {
		m.snapshot = ready.Snapshot
		m.entries = filter(m.entries, func(i consensus.Index) bool {
			return i > ready.Snapshot.Index && !ready.Truncate
		})
	}
	if len(ready.Entries) > 0 {
		m.entries = filter(m.entries, func(i consensus.Index) bool { return i < ready.Entries[0].Index })
		m.entries = append(m.entries, ready.Entries...)
	}
	return m
}

// filter returns the entries whose index satisfies want.
func filter(list []consensus.Entry, want func(consensus.Index) bool) []consensus.Entry {
	var result []consensus.Entry
	for _, entry := range list {
		if want(entry.Index) {
			result = append(result, entry)
		}
	}
	return result
}

func (m model) last() consensus.Index {
	switch {
	case len(m.entries) > 0:
		return m.entries[len(m.entries)-1].Index
	case m.snapshot != nil:
		return m.snapshot.Index
	default:
		return 0
	}
}

func (m model) first() consensus.Index {
	if m.snapshot == nil {
		return 1
	}
	return m.snapshot.Index + 1
}

func (m model) check(got consensus.Recovered) error {
	want := consensus.Recovered{Hard: m.hard, Snapshot: m.snapshot, Entries: m.entries}
	if len(got.Entries) == 0 && len(want.Entries) == 0 {
		got.Entries, want.Entries = nil, nil
	}
	if !reflect.DeepEqual(got, want) {
		return fmt.Errorf("recovered %+v, want %+v", got, want)
	}
	return nil
}

// drawReady generates writes that a replica in state m can produce.
func drawReady(t *rapid.T, m model) consensus.Ready {
	var ready consensus.Ready
	term := m.hard.Term + consensus.Term(rapid.IntRange(0, 1).Draw(t, "term"))
	if term != m.hard.Term {
		ready.Hard = hard(term)
	}
	last := m.last()
	switch rapid.IntRange(0, 9).Draw(t, "snapshot") {
	case 0: // snapshot of the own log, which is compacted
		if index := m.first() + consensus.Index(rapid.IntRange(0, 3).Draw(t, "index")); index <= last {
			ready.Snapshot = &consensus.Snapshot{Index: index, Term: term, Data: []byte("state")}
		}
	case 1: // snapshot installed by the leader, which conflicts with the log
		last += consensus.Index(rapid.IntRange(1, 5).Draw(t, "ahead"))
		ready.Snapshot = &consensus.Snapshot{Index: last, Term: term, Data: []byte("installed")}
		ready.Truncate = true
	}
	first := m.first()
	if ready.Snapshot != nil {
		first = ready.Snapshot.Index + 1
	}
	from := last + 1
	if back := consensus.Index(rapid.IntRange(0, 2).Draw(t, "back")); from >= first+back {
		from -= back
	}
	ready.Entries = entries(from, consensus.Index(rapid.IntRange(0, 3).Draw(t, "count")), term)
	return ready
}

// saveOnFullDisk calls Save while appends to the log fail. Only a Ready that appends
// nothing to the current segment may succeed.
func saveOnFullDisk(t *rapid.T, folder *disk.Folder, ready consensus.Ready) {
	hasSpace := false
	folder.FailWritesUntil(func() bool { return hasSpace })
	err := folder.Save(ready)
	hasSpace = true
	if err != nil && !errors.Is(err, disk.ErrFull) {
		t.Fatalf("Save on a full disk: %v", err)
	}
	if err == nil && (ready.Hard != nil || ready.Snapshot == nil && len(ready.Entries) > 0) {
		t.Fatal("Save on a full disk succeeded")
	}
}

// TestAgainstNaive guards against writes that are lost, resurrected or reordered by
// new segments, snapshots, reopening and failed writes on a full disk.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := t.TempDir()
		var want model
		folder, _, err := open(t, path, 400)
		if err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 25).Draw(rt, "operations") {
			ready := drawReady(rt, want)
			for range rapid.IntRange(0, 2).Draw(rt, "full") {
				saveOnFullDisk(rt, folder, ready)
			}
			if err := folder.Save(ready); err != nil {
				rt.Fatal(err)
			}
			want = want.save(ready)
			if !rapid.Bool().Draw(rt, "reopen") {
				continue
			}
			folder.Close()
			var found disk.Contents
			if folder, found, err = open(t, path, 400); err != nil {
				rt.Fatal(err)
			}
			if err := want.check(found.Recovered); err != nil {
				rt.Fatal(err)
			}
		}
		folder.Close()
	})
}
