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

// testLog is a segment with three frames after the initial one. For each frame, ends
// has the size of the segment in bytes and states the expected state after it.
type testLog struct {
	data   []byte
	ends   []int
	states []model
}

func writeTestLog(t *testing.T) testLog {
	path := t.TempDir()
	folder, _, err := open(t, path, 0)
	if err != nil {
		t.Fatal(err)
	}
	var w testLog
	var state model
	recordState := func() {
		if w.data, err = os.ReadFile(filepath.Join(path, segment1)); err != nil {
			t.Fatal(err)
		}
		w.ends = append(w.ends, len(w.data))
		w.states = append(w.states, state)
	}
	recordState()
	for _, ready := range []consensus.Ready{
		{Hard: hard(1), Entries: entries(1, 2, 1)},
		{Entries: entries(3, 2, 1)},
		{Hard: hard(2), Entries: entries(4, 2, 2)},
	} {
		if err := folder.Save(ready); err != nil {
			t.Fatal(err)
		}
		state = state.save(ready)
		recordState()
	}
	folder.Close()
	return w
}

// reopen replaces the only segment of a folder and opens it.
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

// TestCutAtEveryByte truncates a segment at each offset. It guards against a torn write
// that is applied in part, makes Open fail, or is not reported.
func TestCutAtEveryByte(t *testing.T) {
	w := writeTestLog(t)
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
		complete := 0
		for complete+1 < len(w.ends) && w.ends[complete+1] <= cut {
			complete++
		}
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if err := w.states[complete].check(found.Recovered); err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if torn := cut > w.ends[complete]; torn != (len(found.Torn) == 1) {
			t.Fatalf("cut at %d: reported as torn: %v", cut, found.Torn)
		}
	}
}

// TestFlipEveryBit guards against flipped bits that go undetected: a flip in the last
// frame discards it as torn, any other one makes Open fail.
func TestFlipEveryBit(t *testing.T) {
	w := writeTestLog(t)
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
				t.Fatalf("bit %d: got %v, want a FolderError for the segment", bit, err)
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

// TestRefuse guards against corrupt or incomplete folders that Open accepts, and
// against findings that are not reported.
func TestRefuse(t *testing.T) {
	tests := map[string]struct {
		damage func(path string) error
		want   []string
	}{
		"unexpected file and folder": {
			damage: func(path string) error {
				return errors.Join(
					os.WriteFile(filepath.Join(path, "notes.txt"), nil, 0o600),
					os.Mkdir(filepath.Join(path, "log-2"), 0o700))
			},
			want: []string{"notes.txt:0: unexpected file", "log-2:0: unexpected file"},
		},
		"snapshot and identity corrupt": {
			damage: func(path string) error {
				return errors.Join(flipLastBit(path, "snapshot"), flipLastBit(path, "identity"))
			},
			want: []string{"snapshot:16: wrong checksum", "identity:16: wrong checksum"},
		},
		"identity missing": {
			damage: func(path string) error { return os.Remove(filepath.Join(path, "identity")) },
			want:   []string{"identity:0: missing"},
		},
		"snapshot missing": {
			damage: func(path string) error { return os.Remove(filepath.Join(path, "snapshot")) },
			want:   []string{"entry 5 follows entry 0", "segment is missing and no snapshot exists"},
		},
		"segment missing": {
			damage: func(path string) error { return os.Remove(filepath.Join(path, "log-0000000000000003")) },
			want:   []string{"log-0000000000000004:0: preceding segment 3 is missing"},
		},
		"bytes after the snapshot": {
			damage: func(path string) error { return appendByte(path, "snapshot") },
			want:   []string{"snapshot:", "trailing bytes after the frame"},
		},
		"torn segment that is not the last": {
			damage: func(path string) error { return appendByte(path, "log-0000000000000003") },
			want:   []string{"log-0000000000000003:", "followed by another segment"},
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
				t.Fatalf("got %v, want a FolderError", err)
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%v does not contain %q", err, want)
				}
			}
		})
	}
}

func flipLastBit(path, name string) error {
	data, err := os.ReadFile(filepath.Join(path, name))
	if err != nil {
		return err
	}
	data[len(data)-1] ^= 1
	return os.WriteFile(filepath.Join(path, name), data, 0o600)
}

func appendByte(path, name string) error {
	data, err := os.ReadFile(filepath.Join(path, name))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(path, name), append(data, 0), 0o600)
}

// TestInstance guards against a replica whose instance number changes on restart, or
// stays the same after the folder was lost.
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
		t.Fatalf("instances %v, after loss of the folder %v", seen, found.Instance)
	}
}

// TestLock guards against two processes that use one folder at the same time.
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
	reopened, _, err := open(t, path, 0)
	if err != nil {
		t.Fatal(err)
	}
	reopened.Close()
}

// TestWriteError guards against a Save that succeeds after a failed write that could
// not be rolled back, which leaves the content of the disk undefined.
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
		t.Fatalf("Save on a full disk: %v", first)
	}
	if second := folder.Save(consensus.Ready{Hard: hard(2)}); !errors.Is(second, first) {
		t.Fatalf("Save after a write error: %v", second)
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

// BenchmarkSave measures appends of 256-byte entries with one sync per batch.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) { benchmarkSave(b, batch) })
	}
}
