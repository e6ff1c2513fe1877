// Package metrics collects the metrics of a process and serves them, and its health, over
// HTTP.
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

// prefix is prepended to the names of all metrics of a Set.
const prefix = "zinniasill_"

// Set is a set of counters, histograms and gauges. Use New to create one.
type Set struct {
	set *metrics.Set
}

// New returns an empty set.
func New() *Set {
	return &Set{set: metrics.NewSet()}
}

// Inc implements zinniasill.Counters. The metric name ends in _total, and has the label
// reason unless reason is empty.
func (s *Set) Inc(name string, reason zinniasill.Reason) {
	fullName := prefix + strings.TrimSuffix(name, "_total") + "_total"
	if reason != "" {
		fullName = fmt.Sprintf("%s{reason=%q}", fullName, string(reason))
	}
	s.set.GetOrCreateCounter(fullName).Inc()
}

// Observe implements zinniasill.Histograms. Durations are exported in seconds.
func (s *Set) Observe(name string, reason zinniasill.Reason, duration time.Duration) {
	fullName := fmt.Sprintf("%s%s_seconds{reason=%q}", prefix, name, string(reason))
	s.set.GetOrCreateHistogram(fullName).Update(duration.Seconds())
}

// Gauge registers a gauge whose value is read on each scrape. The read function must be
// safe for concurrent use.
func (s *Set) Gauge(name string, read func() float64) {
	s.set.NewGauge(prefix+name, read)
}

// Health returns nil if the process is ready for work, and otherwise why it is not.
type Health func() error

// Handler returns a handler for /metrics, /livez, /readyz and /healthz. Only /readyz
// answers with status 503 when the process is not ready; /healthz reports readiness in its
// body.
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
