package control

import (
	"fmt"
	"strings"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 64

// MaxAnswerWithin is the maximum AnswerWithin of a profile. The system is for short
// tasks, and the records of a job are retained for 10 min.
const MaxAnswerWithin = 10 * time.Minute

// MaxRequestIDLength is the maximum length of a request id or an address in bytes.
const MaxRequestIDLength = 128

// MaxKinds is the maximum number of kinds of one node.
const MaxKinds = 64

// Finding is one validation error and the field that it concerns.
type Finding struct {
	Field   string `cbor:"1,keyasint" json:"field"`
	Problem string `cbor:"2,keyasint" json:"problem"`
}

// FindingErrors are all validation errors of a value.
type FindingErrors []Finding

// Error returns all findings, separated by semicolons.
func (f FindingErrors) Error() string {
	parts := make([]string, len(f))
	for i, finding := range f {
		parts[i] = finding.Field + ": " + finding.Problem
	}
	return strings.Join(parts, "; ")
}

func (f *FindingErrors) add(field, format string, args ...any) {
	*f = append(*f, Finding{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// ValidName reports whether a name consists of 1 to MaxNameLength letters, digits, '-',
// '_' or '.', and begins with a letter or digit.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for i := range len(name) {
		c := name[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case i > 0 && (c == '-' || c == '_' || c == '.'):
		default:
			return false
		}
	}
	return true
}

func (f *FindingErrors) checkName(field, name string) {
	switch {
	case name == "":
		f.add(field, "is required")
	case !ValidName(name):
		f.add(field, "%.80q must have at most %d letters, digits, '-', '_' or '.' and begin with a letter or digit", name, MaxNameLength)
	}
}

// ValidateProfile returns all validation errors of a profile.
func ValidateProfile(profile catalog.Profile) FindingErrors {
	var found FindingErrors
	found.checkName("name", string(profile.Name))
	found.checkName("kind", string(profile.Kind))
	found.checkTimes(profile)
	switch profile.Repeat {
	case catalog.RepeatNever, catalog.RepeatResubmit:
	default:
		found.add("repeat", "%.80q must be %s or %s", profile.Repeat, catalog.RepeatNever, catalog.RepeatResubmit)
	}
	seen := map[zinniasill.Domain]bool{}
	for i, domain := range profile.Domains {
		field := fmt.Sprintf("domains[%d]", i)
		found.checkName(field, string(domain))
		if seen[domain] {
			found.add(field, "%.80q is listed twice", domain)
		}
		seen[domain] = true
	}
	if profile.MaxTasks < 1 || profile.MaxTasks > message.MaxTasks {
		found.add("max-tasks", "%d must be from 1 to %d", profile.MaxTasks, message.MaxTasks)
	}
	return found
}

// ValidateTeam returns all validation errors of a team and its quota.
func ValidateTeam(name zinniasill.Team, quota int) FindingErrors {
	var found FindingErrors
	found.checkName("name", string(name))
	if quota < 0 {
		found.add("quota", "%d must not be negative", quota)
	}
	return found
}

func (f *FindingErrors) checkTimes(profile catalog.Profile) {
	if profile.AnswerWithin <= 0 || profile.AnswerWithin > MaxAnswerWithin {
		f.add("answer-within", "%s must be more than 0s and at most %s", profile.AnswerWithin, MaxAnswerWithin)
	}
	if profile.ExpectedRunTime <= 0 {
		f.add("expected-run-time", "%s must be more than 0s", profile.ExpectedRunTime)
	}
	if profile.AnswerWithin > 0 && profile.ExpectedRunTime > profile.AnswerWithin {
		f.add("expected-run-time", "%s is longer than answer-within %s", profile.ExpectedRunTime, profile.AnswerWithin)
	}
}

// Validate returns all validation errors of a command. Apply also refuses a command
// that has any, so a check before proposing only avoids a useless log entry.
func (c Command) Validate() FindingErrors {
	var found FindingErrors
	if c.fromOperator() {
		found.checkRequestID(c.Request)
	}
	switch {
	case c.Profile != nil:
		found = append(found, ValidateProfile(c.Profile.Profile)...)
	case c.Delete != nil:
		found.checkName("name", string(c.Delete.Name))
	case c.Domain != nil:
		found.checkName("name", string(c.Domain.Name))
		if c.Domain.State != catalog.DomainInService && c.Domain.State != catalog.DomainOutOfService {
			found.add("state", "%.80q must be %s or %s", c.Domain.State, catalog.DomainInService, catalog.DomainOutOfService)
		}
	case c.Endpoint != nil:
		found.checkName("name", string(c.Endpoint.Name))
		found.checkServeState(c.Endpoint.State)
	case c.Team != nil:
		found = append(found, ValidateTeam(c.Team.Name, c.Team.Quota)...)
	case c.Document != nil:
		found.checkDocument(*c.Document)
	case c.Register != nil:
		found.checkNode(c.Register.Entry)
	}
	return found
}

func (f *FindingErrors) checkDocument(put PutDocument) {
	if put.Version <= 0 {
		f.add("version", "%d must be above 0", put.Version)
	}
	if len(put.Content) == 0 || len(put.Content) > MaxDocumentSize {
		f.add("content", "must have 1 to %d bytes", MaxDocumentSize)
	}
}

func (f *FindingErrors) checkRequestID(id RequestID) {
	if id == "" || len(id) > MaxRequestIDLength {
		f.add("request-id", "must have 1 to %d bytes", MaxRequestIDLength)
	}
}

func (f *FindingErrors) checkServeState(state catalog.ServeState) {
	if state != catalog.Serving && state != catalog.Leaving {
		f.add("state", "%.80q must be %s or %s", state, catalog.Serving, catalog.Leaving)
	}
}

func (f *FindingErrors) checkNode(entry catalog.NodeEntry) {
	f.checkName("id", string(entry.Node.ID))
	if entry.Node.Incarnation == 0 {
		f.add("incarnation", "must not be 0")
	}
	if entry.Role != catalog.RoleEntry && entry.Role != catalog.RoleAgent {
		f.add("role", "%.80q must be %s or %s", entry.Role, catalog.RoleEntry, catalog.RoleAgent)
	}
	f.checkName("domain", string(entry.Domain))
	if entry.Address == "" || len(entry.Address) > MaxRequestIDLength {
		f.add("address", "must have 1 to %d bytes", MaxRequestIDLength)
	}
	if entry.Slots < 0 {
		f.add("slots", "%d must not be negative", entry.Slots)
	}
	if len(entry.Kinds) > MaxKinds {
		f.add("kinds", "%d kinds, limit %d", len(entry.Kinds), MaxKinds)
	}
	for i, kind := range entry.Kinds {
		f.checkName(fmt.Sprintf("kinds[%d]", i), string(kind))
	}
	f.checkServeState(entry.State)
}
