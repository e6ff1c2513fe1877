package localcluster

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/internal/stubendpoint"
)

// TestHistoryChecker guards against a check that misses the violations which the process
// tests rely on it to find.
func TestHistoryChecker(t *testing.T) {
	at := time.Now()
	starts := func(times ...time.Duration) []stubendpoint.Start {
		var history []stubendpoint.Start
		for _, offset := range times {
			history = append(history, stubendpoint.Start{ID: TaskID("job", 0), At: at.Add(offset)})
		}
		return history
	}
	refused := func(retry zinniasill.Retry) map[string][]refusal {
		return map[string][]refusal{"job": {{code: zinniasill.ReasonOverload, retry: retry, noStartBefore: at}}}
	}
	tests := map[string]struct {
		answered map[string]int
		refusals map[string][]refusal
		history  []stubendpoint.Start
		findings int
	}{
		"answered, one start":              {answered: map[string]int{"job": 1}, history: starts(0)},
		"answered, no start":               {answered: map[string]int{"job": 1}, findings: 1},
		"started twice":                    {history: starts(0, time.Second), findings: 1},
		"one of two tasks started":         {answered: map[string]int{"job": 2}, history: starts(0), findings: 1},
		"not-run, no start":                {refusals: refused(zinniasill.RetryNewKey)},
		"not-run, new key, start":          {refusals: refused(zinniasill.RetryNewKey), history: starts(time.Second), findings: 1},
		"not-run, same key, start before":  {refusals: refused(zinniasill.RetrySameKey), history: starts(-time.Second), findings: 1},
		"not-run, same key, started later": {refusals: refused(zinniasill.RetrySameKey), history: starts(time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := &HistoryChecker{answered: tt.answered, refusals: tt.refusals}
			if findings := h.Check(tt.history); len(findings) != tt.findings {
				t.Errorf("findings %q, want %d", findings, tt.findings)
			}
		})
	}
}
