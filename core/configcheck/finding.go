package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity is how serious a finding is.
type Severity string

// Values of Severity.
const (
	// Error means that the configuration is refused.
	Error Severity = "error"
	// Warning means that the configuration is accepted but serves some jobs badly or not at
	// all.
	Warning Severity = "warning"
	// Note means that a part of the configuration has no effect.
	Note Severity = "note"
)

// Code identifies a kind of finding. Codes are stable, so that scripts can depend on them.
type Code string

// Finding is one problem of a configuration file.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	File     string   `json:"file"`
	// Line is the line of the field, or of the object that lacks it. It is 0 if unknown.
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
	// Accepted describes the values that the field accepts.
	Accepted string `json:"accepted"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s: %s (accepted: %s) [%s]",
		f.File, f.Line, f.Severity, f.Field, f.Problem, f.Accepted, f.Code)
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	count := 0
	for _, finding := range findings {
		if finding.Severity == severity {
			count++
		}
	}
	return count
}

// sortFindings sorts findings by file and line, and by code within a line.
func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), strings.Compare(string(a.Code), string(b.Code)))
	})
}
