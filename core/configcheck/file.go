package configcheck

import (
	"fmt"
	"strings"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/core/message"
	"zinniasill/core/route"
)

// Kind is the kind of a configuration file.
type Kind string

// Values of Kind.
const (
	KindProfile Kind = "profile"
	KindTeam    Kind = "team"
	// KindPlatform is the platform's whole configuration.
	KindPlatform Kind = "platform"
)

// BodyField is the field in findings about a file as a whole.
const BodyField = "body"

// Codes of findings. The code of an invalid value is the kind of the file, a hyphen and the
// name of the field, such as "profile-max-tasks".
const (
	CodeSyntax        Code = "syntax"
	CodeUnknownField  Code = "unknown-field"
	CodeDuplicateName Code = "duplicate-name"
	CodeNoSlack       Code = "no-slack"
	CodeQuotaBelowJob Code = "quota-below-job"
	// Codes of findings about queues.
	CodeQueueShadowed Code = "queue-shadowed"
	CodeAnswerLimit   Code = "answer-below-objective"
	CodeStretch       Code = "stretch-below-one"
	CodePriority      Code = "priority-out-of-range"
	CodeAttempts      Code = "attempts-below-one"
	CodeAdvice        Code = "advice-unsupported"
	CodeNoQueues      Code = "no-queues"
	CodeBodyLimit     Code = "body-limit-below-job"
	CodeUnusedService Code = "service-unused"
)

// File is a decoded configuration file.
type File struct {
	Name string
	Kind Kind
	// Lines maps the paths of the fields to their lines, as YAMLLines and JSONLines return them.
	Lines map[string]int
	// Invalid are the validation errors of the file. If there are none, the object of the
	// file's kind is set.
	Invalid control.FindingErrors
	Profile catalog.Profile
	Team    catalog.TeamEntry
	// Version, Queues and Services are those of a platform configuration, in the order of its lists
	// "routes" and "services".
	Version  zinniasill.DocumentVersion
	Queues   []route.Queue
	Services []zinniasill.Kind
	// BodyLimit is the limit of a platform configuration for the body of a request, in bytes,
	// 0 if it has none. LargestJob is the size of the largest body of a job that entries accept.
	BodyLimit, LargestJob int64
}

// accepted describes the values of each field by the kind of the file.
var accepted = map[Kind]map[string]string{
	KindProfile: {
		"name":              acceptedName,
		"kind":              acceptedName,
		"answer-within":     fmt.Sprintf("a duration above 0s and at most %s", control.MaxAnswerWithin),
		"expected-run-time": "a duration above 0s and at most answer-within",
		"repeat":            fmt.Sprintf("%s or %s", catalog.RepeatNever, catalog.RepeatResubmit),
		"domains":           "a list of different names, none for all failure domains",
		"max-tasks":         fmt.Sprintf("1 to %d", message.MaxTasks),
	},
	KindTeam: {
		"name":  acceptedName,
		"quota": "0 for no limit, or the highest number of tasks in flight",
	},
	KindPlatform: acceptedPlatform,
}

// acceptedBody describes each kind of file as a whole.
var acceptedBody = map[Kind]string{
	KindProfile:  "one YAML or JSON object",
	KindTeam:     "one YAML or JSON object",
	KindPlatform: "one JSON object",
}

var acceptedName = fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.', the first one a letter or digit", control.MaxNameLength)

// Check returns all findings of the files, sorted by file and line.
func Check(files []File) []Finding {
	var found []Finding
	for _, file := range files {
		found = append(found, file.errors()...)
		found = append(found, file.checkQueues()...)
	}
	found = append(found, duplicateNames(files)...)
	found = append(found, checkSlack(files)...)
	found = append(found, checkQuotas(files)...)
	sortFindings(found)
	return found
}

// errors returns the validation errors of a file.
func (f File) errors() []Finding {
	found := make([]Finding, 0, len(f.Invalid))
	for _, invalid := range f.Invalid {
		finding := f.finding(Error, CodeUnknownField, invalid.Field, invalid.Problem)
		base := f.baseField(invalid.Field)
		switch _, known := accepted[f.Kind][base]; {
		case f.Kind == KindPlatform && base == "host" && strings.Contains(invalid.Field, "]"):
			// A host of the wrong type is reported without the position of its queue.
			finding.Code = CodeQueueShadowed
		case known:
			finding.Code = Code(string(f.Kind) + "-" + strings.ReplaceAll(base, "_", "-"))
		case invalid.Field == BodyField:
			finding.Code = CodeSyntax
			finding.Accepted = acceptedBody[f.Kind]
		}
		found = append(found, finding)
	}
	return found
}

// finding returns a finding about a field of the file.
func (f File) finding(severity Severity, code Code, field, problem string) Finding {
	values, ok := accepted[f.Kind][f.baseField(field)]
	if !ok {
		values = fieldNames(f.Kind)
	}
	return Finding{
		Severity: severity, Code: code, File: f.Name, Line: f.line(field), Field: field,
		Problem: problem, Accepted: values,
	}
}

// baseField returns the name under which the field at a path is listed in accepted: the last
// name in a platform configuration, else the first one.
func (f File) baseField(path string) string {
	if f.Kind == KindPlatform {
		path = path[strings.LastIndexByte(path, '.')+1:]
	}
	base, _, _ := strings.Cut(path, "[")
	return base
}

// line returns the line of a field. If the file lacks the field, it returns the line of the
// innermost object around it.
func (f File) line(field string) int {
	for {
		if line, ok := f.Lines[field]; ok {
			return line
		}
		end := strings.LastIndexByte(field, '.')
		if end < 0 {
			return 1
		}
		field = field[:end]
	}
}

// duplicateNames warns of objects that a later file replaces.
func duplicateNames(files []File) []Finding {
	type object struct {
		kind Kind
		name string
	}
	var found []Finding
	first := map[object]string{}
	for _, file := range files {
		if len(file.Invalid) > 0 || file.Kind == KindPlatform {
			continue
		}
		at := object{kind: file.Kind, name: string(file.Profile.Name)}
		if file.Kind == KindTeam {
			at.name = string(file.Team.Name)
		}
		if other, ok := first[at]; ok {
			found = append(found, file.finding(Warning, CodeDuplicateName, "name",
				fmt.Sprintf("%s %q is also defined in %s, and the one sent last replaces the other", at.kind, at.name, other)))
			continue
		}
		first[at] = file.Name
	}
	return found
}

// checkSlack warns of profiles whose deadline leaves no time besides the expected run time.
func checkSlack(files []File) []Finding {
	var found []Finding
	for _, file := range files {
		if file.Kind != KindProfile || len(file.Invalid) > 0 || file.Profile.ExpectedRunTime < file.Profile.AnswerWithin {
			continue
		}
		found = append(found, file.finding(Warning, CodeNoSlack, "answer-within",
			fmt.Sprintf("%s leaves no time besides expected-run-time %s", file.Profile.AnswerWithin, file.Profile.ExpectedRunTime)))
	}
	return found
}

// checkQuotas warns of quotas below the largest job of a profile: the team's jobs of that
// size are refused even if it has no other tasks in flight.
func checkQuotas(files []File) []Finding {
	var largest int
	var profile zinniasill.ProfileName
	for _, file := range files {
		if file.Kind == KindProfile && len(file.Invalid) == 0 && file.Profile.MaxTasks > largest {
			largest = file.Profile.MaxTasks
			profile = file.Profile.Name
		}
	}
	var found []Finding
	for _, file := range files {
		quota := file.Team.Quota
		if file.Kind != KindTeam || len(file.Invalid) > 0 || quota == 0 || quota >= largest {
			continue
		}
		found = append(found, file.finding(Warning, CodeQuotaBelowJob, "quota",
			fmt.Sprintf("%d is below the %d tasks of the largest job of profile %q", quota, largest, profile)))
	}
	return found
}
