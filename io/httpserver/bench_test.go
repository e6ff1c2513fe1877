package httpserver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"zinniasill/core/budget"
	"zinniasill/io/daemon"
	"zinniasill/io/httpserver"
)

// BenchmarkSmallRequest measures what the budget adds to a request of 3 KiB, compared with
// reading its body without one.
func BenchmarkSmallRequest(b *testing.B) {
	body := strings.Repeat("x", 3<<10)
	with := httpserver.New(httpserver.Config{
		Class: budget.Callers, Budget: budget.New(budget.Config{Limit: 64 << 20}), Clock: daemon.SystemClock{},
		Counters: &counters{count: map[string]int{}},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, _ := httpserver.ReadBody(w, r, maxBody)
			_ = httpserver.Reserve(w, r, httpserver.JSONSize(data, 384))
			httpserver.Keep(r, int64(len(data)))
		}),
	}).Handler
	without := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	})
	for name, handler := range map[string]http.Handler{"with": with, "without": without} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
			}
		})
	}
}
