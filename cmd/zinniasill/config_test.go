package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"zinniasill/core/configcheck"
)

const testProfile = `{"name":"proof","kind":"cards","answer-within":"2s","expected-run-time":"50ms","repeat":"never","max-tasks":10}`

// writeFile writes a file to a folder of the test and returns its path.
func writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestConfigCheckExitCodes guards against scripts that take a refused file, or a check that
// was not made, for a valid one.
func TestConfigCheckExitCodes(t *testing.T) {
	valid := writeFile(t, "valid", testProfile)
	invalid := writeFile(t, "invalid", "name: a")
	warned := writeFile(t, "warned", `{"name":"p","kind":"k","answer-within":"1s","expected-run-time":"1s","repeat":"never","max-tasks":1}`)
	tests := map[string]struct {
		args []string
		want int
	}{
		"valid":          {[]string{valid}, 0},
		"one invalid":    {[]string{valid, invalid}, 1},
		"other kind":     {[]string{"--format-of=team", valid}, 1},
		"warning":        {[]string{warned}, 0},
		"strict":         {[]string{"--strict", warned}, 1},
		"strict, valid":  {[]string{"--strict", valid}, 0},
		"no file":        {nil, 2},
		"missing file":   {[]string{valid + "-missing"}, 2},
		"unknown flag":   {[]string{"--no-such-flag", valid}, 2},
		"unknown format": {[]string{"--format=xml", valid}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := runMain(append([]string{"config", "check"}, test.args...)); got != test.want {
				t.Errorf("exit code %d, want %d", got, test.want)
			}
		})
	}
}

// TestConfigCheckFormats guards against findings that are lost in one of the formats.
func TestConfigCheckFormats(t *testing.T) {
	path := writeFile(t, "team", "name: shop\nquota: -1\n")
	var text, encoded bytes.Buffer
	textErr := configCheck{files: []string{path}, format: formatText}.run(t.Context(), &text)
	jsonErr := configCheck{files: []string{path}, format: formatJSON}.run(t.Context(), &encoded)
	var decoded struct{ Findings []configcheck.Finding }
	if err := json.Unmarshal(encoded.Bytes(), &decoded); err != nil || len(decoded.Findings) != 1 {
		t.Fatalf("%v: %s", err, encoded.Bytes())
	}
	want := path + ":2: error: quota: -1 must not be negative " +
		"(accepted: 0 for no limit, or the highest number of tasks in flight) [team-quota]\n"
	if text.String() != want || decoded.Findings[0].String()+"\n" != want {
		t.Errorf("text %q, JSON %+v, want %q", text.String(), decoded.Findings[0], want)
	}
	if textErr == nil || jsonErr == nil {
		t.Errorf("errors %v and %v", textErr, jsonErr)
	}
}
