package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestPutChecksFirst guards against an object with errors that is sent although the check is
// not switched off, and against a valid one that is held back.
func TestPutChecksFirst(t *testing.T) {
	var puts atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			puts.Add(1)
		}
		_, _ = w.Write([]byte(`{"revision":1}`))
	}))
	defer server.Close()
	valid := writeFile(t, "valid", testProfile)
	invalid := writeFile(t, "invalid", strings.Replace(testProfile, `"max-tasks":10`, `"max-tasks":0`, 1))
	malformed := writeFile(t, "malformed", strings.Replace(testProfile, `"max-tasks":10`, `"max-tasks":"x"`, 1))
	tests := map[string]struct {
		args []string
		exit int
		puts int64
	}{
		"valid profile":                  {[]string{"profile", "put", valid}, 0, 1},
		"invalid profile":                {[]string{"profile", "put", invalid}, 1, 0},
		"invalid profile, no check":      {[]string{"profile", "put", "--no-check", invalid}, 0, 1},
		"malformed profile, no check":    {[]string{"profile", "put", "--no-check", malformed}, 1, 0},
		"valid team":                     {[]string{"team", "put", "shop", "5"}, 0, 1},
		"invalid name of team":           {[]string{"team", "put", "my shop", "5"}, 1, 0},
		"invalid name, check left out":   {[]string{"team", "put", "--no-check", "my shop", "5"}, 0, 1},
		"negative quota":                 {[]string{"team", "put", "shop", "--", "-5"}, 1, 0},
		"negative quota, check left out": {[]string{"team", "put", "--no-check", "shop", "--", "-5"}, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := puts.Load()
			args := append([]string{}, test.args[:2]...)
			args = append(args, "--control="+strings.TrimPrefix(server.URL, "http://"))
			args = append(args, test.args[2:]...)
			if exit := runMain(args); exit != test.exit || puts.Load()-before != test.puts {
				t.Errorf("exit code %d, %d sent, want %d and %d", exit, puts.Load()-before, test.exit, test.puts)
			}
		})
	}
}
