package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// standIn answers like a control replica of both interfaces. It fails the test if it is sent
// anything but a read.
func standIn(t *testing.T, responses map[string]string) (address string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			t.Errorf("sent %s %s", r.Method, r.URL)
		}
		body, ok := responses[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestConfigCheckAgainstControl guards against a check that compares with nothing, changes what
// it compares with, or passes although the configuration in force cannot be read.
func TestConfigCheckAgainstControl(t *testing.T) {
	const platformInForce = `{"version":7,"routes":[],"services":[]}`
	address := standIn(t, map[string]string{
		"/v1/status": `{"profiles":["proof"],"teams":[{"name":"shop","quota":5}],
			"nodes":[{"id":"agent-1","role":"agent","domain":"zone-a","kinds":["cards"]}]}`,
		"/v1/profiles/proof": testProfile,
		"/Config.Get":        platformInForce,
	})
	empty := standIn(t, nil)
	tests := map[string]struct {
		address, content, code string
		exit                   int
	}{
		"same profile":               {address, testProfile, "", 0},
		"changed profile":            {address, strings.Replace(testProfile, "2s", "3s", 1), "[changed]", 0},
		"smaller jobs":               {address, strings.Replace(testProfile, ":10}", ":9}", 1), "[turns-away]", 0},
		"lower quota":                {address, `{"name":"shop","quota":4}`, "[turns-away]", 0},
		"platform, same version":     {address, platformInForce, "[version-not-higher]", 1},
		"platform, higher version":   {address, strings.Replace(platformInForce, "7", "8", 1), "", 0},
		"first replica does not say": {empty + "," + address, platformInForce, "[version-not-higher]", 1},
		"no configuration known":     {empty, platformInForce, "", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			check := configCheck{files: []string{writeFile(t, "file", test.content)}, format: formatText}
			check.control.addresses = test.address
			var out bytes.Buffer
			err := check.run(t.Context(), &out)
			if (err != nil) != (test.exit != 0) || err != nil && exitCode(err) != test.exit {
				t.Errorf("error %v, want exit code %d", err, test.exit)
			}
			if !strings.Contains(out.String(), test.code) || test.code == "" && strings.Contains(out.String(), "changed") {
				t.Errorf("no %q in %q", test.code, out.String())
			}
		})
	}
}
