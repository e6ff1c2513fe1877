package route_test

import (
	"errors"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/route"
)

func queue(name, host, prefix string) route.Queue {
	return route.Queue{Name: name, Host: host, Prefix: prefix, Kind: "k", AnswerWithin: time.Second}
}

// TestFind guards against requests that are routed to a queue of another host, or to one
// whose prefix is not the longest match.
func TestFind(t *testing.T) {
	table, err := route.New(3, []zinniasill.Kind{"k"}, []route.Queue{
		queue("short", "a.example", "/x/"), queue("long", "A.example", "/x/y/"), queue("other", "b.example", "/x/"),
	})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		host, path, name, rest string
	}{
		"longest prefix":    {"a.example", "/x/y/1", "long", "1"},
		"shorter prefix":    {"a.example", "/x/z", "short", "z"},
		"host with a port":  {"b.example:80", "/x/", "other", ""},
		"unknown host":      {"c.example", "/x/1", "", ""},
		"unknown path":      {"a.example", "/z/1", "", ""},
		"prefix cut short":  {"a.example", "/x", "", ""},
		"host in any case":  {"B.EXAMPLE", "/x/1", "other", "1"},
		"path of the other": {"b.example", "/x/y/1", "other", "y/1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			queue, rest, ok := table.Find(tt.host, tt.path)
			if queue.Name != tt.name || rest != tt.rest || ok != (tt.name != "") {
				t.Errorf("found %q, rest %q, %t", queue.Name, rest, ok)
			}
		})
	}
}

// TestInvalid guards against an invalid table that is accepted, and against errors that
// are reported one at a time.
func TestInvalid(t *testing.T) {
	bad := queue("late", "a.example", "/x/")
	bad.AnswerWithin = 0
	unknown := queue("unknown", "a.example", "/y/")
	unknown.Kind = "none"
	_, err := route.New(1, []zinniasill.Kind{"k"}, []route.Queue{queue("first", "a.example", "/x/"), bad, unknown})
	var invalid *route.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Findings) != 3 {
		t.Errorf("findings: %v", err)
	}
}
