package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/configcheck"
	"zinniasill/core/control"
)

// ParseProfile decodes and validates a profile file in YAML or JSON. The error is a
// control.FindingErrors with all findings.
func ParseProfile(data []byte) (catalog.Profile, error) {
	profile, findings := decodeProfile(data)
	findings = mergeFindings(findings, control.ValidateProfile(profile))
	if len(findings) > 0 {
		return catalog.Profile{}, findings
	}
	return profile, nil
}

// DecodeProfile decodes a profile file without validating its values. The error is a
// control.FindingErrors with all fields that cannot be decoded.
func DecodeProfile(data []byte) (catalog.Profile, error) {
	profile, findings := decodeProfile(data)
	if len(findings) > 0 {
		return catalog.Profile{}, findings
	}
	return profile, nil
}

// ReadFile decodes and validates a configuration file for configcheck.Check. If kind is
// empty, a file with a quota is a team file and any other one a profile file.
func ReadFile(name string, kind configcheck.Kind, data []byte) configcheck.File {
	lines := configcheck.YAMLLines(data)
	if kind == "" {
		kind = configcheck.KindProfile
		if _, ok := lines["quota"]; ok {
			kind = configcheck.KindTeam
		}
	}
	file := configcheck.File{Name: name, Kind: kind, Lines: lines}
	var findings, invalid control.FindingErrors
	if kind == configcheck.KindTeam {
		file.Team, findings = decodeTeam(data)
		invalid = control.ValidateTeam(file.Team.Name, file.Team.Quota)
	} else {
		file.Profile, findings = decodeProfile(data)
		invalid = control.ValidateProfile(file.Profile)
	}
	file.Invalid = mergeFindings(findings, invalid)
	for _, finding := range file.Invalid {
		var line int
		if _, err := fmt.Sscanf(finding.Problem, "line %d:", &line); err == nil && finding.Field == bodyField {
			file.Lines[bodyField] = line
		}
	}
	return file
}

func decodeProfile(data []byte) (catalog.Profile, control.FindingErrors) {
	var profile Profile
	findings := decodeYAML(data, profile.fields())
	return profile.catalog(), findings
}

func decodeTeam(data []byte) (catalog.TeamEntry, control.FindingErrors) {
	var name zinniasill.Team
	var quota *int
	findings := decodeYAML(data, map[string]any{"name": &name, "quota": &quota})
	team := catalog.TeamEntry{Name: name}
	findings = requireQuota(findings, quota, &team.Quota)
	return team, findings
}

// decodeYAML is decode for a file with one object in YAML or JSON.
func decodeYAML(data []byte, fields map[string]any) control.FindingErrors {
	var values map[string]any
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&values); err != nil && !errors.Is(err, io.EOF) {
		return control.FindingErrors{{Field: bodyField, Problem: describeYAMLError(err)}}
	}
	// Only the first of several documents would be sent.
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return control.FindingErrors{{Field: bodyField, Problem: "has more than one document"}}
	}
	var findings control.FindingErrors
	raw := map[string]json.RawMessage{}
	for _, field := range slices.Sorted(maps.Keys(values)) {
		encoded, err := json.Marshal(values[field])
		if err != nil {
			findings = append(findings, control.Finding{Field: field, Problem: err.Error()})
			continue
		}
		raw[field] = encoded
	}
	return append(findings, decodeFields(raw, fields)...)
}

// describeYAMLError returns the text of an error of the YAML decoder on one line.
func describeYAMLError(err error) string {
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) {
		return strings.Join(mismatch.Errors, "; ")
	}
	return strings.TrimPrefix(err.Error(), "yaml: ")
}
