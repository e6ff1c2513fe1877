package disk_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"zinniasill/core/consensus"
	"zinniasill/io/disk"
)

// FuzzOpen guards against a damaged log that makes a replica panic, or that is
// accepted but read differently the next time.
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
	identity := read(f, filepath.Join(path, "identity"))
	segment := read(f, filepath.Join(path, segment1))
	f.Add(identity, segment)
	f.Add(identity, segment[:len(segment)-3])
	f.Add(identity[:5], segment)
	f.Add([]byte{}, []byte("not a log"))
	f.Fuzz(func(t *testing.T, identity, segment []byte) {
		path := t.TempDir()
		put(t, filepath.Join(path, "identity"), identity)
		put(t, filepath.Join(path, segment1), segment)
		first, found, err := open(t, path, 0)
		var refused *disk.FolderError
		if errors.As(err, &refused) {
			if len(refused.Findings) == 0 {
				t.Fatal("refused without a finding")
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		first.Close()
		again, foundAgain, err := open(t, path, 0)
		if err != nil {
			t.Fatalf("opened once, then %v", err)
		}
		again.Close()
		if len(found.Recovered.Entries) != len(foundAgain.Recovered.Entries) || len(foundAgain.Torn) > 0 {
			t.Fatalf("first %d entries, then %d and %v", len(found.Recovered.Entries), len(foundAgain.Recovered.Entries), foundAgain.Torn)
		}
	})
}

func read(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func put(t testing.TB, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
