package metrics_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/io/metrics"
)

// TestHandler guards against counters that lack their reason, and against a process being
// reported as ready when it is not.
func TestHandler(t *testing.T) {
	set := metrics.New()
	set.Inc("jobs_refused", zinniasill.ReasonOverload)
	set.Inc("jobs_completed", "")
	set.Observe("job", "completed", 250*time.Millisecond)
	set.Gauge("jobs", func() float64 { return 3 })
	var health error
	handler := metrics.Handler(set, func() error { return health })
	tests := map[string]struct {
		path   string
		health error
		status int
		want   string
	}{
		"counter with reason": {path: "/metrics", status: 200, want: `zinniasill_jobs_refused_total{reason="overload"} 1`},
		"counter":             {path: "/metrics", status: 200, want: "zinniasill_jobs_completed_total 1"},
		"histogram":           {path: "/metrics", status: 200, want: `zinniasill_job_seconds_count{reason="completed"} 1`},
		"gauge":               {path: "/metrics", status: 200, want: "zinniasill_jobs 3"},
		"ready":               {path: "/readyz", status: 200, want: "ready"},
		"not ready":           {path: "/readyz", health: errors.New("no lease"), status: 503, want: "no lease"},
		"live but not ready":  {path: "/livez", health: errors.New("no lease"), status: 200, want: "live"},
		"health, not ready":   {path: "/healthz", health: errors.New("no lease"), status: 200, want: "not ready: no lease"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			health = tt.health
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, tt.path, nil))
			if recorder.Code != tt.status || !strings.Contains(recorder.Body.String(), tt.want) {
				t.Errorf("status %d, body %q; want %d and %q", recorder.Code, recorder.Body, tt.status, tt.want)
			}
		})
	}
}
