package operator

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
)

// bodyField is the field of findings that concern the body as a whole.
const bodyField = "body"

// Duration is written as a string such as "250ms".
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

// Edit is the part of a body that every change has.
type Edit struct {
	BaseRevision zinniasill.Revision `json:"base-revision"`
	RequestID    control.RequestID   `json:"request-id"`
}

// decodeEdit reads a body of which both parts of Edit and the given fields are
// known. The base revision is required even where it is 0, which creates.
func decodeEdit(body []byte, fields map[string]any) (Edit, control.FindingErrors) {
	var edit Edit
	var base *zinniasill.Revision
	found := decode(body, fields, map[string]any{
		"base-revision": &base,
		"request-id":    &edit.RequestID,
	})
	if base != nil {
		edit.BaseRevision = *base
		return edit, found
	}
	missing := control.Finding{Field: "base-revision", Problem: "is required, 0 for a new object"}
	return edit, merge(found, control.FindingErrors{missing})
}

// Profile is the form of a profile in bodies and files.
type Profile struct {
	Name            zinniasill.ProfileName `json:"name"`
	Kind            zinniasill.Kind        `json:"kind"`
	AnswerWithin    Duration               `json:"answer-within"`
	ExpectedRunTime Duration               `json:"expected-run-time"`
	Repeat          catalog.RepeatPolicy         `json:"repeat"`
	Domains         []zinniasill.Domain    `json:"domains"`
	MaxTasks        int                    `json:"max-tasks"`
}

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

// ParseProfile reads a profile file in YAML or JSON and checks it. The error is a
// control.FindingErrors with all faults.
func ParseProfile(data []byte) (catalog.Profile, error) {
	var values map[string]any
	if err := yaml.Unmarshal(data, &values); err != nil {
		return catalog.Profile{}, control.FindingErrors{{Field: bodyField, Problem: err.Error()}}
	}
	raw := map[string]json.RawMessage{}
	for field, value := range values {
		encoded, err := json.Marshal(value)
		if err != nil {
			return catalog.Profile{}, control.FindingErrors{{Field: field, Problem: err.Error()}}
		}
		raw[field] = encoded
	}
	var profile Profile
	found := decodeFields(raw, profile.fields())
	found = merge(found, control.ValidateProfile(profile.catalog()))
	if len(found) > 0 {
		return catalog.Profile{}, found
	}
	return profile.catalog(), nil
}

// decode reads a JSON object into the targets by field name and returns a finding
// for each field that is unknown or has the wrong type.
func decode(body []byte, targets ...map[string]any) control.FindingErrors {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return control.FindingErrors{{Field: bodyField, Problem: "must be a JSON object: " + err.Error()}}
	}
	return decodeFields(raw, targets...)
}

func decodeFields(raw map[string]json.RawMessage, targets ...map[string]any) control.FindingErrors {
	var found control.FindingErrors
	names := make([]string, 0, len(raw))
	for name := range raw {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		target := lookup(name, targets)
		if target == nil {
			found = append(found, control.Finding{Field: name, Problem: "is not a known field"})
			continue
		}
		if err := json.Unmarshal(raw[name], target); err != nil {
			found = append(found, control.Finding{Field: name, Problem: problem(err)})
		}
	}
	return found
}

func lookup(name string, targets []map[string]any) any {
	for _, fields := range targets {
		if target, ok := fields[name]; ok {
			return target
		}
	}
	return nil
}

func problem(err error) string {
	var mismatch *json.UnmarshalTypeError
	if eris.As(err, &mismatch) {
		return "a JSON " + mismatch.Value + " does not fit this field"
	}
	return err.Error()
}

// Member is one control replica.
type Member struct {
	Name string `json:"name"`
	// Instance identifies the disk of the replica, in hexadecimal.
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
	Leader   bool   `json:"leader"`
}

// Members is the answer to GET /v1/members.
type Members struct {
	Members []Member `json:"members"`
}

// Action says what a MemberChange does.
type Action string

// Values of Action.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
)

// MemberChange adds or removes one control replica. Applying it twice has no
// effect, so it needs no request id.
type MemberChange struct {
	Action Action `json:"action"`
	Name   string `json:"name"`
	// Instance is checked for its form and not used: a change concerns all instances
	// of a name, and an operator cannot know that of a replica to come.
	Instance string `json:"instance,omitempty"`
	Address  string `json:"address"`
}

func parseMemberChange(body []byte) (MemberChange, control.FindingErrors) {
	var change MemberChange
	found := decode(body, map[string]any{
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
	return change, merge(found, checked)
}
