package archive_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/archive"
)

// TestArchiveMatchesMap guards against lost, revived or mixed-up records when the
// index grows, records are replaced or deleted, and segments are rewritten or dropped.
func TestArchiveMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a archive.Archive
		naive := map[zinniasill.Epoch]map[string]string{}
		value := make([]byte, rapid.SampledFrom([]int{1, 40, 3000, 70_000}).Draw(t, "size"))
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			epoch := zinniasill.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch"))
			key := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "key"))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1:
				a.Delete(epoch, []byte(key))
				delete(naive[epoch], key)
			case 2:
				if step%10 == 0 {
					a.DropBefore(epoch)
					maps.DeleteFunc(naive, func(e zinniasill.Epoch, _ map[string]string) bool { return e < epoch })
				}
			default:
				value[0] = byte(step)
				a.Put(epoch, []byte(key), value)
				if naive[epoch] == nil {
					naive[epoch] = map[string]string{}
				}
				naive[epoch][key] = string(value)
			}
			got, ok := a.GetInEpoch(epoch, []byte(key))
			if want, known := naive[epoch][key]; known != ok || want != string(got) {
				t.Fatalf("epoch %d key %s: found %v, want %v", epoch, key, ok, known)
			}
		}
		count := 0
		a.ForEach(func(epoch zinniasill.Epoch, key, value []byte) {
			count++
			if naive[epoch][string(key)] != string(value) {
				t.Fatalf("epoch %d key %s has another value", epoch, key)
			}
		})
		want := 0
		for _, records := range naive {
			want += len(records)
		}
		if count != want || a.Len() != want {
			t.Fatalf("%d records visited and %d counted, want %d", count, a.Len(), want)
		}
	})
}

// TestOutputs guards against an eviction of others than the oldest and against a
// budget that dropped epochs go on using.
func TestOutputs(t *testing.T) {
	o := archive.Outputs[string]{Budget: 10}
	a, _ := o.Add(1, "a", 4)
	b, _ := o.Add(2, "b", 4)
	c, evicted := o.Add(1, "c", 4)
	if _, ok := o.Get(a); ok || evicted != 1 {
		t.Fatal("the oldest is kept")
	}
	o.DropBefore(2)
	if _, ok := o.Get(c); ok || o.Bytes() != 4 {
		t.Fatal("a dropped output is kept")
	}
	if value, ok := o.Get(b); !ok || value != "b" {
		t.Fatal("an output of the window is gone")
	}
}
