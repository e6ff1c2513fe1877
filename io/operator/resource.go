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

// resource is one kind of object that operators read and change.
type resource struct {
	noun   string
	get    func(current *catalog.Catalog, name string) (any, bool)
	put    func(name string, body []byte) (control.Command, control.FindingErrors)
	remove func(name string, body []byte) (control.Command, control.FindingErrors)
}

var resources = map[string]resource{
	"/v1/profiles/:name":  {noun: "profile", get: getProfile, put: putProfile, remove: deleteProfile},
	"/v1/domains/:name":   {noun: "domain", get: getDomain, put: putDomain},
	"/v1/endpoints/:name": {noun: "endpoint", get: getEndpoint, put: putEndpoint},
	"/v1/teams/:name":     {noun: "team", get: getTeam, put: putTeam},
}

// Accepted is the answer to a change. Revision is the new revision of the object,
// 0 after its removal.
type Accepted struct {
	Revision zinniasill.Revision `json:"revision"`
}

// ProfileView is the answer to GET /v1/profiles/{name}.
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
	edit, found := decodePut(name, body, &profile.Name, profile.fields())
	return control.Command{
		Request: edit.RequestID,
		Profile: &control.PutProfile{Base: edit.BaseRevision, Profile: profile.catalog()},
	}, found
}

// decodePut decodes the body of a change of the object that the path names. The
// body may repeat the name, which differs from that in the path by mistake only.
func decodePut[Name ~string](path string, body []byte, name *Name, fields map[string]any) (Edit, control.FindingErrors) {
	fields["name"] = name
	edit, found := decodeEdit(body, fields)
	if string(*name) == path {
		return edit, found
	}
	return edit, append(found, control.Finding{
		Field:   "name",
		Problem: fmt.Sprintf("%.80q differs from %.80q in the path", *name, path),
	})
}

func deleteProfile(name string, body []byte) (control.Command, control.FindingErrors) {
	edit, found := decodeEdit(body, nil)
	return control.Command{
		Request: edit.RequestID,
		Delete:  &control.DeleteProfile{Base: edit.BaseRevision, Name: zinniasill.ProfileName(name)},
	}, found
}

// getDomain answers for every name: a domain without an entry is in service.
func getDomain(current *catalog.Catalog, name string) (any, bool) {
	entry, ok := current.Domains[zinniasill.Domain(name)]
	if !ok {
		entry = catalog.DomainEntry{Name: zinniasill.Domain(name), State: catalog.DomainInService}
	}
	return entry, control.ValidName(name)
}

func putDomain(name string, body []byte) (control.Command, control.FindingErrors) {
	put := control.PutDomain{Name: zinniasill.Domain(name)}
	edit, found := decodePut(name, body, &put.Name, map[string]any{"state": &put.State})
	put.Base = edit.BaseRevision
	return control.Command{Request: edit.RequestID, Domain: &put}, found
}

// getEndpoint answers for every name: an endpoint without an entry serves.
func getEndpoint(current *catalog.Catalog, name string) (any, bool) {
	entry, ok := current.Endpoints[zinniasill.NodeID(name)]
	if !ok {
		entry = catalog.EndpointEntry{Name: zinniasill.NodeID(name), State: catalog.Serving}
	}
	return entry, control.ValidName(name)
}

func putEndpoint(name string, body []byte) (control.Command, control.FindingErrors) {
	put := control.PutEndpoint{Name: zinniasill.NodeID(name)}
	edit, found := decodePut(name, body, &put.Name, map[string]any{"state": &put.State})
	put.Base = edit.BaseRevision
	return control.Command{Request: edit.RequestID, Endpoint: &put}, found
}

func getTeam(current *catalog.Catalog, name string) (any, bool) {
	entry, ok := current.Teams[zinniasill.Team(name)]
	return entry, ok
}

func putTeam(name string, body []byte) (control.Command, control.FindingErrors) {
	put := control.PutTeam{Name: zinniasill.Team(name)}
	var quota *int
	edit, found := decodePut(name, body, &put.Name, map[string]any{"quota": &quota})
	if quota != nil {
		put.Quota = *quota
	} else {
		// A missing quota must not be taken for 0, which means no limit.
		found = merge(found, control.FindingErrors{{Field: "quota", Problem: "is required"}})
	}
	put.Base = edit.BaseRevision
	return control.Command{Request: edit.RequestID, Team: &put}, found
}

// NodeStatus is a live entry or agent.
type NodeStatus struct {
	ID zinniasill.NodeID `json:"id"`
	// Incarnation is in hexadecimal: JSON numbers of 64 bits are not exact
	// everywhere.
	Incarnation string             `json:"incarnation"`
	Role        catalog.Role       `json:"role"`
	Domain      zinniasill.Domain  `json:"domain"`
	Address     string             `json:"address"`
	Slots       int                `json:"slots"`
	Kinds       []zinniasill.Kind  `json:"kinds"`
	State       catalog.ServeState `json:"state"`
	// Serving is true when the node may be given new work.
	Serving bool `json:"serving"`
}

// Status is the answer to GET /v1/status.
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

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	sorted := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[key])
	}
	return sorted
}
