package disk_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"zinniasill/core/consensus"
	"zinniasill/io/disk"
)

// FuzzOpen guards against a corrupt log that makes Open panic, or that Open accepts but
// reads differently the next time.
func FuzzOpen(f *testing.F) {
	path := f.TempDir()
	folder, _, err := open(f, path, 0)
	if err != nil {
		f.Fatal(err)
	}
	if err := folder.Save(consensus.Ready{Hard: hard(1), Entries: entries(1, 3, 1)}); err != nil {
		f.Fatal(err)
	}
	folder.Close()
	identity := readFile(f, filepath.Join(path, "identity"))
	segment := readFile(f, filepath.Join(path, segment1))
	f.Add(identity, segment)
	f.Add(identity, segment[:len(segment)-3])
	f.Add(identity[:5], segment)
	f.Add([]byte{}, []byte("not a log"))
	f.Fuzz(func(t *testing.T, identity, segment []byte) {
		path := t.TempDir()
		writeFile(t, filepath.Join(path, "identity"), identity)
		writeFile(t, filepath.Join(path, segment1), segment)
		first, found, err := open(t, path, 0)
		var refused *disk.FolderError
		if errors.As(err, &refused) {
			if len(refused.Findings) == 0 {
				t.Fatal("FolderError without a finding")
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		first.Close()
		reopened, reopenedContents, err := open(t, path, 0)
		if err != nil {
			t.Fatalf("second open failed: %v", err)
		}
		reopened.Close()
		if len(found.Recovered.Entries) != len(reopenedContents.Recovered.Entries) || len(reopenedContents.Torn) > 0 {
			t.Fatalf("first open returned %d entries, second open %d entries and torn %v", len(found.Recovered.Entries), len(reopenedContents.Recovered.Entries), reopenedContents.Torn)
		}
	})
}

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeFile(t testing.TB, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
