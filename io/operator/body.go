package operator

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/configcheck"
	"zinniasill/core/control"
)

// bodyField is the field name in findings about the body as a whole.
const bodyField = configcheck.BodyField

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.New(`must be a duration such as "250ms"`)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return eris.Errorf(`%.80q must be a duration such as "250ms"`, text)
	}
	*d = Duration(value)
	return nil
}

// Edit holds the fields that are common to the request bodies of all changes.
type Edit struct {
	// BaseRevision is the revision of the object that the change is based on, 0 to create
	// it. The change is refused if the object has another revision.
	BaseRevision zinniasill.Revision `json:"base-revision"`
	// RequestID identifies the change, so that a resent request is applied only once.
	RequestID control.RequestID `json:"request-id"`
}

// decodeEdit decodes a body that may have the fields of Edit and the given ones. The base
// revision is required even if it is 0, which creates the object.
func decodeEdit(body []byte, fields map[string]any) (Edit, control.FindingErrors) {
	var edit Edit
	var base *zinniasill.Revision
	findings := decode(body, fields, map[string]any{
		"base-revision": &base,
		"request-id":    &edit.RequestID,
	})
	if base != nil {
		edit.BaseRevision = *base
		return edit, findings
	}
	missing := control.Finding{Field: "base-revision", Problem: "is required, 0 for a new object"}
	return edit, mergeFindings(findings, control.FindingErrors{missing})
}

// Profile is a profile as it is written in request and response bodies and in files.
type Profile struct {
	Name            zinniasill.ProfileName `json:"name"`
	Kind            zinniasill.Kind        `json:"kind"`
	AnswerWithin    Duration               `json:"answer-within"`
	ExpectedRunTime Duration               `json:"expected-run-time"`
	Repeat          catalog.RepeatPolicy   `json:"repeat"`
	Domains         []zinniasill.Domain    `json:"domains"`
	MaxTasks        int                    `json:"max-tasks"`
}

// fields returns the decoding target of each field by its JSON name.
func (p *Profile) fields() map[string]any {
	return map[string]any{
		"name":              &p.Name,
		"kind":              &p.Kind,
		"answer-within":     &p.AnswerWithin,
		"expected-run-time": &p.ExpectedRunTime,
		"repeat":            &p.Repeat,
		"domains":           &p.Domains,
		"max-tasks":         &p.MaxTasks,
	}
}

func (p *Profile) catalog() catalog.Profile {
	return catalog.Profile{
		Name:            p.Name,
		Kind:            p.Kind,
		AnswerWithin:    time.Duration(p.AnswerWithin),
		ExpectedRunTime: time.Duration(p.ExpectedRunTime),
		Repeat:          p.Repeat,
		Domains:         p.Domains,
		MaxTasks:        p.MaxTasks,
	}
}

func newProfile(p catalog.Profile) Profile {
	return Profile{
		Name:            p.Name,
		Kind:            p.Kind,
		AnswerWithin:    Duration(p.AnswerWithin),
		ExpectedRunTime: Duration(p.ExpectedRunTime),
		Repeat:          p.Repeat,
		Domains:         slices.Concat([]zinniasill.Domain{}, p.Domains),
		MaxTasks:        p.MaxTasks,
	}
}

// decode decodes a JSON object into the targets, which are keyed by field name. It returns
// a finding for each field that is unknown or has the wrong type.
func decode(body []byte, targets ...map[string]any) control.FindingErrors {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return control.FindingErrors{{Field: bodyField, Problem: "must be a JSON object: " + err.Error()}}
	}
	return decodeFields(raw, targets...)
}

// decodeFields is decode for an object that is already split into its fields. The findings
// are sorted by field name.
func decodeFields(raw map[string]json.RawMessage, targets ...map[string]any) control.FindingErrors {
	var findings control.FindingErrors
	names := make([]string, 0, len(raw))
	for name := range raw {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		target := findTarget(name, targets)
		if target == nil {
			findings = append(findings, control.Finding{Field: name, Problem: "is not a known field"})
			continue
		}
		if err := json.Unmarshal(raw[name], target); err != nil {
			findings = append(findings, control.Finding{Field: name, Problem: describeDecodeError(err)})
		}
	}
	return findings
}

// findTarget returns the target of a field, or nil if the field is unknown.
func findTarget(name string, targets []map[string]any) any {
	for _, fields := range targets {
		if target, ok := fields[name]; ok {
			return target
		}
	}
	return nil
}

// describeDecodeError returns the text of a finding for a value that could not be decoded.
func describeDecodeError(err error) string {
	var mismatch *json.UnmarshalTypeError
	if eris.As(err, &mismatch) {
		return "a JSON " + mismatch.Value + " does not fit this field"
	}
	return err.Error()
}

// Member describes a control replica.
type Member struct {
	Name string `json:"name"`
	// Instance is the replica's instance in hexadecimal, which identifies the incarnation of
	// its data folder.
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
	Leader   bool   `json:"leader"`
}

// Members is the response body of GET /v1/members.
type Members struct {
	Members []Member `json:"members"`
}

// Action is the kind of a MemberChange.
type Action string

// Values of Action.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
)

// MemberChange is the request to add or remove a control replica. It is idempotent, so it
// needs no request id.
type MemberChange struct {
	Action Action `json:"action"`
	Name   string `json:"name"`
	// Instance must be well formed but is not used: a change applies to all instances of a
	// name, and the instance of a replica that has not started is unknown.
	Instance string `json:"instance,omitempty"`
	Address  string `json:"address"`
}

// parseMemberChange decodes and validates a member change.
func parseMemberChange(body []byte) (MemberChange, control.FindingErrors) {
	var change MemberChange
	findings := decode(body, map[string]any{
		"action":   &change.Action,
		"name":     &change.Name,
		"instance": &change.Instance,
		"address":  &change.Address,
	})
	var checked control.FindingErrors
	if change.Action != ActionAdd && change.Action != ActionRemove {
		checked = append(checked, control.Finding{Field: "action", Problem: "must be add or remove"})
	}
	if !control.ValidName(change.Name) {
		checked = append(checked, control.Finding{Field: "name", Problem: "is missing or not well formed"})
	}
	if _, err := strconv.ParseUint(change.Instance, 16, 64); err != nil && change.Instance != "" {
		checked = append(checked, control.Finding{Field: "instance", Problem: "must be a hexadecimal number of 64 bits"})
	}
	if change.Action == ActionAdd && change.Address == "" {
		checked = append(checked, control.Finding{Field: "address", Problem: "is required to add a replica"})
	}
	return change, mergeFindings(findings, checked)
}
