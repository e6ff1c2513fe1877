// Package route selects the queue for a request by its host and path.
//
//	table, err := route.New(7, kinds, queues)
//	queue, rest, ok := table.Find("cores.example", "/pull/5c0e")
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"zinniasill"
)

// Queue defines the service objectives for one class of requests, and the kind of
// endpoint that serves them.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Kind is the kind of the endpoints that run the queue's tasks.
	Kind zinniasill.Kind
	// AnswerWithin is the time limit of a request.
	AnswerWithin time.Duration
	// Objective and Stretch define the target response time of a job: Stretch times the
	// duration of its work, plus Objective.
	Objective time.Duration
	Stretch   float64
	// Priority 0 is the highest.
	Priority int
	// Attempts is the number of failures of one task after which its job fails.
	Attempts int
	// Advised is set if an external service chooses the endpoints.
	Advised bool
}

// Field is the part of a table that a finding concerns.
type Field string

// Values of Field.
const (
	// FieldVersion is the version of the table; the finding concerns no queue.
	FieldVersion      Field = "version"
	FieldKind         Field = "kind"
	FieldAnswerWithin Field = "answer-within"
	FieldObjective    Field = "objective"
	FieldStretch      Field = "stretch"
	FieldPrefix       Field = "prefix"
	// FieldAddress is the combination of host and prefix.
	FieldAddress Field = "address"
)

// Finding describes one error in a table and the queue that it concerns.
type Finding struct {
	Queue string
	// Index is the position of the queue in the list of queues.
	Index   int
	Field   Field
	Problem string
}

// InvalidError lists all errors in a table.
type InvalidError struct {
	Findings []Finding
}

// maxErrorFindings is the number of findings in the text of an InvalidError.
const maxErrorFindings = 100

// Error implements error. It contains the first findings and the number of the others.
func (e *InvalidError) Error() string {
	listed := e.Findings[:min(len(e.Findings), maxErrorFindings)]
	parts := make([]string, 0, len(listed)+1)
	for _, finding := range listed {
		if finding.Field == FieldVersion {
			parts = append(parts, finding.Problem)
			continue
		}
		parts = append(parts, fmt.Sprintf("queue %.80q: %s", finding.Queue, finding.Problem))
	}
	if others := len(e.Findings) - len(listed); others > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", others))
	}
	return strings.Join(parts, "; ")
}

// Table contains the queues of one version of the configuration. Use New.
type Table struct {
	version zinniasill.DocumentVersion
	hosts   map[string][]Queue // longest prefix first
}

// address is what selects a queue.
type address struct{ host, prefix string }

// New returns a table, or an *InvalidError that lists all errors: queues with the same
// host and prefix, with a kind that is not configured, with an invalid prefix, or
// without a positive time limit.
func New(version zinniasill.DocumentVersion, kinds []zinniasill.Kind, queues []Queue) (*Table, error) {
	table := &Table{version: version, hosts: map[string][]Queue{}}
	known := make(map[zinniasill.Kind]bool, len(kinds))
	for _, kind := range kinds {
		known[kind] = true
	}
	first := make(map[address]string, len(queues))
	var found []Finding
	for i, queue := range queues {
		add := func(field Field, format string, args ...any) {
			found = append(found, Finding{Queue: queue.Name, Index: i, Field: field, Problem: fmt.Sprintf(format, args...)})
		}
		if !known[queue.Kind] {
			add(FieldKind, "no endpoints of kind %.80q are configured", queue.Kind)
		}
		if queue.AnswerWithin <= 0 {
			add(FieldAnswerWithin, "its time limit %s must be above 0s", queue.AnswerWithin)
		}
		if queue.Prefix == "" || queue.Prefix[0] != '/' {
			add(FieldPrefix, "its path prefix %.80q must begin with a slash", queue.Prefix)
		}
		host := canonicalHost(queue.Host)
		at := address{host: host, prefix: queue.Prefix}
		if other, ok := first[at]; ok {
			add(FieldAddress, "it shares host %.80q and path prefix %.80q with queue %.80q", host, queue.Prefix, other)
		} else {
			first[at] = queue.Name
		}
		table.hosts[host] = append(table.hosts[host], queue)
	}
	if len(found) > 0 {
		return nil, &InvalidError{Findings: found}
	}
	for _, queues := range table.hosts {
		slices.SortFunc(queues, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table, nil
}

// Version returns the version of the configuration, 0 for a nil table.
func (t *Table) Version() zinniasill.DocumentVersion {
	if t == nil {
		return 0
	}
	return t.version
}

// Find returns the queue with the longest prefix that matches the path, and the rest of
// the path.
func (t *Table) Find(host, path string) (queue Queue, rest string, ok bool) {
	for _, queue := range t.hosts[canonicalHost(host)] {
		if rest, ok := strings.CutPrefix(path, queue.Prefix); ok {
			return queue, rest, true
		}
	}
	return Queue{}, "", false
}

// canonicalHost returns the host in lower case and without its port.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}
