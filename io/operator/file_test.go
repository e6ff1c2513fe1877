package operator_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniasill/core/configcheck"
	"zinniasill/core/control"
	"zinniasill/io/operator"
)

// drawObject draws the fields of a profile or team. Most values are valid, and some fields are
// missing, unknown or of another type.
func drawObject(t *rapid.T, kind configcheck.Kind) map[string]any {
	name := rapid.SampledFrom([]any{"a", "a.b-c_d", "a", "", ".a", "a b", strings.Repeat("x", 65), 5, nil})
	duration := rapid.SampledFrom([]any{"1s", "50ms", "10m", "1s", "10m1ns", "0s", "-1s", "soon", 7, nil})
	values := map[string]*rapid.Generator[any]{
		"kind":              name,
		"answer-within":     duration,
		"expected-run-time": duration,
		"repeat":            rapid.SampledFrom([]any{"never", "resubmit", "never", "always", "", true}),
		"domains":           rapid.SampledFrom([]any{[]string{}, []string{"x", "y"}, nil, []string{"x", "x"}, []string{""}, "x", []int{1}}),
		"max-tasks":         rapid.SampledFrom([]any{1, 1000, 10, 1001, 0, -1, 1.5, "1", nil}),
	}
	if kind == configcheck.KindTeam {
		values = map[string]*rapid.Generator[any]{"quota": rapid.SampledFrom([]any{0, 1, 1 << 40, -1, 0.5, "1", nil, false})}
	}
	object := map[string]any{"name": rapid.SampledFrom([]string{"a", "a.b-c_d", "-a", ".", strings.Repeat("x", 65)}).Draw(t, "name")}
	for _, field := range slices.Sorted(maps.Keys(values)) {
		if rapid.IntRange(0, 15).Draw(t, "missing "+field) > 0 {
			object[field] = values[field].Draw(t, field)
		}
	}
	if rapid.IntRange(0, 15).Draw(t, "unknown") == 0 {
		object["Kind"] = 1
	}
	return object
}

// put sends the object to a control replica and returns the fields that it refuses.
func put(t *rapid.T, kind configcheck.Kind, object map[string]any) []string {
	body := maps.Clone(object)
	body["base-revision"] = 0
	body["request-id"] = "r-1"
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	handler := operator.New(operator.Config{Configuration: &stub{machine: control.New()}})
	path := fmt.Sprintf("/v1/%ss/%s", kind, object["name"])
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodPut, path, strings.NewReader(string(data))))
	if response.Code == http.StatusOK {
		return nil
	}
	var failure operator.Error
	if err := json.Unmarshal(response.Body.Bytes(), &failure); err != nil || len(failure.Findings) == 0 {
		t.Fatalf("status %d: %s", response.Code, response.Body)
	}
	var fields []string
	for _, finding := range failure.Findings {
		fields = append(fields, finding.Field+": "+finding.Problem)
	}
	slices.Sort(fields)
	return fields
}

// TestCheckAgreesWithControl guards against a file that passes the check although control
// refuses its object, or the other way round, and against findings that differ.
func TestCheckAgreesWithControl(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]configcheck.Kind{configcheck.KindProfile, configcheck.KindTeam}).Draw(t, "kind")
		object := drawObject(t, kind)
		data, err := json.Marshal(object)
		if err != nil {
			t.Fatal(err)
		}
		var found []string
		for _, finding := range configcheck.Check([]configcheck.File{operator.ReadFile("f", kind, data)}) {
			if finding.Severity == configcheck.Error {
				found = append(found, finding.Field+": "+finding.Problem)
			}
		}
		slices.Sort(found)
		if refused := put(t, kind, object); !slices.Equal(found, refused) {
			t.Fatalf("%s: check found %q, control %q", data, found, refused)
		}
	})
}
