package localcluster

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
)

// Gauge returns the value of a metric of a process by its full name, labels included.
// It returns false if the process does not answer or does not export the metric.
func Gauge(ctx context.Context, p *Process, name string) (float64, bool) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Metrics+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			return value, err == nil
		}
	}
	return 0, false
}
