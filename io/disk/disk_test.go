package disk_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"zinniasill"
	"zinniasill/core/consensus"
	"zinniasill/io/disk"
)

const segment1 = "log-0000000000000001"

func fixedInstance() (zinniasill.Incarnation, error) { return 77, nil }

func open(t testing.TB, path string, segmentSize int64) (*disk.Folder, disk.Contents, error) {
	t.Helper()
	return disk.Open(disk.Config{Path: path, SegmentSize: segmentSize, NewInstance: fixedInstance})
}

func entries(first, count consensus.Index, term consensus.Term) []consensus.Entry {
	var list []consensus.Entry
	for i := first; i < first+count; i++ {
		list = append(list, consensus.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return list
}

func hard(term consensus.Term) *consensus.HardState {
	return &consensus.HardState{Cluster: "c", Term: term, Vote: zinniasill.Node{ID: "b", Incarnation: 5}}
}

// written is a folder of three frames after the first, with the size of the
// segment and the state after each.
type written struct {
	data   []byte
	ends   []int
	states []naive
}

func write(t *testing.T) written {
	path := t.TempDir()
	folder, _, err := open(t, path, 0)
	if err != nil {
		t.Fatal(err)
	}
	var w written
	var state naive
	note := func() {
		if w.data, err = os.ReadFile(filepath.Join(path, segment1)); err != nil {
			t.Fatal(err)
		}
		w.ends = append(w.ends, len(w.data))
		w.states = append(w.states, state)
	}
	note()
	for _, ready := range []consensus.Ready{
		{Hard: hard(1), Entries: entries(1, 2, 1)},
		{Entries: entries(3, 2, 1)},
		{Hard: hard(2), Entries: entries(4, 2, 2)},
	} {
		if err := folder.Save(ready); err != nil {
			t.Fatal(err)
		}
		state = state.save(ready)
		note()
	}
	folder.Close()
	return w
}

// reopen opens a folder whose only segment has the given content.
func reopen(t *testing.T, path string, data []byte) (disk.Contents, error) {
	if err := os.WriteFile(filepath.Join(path, segment1), data, 0o600); err != nil {
		t.Fatal(err)
	}
	folder, found, err := open(t, path, 0)
	if err == nil {
		folder.Close()
	}
	return found, err
}

// TestCutAtEveryByte guards against a torn tail that is taken over in part, is
// refused, or is not reported.
func TestCutAtEveryByte(t *testing.T) {
	w := write(t)
	path := t.TempDir()
	folder, _, err := open(t, path, 0)
	if err != nil {
		t.Fatal(err)
	}
	folder.Close()
	for cut := range w.data {
		found, err := reopen(t, path, w.data[:cut])
		if cut < w.ends[0] {
			if err == nil {
				t.Fatalf("cut at %d: a segment without its first frame was accepted", cut)
			}
			continue
		}
		whole := 0
		for whole+1 < len(w.ends) && w.ends[whole+1] <= cut {
			whole++
		}
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if err := w.states[whole].check(found.Recovered); err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if torn := cut > w.ends[whole]; torn != (len(found.Torn) == 1) {
			t.Fatalf("cut at %d: reported as torn: %v", cut, found.Torn)
		}
	}
}

// TestFlipEveryBit guards against flipped bits that change the recovered state
// without a report: those in the last frame drop it as torn, all others make the
// folder unusable.
func TestFlipEveryBit(t *testing.T) {
	w := write(t)
	path := t.TempDir()
	folder, _, err := open(t, path, 0)
	if err != nil {
		t.Fatal(err)
	}
	folder.Close()
	lastFrame := w.ends[len(w.ends)-2]
	for bit := range len(w.data) * 8 {
		data := append([]byte(nil), w.data...)
		data[bit/8] ^= 1 << (bit % 8)
		found, err := reopen(t, path, data)
		if bit/8 < lastFrame {
			var refused *disk.FolderError
			if !errors.As(err, &refused) || refused.Findings[0].File != segment1 {
				t.Fatalf("bit %d: accepted or refused with %v", bit, err)
			}
			continue
		}
		if err != nil || len(found.Torn) != 1 || found.Torn[0].Offset != int64(lastFrame) {
			t.Fatalf("bit %d: torn %v, error %v", bit, found.Torn, err)
		}
		if err := w.states[len(w.states)-2].check(found.Recovered); err != nil {
			t.Fatalf("bit %d: %v", bit, err)
		}
	}
}

// TestRefuse guards against folders that are used although something in them is
// wrong, and against findings that are left out.
func TestRefuse(t *testing.T) {
	tests := map[string]struct {
		damage func(path string) error
		want   []string
	}{
		"foreign file and foreign folder": {
			damage: func(path string) error {
				return errors.Join(
					os.WriteFile(filepath.Join(path, "notes.txt"), nil, 0o600),
					os.Mkdir(filepath.Join(path, "log-2"), 0o700))
			},
			want: []string{"notes.txt:0: not a file", "log-2:0: not a file"},
		},
		"snapshot and identity corrupt": {
			damage: func(path string) error {
				return errors.Join(flipLast(path, "snapshot"), flipLast(path, "identity"))
			},
			want: []string{"snapshot:16: wrong checksum", "identity:16: wrong checksum"},
		},
		"identity missing": {
			damage: func(path string) error { return os.Remove(filepath.Join(path, "identity")) },
			want:   []string{"identity:0: missing"},
		},
		"snapshot missing": {
			damage: func(path string) error { return os.Remove(filepath.Join(path, "snapshot")) },
			want:   []string{"entry 5 follows entry 0", "segment is missing and there is no snapshot"},
		},
		"segment missing": {
			damage: func(path string) error { return os.Remove(filepath.Join(path, "log-0000000000000003")) },
			want:   []string{"log-0000000000000004:0: segment 3 before it is missing"},
		},
		"bytes after the snapshot": {
			damage: func(path string) error { return appendTo(path, "snapshot") },
			want:   []string{"snapshot:", "bytes after the end"},
		},
		"torn segment that is not the last": {
			damage: func(path string) error { return appendTo(path, "log-0000000000000003") },
			want:   []string{"log-0000000000000003:", "with a segment after it"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := t.TempDir()
			folder, _, err := open(t, path, 300)
			if err != nil {
				t.Fatal(err)
			}
			for _, ready := range []consensus.Ready{
				{Hard: hard(1), Entries: entries(1, 4, 1)},
				{Snapshot: &consensus.Snapshot{Index: 4, Term: 1}, Entries: entries(5, 1, 1)},
				{Entries: entries(6, 20, 1)},
				{Entries: entries(26, 20, 1)},
			} {
				if err := folder.Save(ready); err != nil {
					t.Fatal(err)
				}
			}
			folder.Close()
			if err := test.damage(path); err != nil {
				t.Fatal(err)
			}
			_, _, err = open(t, path, 300)
			var refused *disk.FolderError
			if !errors.As(err, &refused) {
				t.Fatalf("not refused: %v", err)
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%v does not contain %q", err, want)
				}
			}
		})
	}
}

func flipLast(path, name string) error {
	data, err := os.ReadFile(filepath.Join(path, name))
	if err != nil {
		return err
	}
	data[len(data)-1] ^= 1
	return os.WriteFile(filepath.Join(path, name), data, 0o600)
}

func appendTo(path, name string) error {
	data, err := os.ReadFile(filepath.Join(path, name))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(path, name), append(data, 0), 0o600)
}

// TestInstance guards against a replica that changes its identity at a restart,
// or keeps it after its disk was lost.
func TestInstance(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	var seen []zinniasill.Incarnation
	for range 2 {
		folder, found, err := disk.Open(disk.Config{Path: path})
		if err != nil {
			t.Fatal(err)
		}
		folder.Close()
		seen = append(seen, found.Instance)
	}
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	folder, found, err := disk.Open(disk.Config{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	folder.Close()
	if seen[0] == 0 || seen[0] != seen[1] || found.Instance == seen[0] {
		t.Fatalf("instances %v, after loss %v", seen, found.Instance)
	}
}

// TestLock guards against two processes that write to one folder.
func TestLock(t *testing.T) {
	path := t.TempDir()
	folder, _, err := open(t, path, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := open(t, path, 0); !errors.Is(err, disk.ErrLocked) {
		t.Fatalf("second open: %v", err)
	}
	folder.Close()
	again, _, err := open(t, path, 0)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}

// TestWriteError guards against a folder that goes on after a write that failed
// and cannot be undone: its effect on the disk is not known.
func TestWriteError(t *testing.T) {
	folder, _, err := open(t, t.TempDir(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	folder.ReplaceSegment(full)
	first := folder.Save(consensus.Ready{Hard: hard(1)})
	if !errors.Is(first, syscall.ENOSPC) {
		t.Fatalf("disk full: %v", first)
	}
	if again := folder.Save(consensus.Ready{Hard: hard(2)}); !errors.Is(again, first) {
		t.Fatalf("after the error: %v", again)
	}
}

func benchmarkSave(b *testing.B, batch int) {
	folder, _, err := open(b, b.TempDir(), 0)
	if err != nil {
		b.Fatal(err)
	}
	defer folder.Close()
	data := make([]byte, 256)
	next := consensus.Index(1)
	for b.Loop() {
		list := make([]consensus.Entry, batch)
		for i := range list {
			list[i] = consensus.Entry{Index: next, Term: 1, Data: data}
			next++
		}
		if err := folder.Save(consensus.Ready{Entries: list}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
}

// BenchmarkSave appends entries of 256 bytes with one sync per batch.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) { benchmarkSave(b, batch) })
	}
}
