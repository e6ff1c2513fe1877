package endpoint_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRun measures one run on a reused connection. The endpoint runs in the same
// process, so its cost is included.
func BenchmarkRun(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	defer server.Close()
	f := newFixture()
	f.announce(b, announcement(server.URL))
	b.ReportAllocs()
	for b.Loop() {
		if outcome := f.run("client"); !outcome.OK {
			b.Fatal(outcome)
		}
	}
}
