package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
)

// resource is a kind of object that operators read and change. Its remove function is nil
// if its objects cannot be removed.
type resource struct {
	kind   string
	get    func(current *catalog.Catalog, name string) (any, bool)
	put    func(name string, body []byte) (control.Command, control.FindingErrors)
	remove func(name string, body []byte) (control.Command, control.FindingErrors)
}

// resources maps the path pattern of each resource to its functions.
var resources = map[string]resource{
	"/v1/profiles/:name":  {kind: "profile", get: getProfile, put: putProfile, remove: deleteProfile},
	"/v1/domains/:name":   {kind: "domain", get: getDomain, put: putDomain},
	"/v1/endpoints/:name": {kind: "endpoint", get: getEndpoint, put: putEndpoint},
	"/v1/teams/:name":     {kind: "team", get: getTeam, put: putTeam},
}

// Accepted is the response body of an accepted change. Revision is the new revision of the
// object, or 0 after its removal.
type Accepted struct {
	Revision zinniasill.Revision `json:"revision"`
}

// ProfileView is the response body of GET /v1/profiles/{name}.
type ProfileView struct {
	Profile
	Revision zinniasill.Revision `json:"revision"`
}

func getProfile(current *catalog.Catalog, name string) (any, bool) {
	profile, ok := current.Profiles[zinniasill.ProfileName(name)]
	return ProfileView{Profile: newProfile(profile), Revision: profile.Revision}, ok
}

func putProfile(name string, body []byte) (control.Command, control.FindingErrors) {
	profile := Profile{Name: zinniasill.ProfileName(name)}
	edit, findings := decodePut(name, body, &profile.Name, profile.fields())
	return control.Command{
		Request: edit.RequestID,
		Profile: &control.PutProfile{Base: edit.BaseRevision, Profile: profile.catalog()},
	}, findings
}

// decodePut decodes the body of a change to the object that the path names. The body may
// repeat the name; a different name is a finding, because it can only be a mistake.
func decodePut[Name ~string](path string, body []byte, name *Name, fields map[string]any) (Edit, control.FindingErrors) {
	fields["name"] = name
	edit, findings := decodeEdit(body, fields)
	if string(*name) == path {
		return edit, findings
	}
	return edit, append(findings, control.Finding{
		Field:   "name",
		Problem: fmt.Sprintf("%.80q differs from %.80q in the path", *name, path),
	})
}

func deleteProfile(name string, body []byte) (control.Command, control.FindingErrors) {
	edit, findings := decodeEdit(body, nil)
	return control.Command{
		Request: edit.RequestID,
		Delete:  &control.DeleteProfile{Base: edit.BaseRevision, Name: zinniasill.ProfileName(name)},
	}, findings
}

// getDomain returns a domain. Every valid name exists: a domain without an entry in the
// catalog is in service.
func getDomain(current *catalog.Catalog, name string) (any, bool) {
	entry, ok := current.Domains[zinniasill.Domain(name)]
	if !ok {
		entry = catalog.DomainEntry{Name: zinniasill.Domain(name), State: catalog.DomainInService}
	}
	return entry, control.ValidName(name)
}

func putDomain(name string, body []byte) (control.Command, control.FindingErrors) {
	put := control.PutDomain{Name: zinniasill.Domain(name)}
	edit, findings := decodePut(name, body, &put.Name, map[string]any{"state": &put.State})
	put.Base = edit.BaseRevision
	return control.Command{Request: edit.RequestID, Domain: &put}, findings
}

// getEndpoint returns an endpoint. Every valid name exists: an endpoint without an entry in
// the catalog is serving.
func getEndpoint(current *catalog.Catalog, name string) (any, bool) {
	entry, ok := current.Endpoints[zinniasill.NodeID(name)]
	if !ok {
		entry = catalog.EndpointEntry{Name: zinniasill.NodeID(name), State: catalog.Serving}
	}
	return entry, control.ValidName(name)
}

func putEndpoint(name string, body []byte) (control.Command, control.FindingErrors) {
	put := control.PutEndpoint{Name: zinniasill.NodeID(name)}
	edit, findings := decodePut(name, body, &put.Name, map[string]any{"state": &put.State})
	put.Base = edit.BaseRevision
	return control.Command{Request: edit.RequestID, Endpoint: &put}, findings
}

func getTeam(current *catalog.Catalog, name string) (any, bool) {
	entry, ok := current.Teams[zinniasill.Team(name)]
	return entry, ok
}

func putTeam(name string, body []byte) (control.Command, control.FindingErrors) {
	put := control.PutTeam{Name: zinniasill.Team(name)}
	var quota *int
	edit, findings := decodePut(name, body, &put.Name, map[string]any{"quota": &quota})
	findings = requireQuota(findings, quota, &put.Quota)
	put.Base = edit.BaseRevision
	return control.Command{Request: edit.RequestID, Team: &put}, findings
}

// requireQuota sets quota to the decoded one. A missing quota is a finding: it must not be
// read as 0, which means no limit.
func requireQuota(findings control.FindingErrors, decoded, quota *int) control.FindingErrors {
	if decoded == nil {
		return mergeFindings(findings, control.FindingErrors{{Field: "quota", Problem: "is required"}})
	}
	*quota = *decoded
	return findings
}

// NodeStatus describes a live entry or agent.
type NodeStatus struct {
	ID zinniasill.NodeID `json:"id"`
	// Incarnation is in hexadecimal, because some JSON decoders lose precision in 64-bit
	// numbers.
	Incarnation string             `json:"incarnation"`
	Role        catalog.Role       `json:"role"`
	Domain      zinniasill.Domain  `json:"domain"`
	Address     string             `json:"address"`
	Slots       int                `json:"slots"`
	Kinds       []zinniasill.Kind  `json:"kinds"`
	State       catalog.ServeState `json:"state"`
	// Serving reports whether the node may be assigned new work.
	Serving bool `json:"serving"`
}

// Status is the response body of GET /v1/status.
type Status struct {
	Revision  zinniasill.Revision      `json:"revision"`
	Epoch     zinniasill.Epoch         `json:"epoch"`
	Members   []Member                 `json:"members"`
	Profiles  []zinniasill.ProfileName `json:"profiles"`
	Domains   []catalog.DomainEntry    `json:"domains"`
	Endpoints []catalog.EndpointEntry  `json:"endpoints"`
	Teams     []catalog.TeamEntry      `json:"teams"`
	Nodes     []NodeStatus             `json:"nodes"`
}

func newStatus(current *catalog.Catalog, members []Member) Status {
	status := Status{
		Revision:  current.Revision,
		Epoch:     current.CurrentEpoch(),
		Members:   members,
		Profiles:  slices.Sorted(maps.Keys(current.Profiles)),
		Domains:   sortedValues(current.Domains),
		Endpoints: sortedValues(current.Endpoints),
		Teams:     sortedValues(current.Teams),
		Nodes:     make([]NodeStatus, 0, len(current.Nodes)),
	}
	for _, node := range sortedValues(current.Nodes) {
		status.Nodes = append(status.Nodes, NodeStatus{
			ID:          node.Node.ID,
			Incarnation: fmt.Sprintf("%x", uint64(node.Node.Incarnation)),
			Role:        node.Role,
			Domain:      node.Domain,
			Address:     node.Address,
			Slots:       node.Slots,
			Kinds:       node.Kinds,
			State:       node.State,
			Serving:     current.Serving(node),
		})
	}
	return status
}

// sortedValues returns the values of a map sorted by key.
func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	sorted := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[key])
	}
	return sorted
}
