// Package metrics counts events and serves them, with the health of the process,
// over HTTP.
//
//	set := metrics.New()
//	set.Inc("jobs_refused", zinniasill.ReasonOverload)
//	mux.Handle("/", metrics.Handler(set, ready))
package metrics

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"zinniasill"
)

const prefix = "zinniasill_"

// Set is a set of counters and gauges. Use New.
type Set struct {
	set *metrics.Set
}

// New returns an empty set.
func New() *Set {
	return &Set{set: metrics.NewSet()}
}

// Inc implements zinniasill.Counters.
func (s *Set) Inc(name string, reason zinniasill.Reason) {
	full := prefix + strings.TrimSuffix(name, "_total") + "_total"
	if reason != "" {
		full = fmt.Sprintf("%s{reason=%q}", full, string(reason))
	}
	s.set.GetOrCreateCounter(full).Inc()
}

// Observe implements zinniasill.Histograms. Times are served in seconds.
func (s *Set) Observe(name string, reason zinniasill.Reason, took time.Duration) {
	full := fmt.Sprintf("%s%s_seconds{reason=%q}", prefix, name, string(reason))
	s.set.GetOrCreateHistogram(full).Update(took.Seconds())
}

// Gauge serves the value that read returns. It must be safe for concurrent use.
func (s *Set) Gauge(name string, read func() float64) {
	s.set.NewGauge(prefix+name, read)
}

// Health tells whether a process should get work. A nil error means that it is
// ready.
type Health func() error

// Handler serves /metrics, /livez, /readyz and /healthz.
func Handler(set *Set, ready Health) http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	router.HandlerFunc(http.MethodGet, "/livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "live")
	})
	router.HandlerFunc(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	router.HandlerFunc(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "live")
		if err := ready(); err != nil {
			_, _ = fmt.Fprintln(w, "not ready: "+err.Error())
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	return router
}
