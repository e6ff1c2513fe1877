package httpserver_test

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniasill/io/httpserver"
)

// elements counts the elements of the arrays in value that are in no other array.
func elements(value any) int64 {
	count := int64(0)
	switch value := value.(type) {
	case []any:
		return int64(len(value))
	case map[string]any:
		for _, inner := range value {
			count += elements(inner)
		}
	}
	return count
}

// TestElements guards against arrays whose elements are not counted, because of strings
// that look like brackets, escapes or nesting.
func TestElements(t *testing.T) {
	text := rapid.StringOfN(rapid.SampledFrom([]rune(`[]{}",\a`)), 0, 6, -1)
	var value func(depth int) *rapid.Generator[any]
	value = func(depth int) *rapid.Generator[any] {
		leaf := rapid.OneOf(text.AsAny(), rapid.Int().AsAny(), rapid.Just[any](nil))
		if depth == 0 {
			return leaf
		}
		return rapid.OneOf(leaf,
			rapid.SliceOfN(value(depth-1), 0, 4).AsAny(),
			rapid.MapOfN(text, value(depth-1), 0, 4).AsAny())
	}
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.Marshal(value(4).Draw(t, "value"))
		if err != nil {
			t.Fatal(err)
		}
		var decoded any
		if err := json.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		if got, want := httpserver.ShapeOf(data).Elements, elements(decoded); got < want {
			t.Fatalf("%s: %d elements, want at least %d", data, got, want)
		}
	})
}

// TestJSONSize guards against an estimate below what the decoded form takes, for bodies that
// decode to many times their size, and above several times their size for ordinary ones.
func TestJSONSize(t *testing.T) {
	const element = 100
	tests := map[string]struct {
		data          string
		atLeast, most int64
	}{
		"small elements": {"[" + strings.Repeat("{},", 1000) + "{}]", 1001 * element, 1001 * element * 3},
		"numbers":        {"[" + strings.Repeat("0,", 1000) + "0]", 1001 * element, 1001 * element * 3},
		"inner arrays":   {"[[" + strings.Repeat("0,", 1000) + "0]]", 1001 * 8, 1001 * 60},
		"long string":    {`"` + strings.Repeat("x", 1000) + `"`, 2000, 2010},
		"deep nesting":   {strings.Repeat("[", 100_000), 100_000, 1_000_000},
		"open string":    {`["\`, 0, element * 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if size := httpserver.JSONSize([]byte(test.data), element); size < test.atLeast || size > test.most {
				t.Errorf("%d bytes, want %d to %d", size, test.atLeast, test.most)
			}
		})
	}
}
