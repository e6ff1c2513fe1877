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

// naive is the log in memory that the folder must agree with.
type naive struct {
	hard     consensus.HardState
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
}

func (n naive) save(ready consensus.Ready) naive {
	if ready.Hard != nil {
		n.hard = *ready.Hard
	}
	if ready.Snapshot != nil {
		n.snapshot = ready.Snapshot
		n.entries = keep(n.entries, func(i consensus.Index) bool {
			return i > ready.Snapshot.Index && !ready.Truncate
		})
	}
	if len(ready.Entries) > 0 {
		n.entries = keep(n.entries, func(i consensus.Index) bool { return i < ready.Entries[0].Index })
		n.entries = append(n.entries, ready.Entries...)
	}
	return n
}

func keep(list []consensus.Entry, want func(consensus.Index) bool) []consensus.Entry {
	var kept []consensus.Entry
	for _, entry := range list {
		if want(entry.Index) {
			kept = append(kept, entry)
		}
	}
	return kept
}

func (n naive) last() consensus.Index {
	switch {
	case len(n.entries) > 0:
		return n.entries[len(n.entries)-1].Index
	case n.snapshot != nil:
		return n.snapshot.Index
	default:
		return 0
	}
}

func (n naive) first() consensus.Index {
	if n.snapshot == nil {
		return 1
	}
	return n.snapshot.Index + 1
}

func (n naive) check(got consensus.Recovered) error {
	want := consensus.Recovered{Hard: n.hard, Snapshot: n.snapshot, Entries: n.entries}
	if len(got.Entries) == 0 && len(want.Entries) == 0 {
		got.Entries, want.Entries = nil, nil
	}
	if !reflect.DeepEqual(got, want) {
		return fmt.Errorf("recovered %+v, want %+v", got, want)
	}
	return nil
}

// drawReady draws writes that a replica with state n can produce.
func drawReady(t *rapid.T, n naive) consensus.Ready {
	var ready consensus.Ready
	term := n.hard.Term + consensus.Term(rapid.IntRange(0, 1).Draw(t, "term"))
	if term != n.hard.Term {
		ready.Hard = hard(term)
	}
	last := n.last()
	switch rapid.IntRange(0, 9).Draw(t, "snapshot") {
	case 0: // compaction
		if index := n.first() + consensus.Index(rapid.IntRange(0, 3).Draw(t, "index")); index <= last {
			ready.Snapshot = &consensus.Snapshot{Index: index, Term: term, Data: []byte("state")}
		}
	case 1: // installed, the log does not match
		last += consensus.Index(rapid.IntRange(1, 5).Draw(t, "ahead"))
		ready.Snapshot = &consensus.Snapshot{Index: last, Term: term, Data: []byte("installed")}
		ready.Truncate = true
	}
	first := n.first()
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

// saveWithoutRoom saves while the log cannot grow. Only a Ready whose writes need
// no room there succeeds.
func saveWithoutRoom(t *rapid.T, folder *disk.Folder, ready consensus.Ready) {
	room := false
	folder.LimitSegment(func() bool { return room })
	err := folder.Save(ready)
	room = true
	if err != nil && !errors.Is(err, disk.ErrFull) {
		t.Fatalf("without room: %v", err)
	}
	if err == nil && (ready.Hard != nil || ready.Snapshot == nil && len(ready.Entries) > 0) {
		t.Fatal("saved without room")
	}
}

// TestAgainstNaive guards against writes that are lost, resurrected or reordered
// by segments, snapshots, reopening and writes that fail for want of room.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := t.TempDir()
		var want naive
		folder, _, err := open(t, path, 400)
		if err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			ready := drawReady(rt, want)
			for range rapid.IntRange(0, 2).Draw(rt, "full") {
				saveWithoutRoom(rt, folder, ready)
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
