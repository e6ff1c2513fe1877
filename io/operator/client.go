package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
)

const (
	// firstTimeout bounds an attempt of the first round, so that a replica that is
	// stopped or cut off delays a call only a little when another one answers.
	firstTimeout = 1500 * time.Millisecond
	// lastTimeout bounds an attempt of the second round. A replica without a majority
	// answers after 5 s.
	lastTimeout = 6 * time.Second
	// maxAnswer bounds the size of an answer in bytes. A status with 1,400 nodes
	// has less than 1 MiB.
	maxAnswer = 8 << 20
)

// ErrNoAddress is returned by a client without addresses.
var ErrNoAddress = eris.New("no address of a control replica")

// Client is a client for the operators' resources. It tries the addresses in
// turn, and sends a change whose outcome is not known again with the same request
// id. Errors that a replica answered are of type *Error.
type Client struct {
	// Addresses are the control replicas as host:port.
	Addresses []string
	// Scheme is http if empty.
	Scheme string
	// HTTP is http.DefaultClient if nil. It must present an operator's certificate to
	// a cluster that uses TLS.
	HTTP *http.Client
}

// Profile returns a profile with its revision.
func (c Client) Profile(ctx context.Context, name zinniasill.ProfileName) (catalog.Profile, error) {
	view, err := get[ProfileView](ctx, c, path("profiles", string(name)))
	profile := view.catalog()
	profile.Revision = view.Revision
	return profile, err
}

// PutProfile creates or replaces a profile and returns its new revision.
func (c Client) PutProfile(ctx context.Context, profile catalog.Profile, edit Edit) (zinniasill.Revision, error) {
	body := struct {
		Edit
		Profile
	}{edit, newProfile(profile)}
	return c.change(ctx, http.MethodPut, path("profiles", string(profile.Name)), body)
}

// DeleteProfile removes a profile.
func (c Client) DeleteProfile(ctx context.Context, name zinniasill.ProfileName, edit Edit) error {
	_, err := c.change(ctx, http.MethodDelete, path("profiles", string(name)), edit)
	return err
}

// Domain returns the state of a failure domain.
func (c Client) Domain(ctx context.Context, name zinniasill.Domain) (catalog.DomainEntry, error) {
	return get[catalog.DomainEntry](ctx, c, path("domains", string(name)))
}

// PutDomain takes a failure domain out of service or returns it.
func (c Client) PutDomain(ctx context.Context, name zinniasill.Domain, state catalog.DomainState, edit Edit) (zinniasill.Revision, error) {
	body := struct {
		Edit
		State catalog.DomainState `json:"state"`
	}{edit, state}
	return c.change(ctx, http.MethodPut, path("domains", string(name)), body)
}

// Endpoint returns what operators decided on an endpoint.
func (c Client) Endpoint(ctx context.Context, name zinniasill.NodeID) (catalog.EndpointEntry, error) {
	return get[catalog.EndpointEntry](ctx, c, path("endpoints", string(name)))
}

// PutEndpoint makes an endpoint leave or serve.
func (c Client) PutEndpoint(ctx context.Context, name zinniasill.NodeID, state catalog.ServeState, edit Edit) (zinniasill.Revision, error) {
	body := struct {
		Edit
		State catalog.ServeState `json:"state"`
	}{edit, state}
	return c.change(ctx, http.MethodPut, path("endpoints", string(name)), body)
}

// Team returns the quota of a team.
func (c Client) Team(ctx context.Context, name zinniasill.Team) (catalog.TeamEntry, error) {
	return get[catalog.TeamEntry](ctx, c, path("teams", string(name)))
}

// PutTeam sets the quota of a team. A quota of 0 means no limit.
func (c Client) PutTeam(ctx context.Context, name zinniasill.Team, quota int, edit Edit) (zinniasill.Revision, error) {
	body := struct {
		Edit
		Quota int `json:"quota"`
	}{edit, quota}
	return c.change(ctx, http.MethodPut, path("teams", string(name)), body)
}

// Members returns the control replicas.
func (c Client) Members(ctx context.Context) ([]Member, error) {
	members, err := get[Members](ctx, c, "/v1/members")
	return members.Members, err
}

// ChangeMember adds or removes one control replica.
func (c Client) ChangeMember(ctx context.Context, change MemberChange) error {
	return c.do(ctx, http.MethodPost, "/v1/members", change, nil)
}

// Status returns the state of the cluster.
func (c Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

func path(kind, name string) string {
	return "/v1/" + kind + "/" + url.PathEscape(name)
}

func get[T any](ctx context.Context, c Client, path string) (T, error) {
	var value T
	err := c.do(ctx, http.MethodGet, path, nil, &value)
	return value, err
}

func (c Client) change(ctx context.Context, method, path string, body any) (zinniasill.Revision, error) {
	var accepted Accepted
	err := c.do(ctx, method, path, body, &accepted)
	return accepted.Revision, err
}

// do sends the request to one address after the other until one answers. The
// body, and with it the request id, is the same in all attempts.
func (c Client) do(ctx context.Context, method, path string, body, into any) error {
	if len(c.Addresses) == 0 {
		return ErrNoAddress
	}
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		data = encoded
	}
	scheme := cmp.Or(c.Scheme, "http")
	var last error
	for _, timeout := range []time.Duration{firstTimeout, lastTimeout} {
		for _, address := range c.Addresses {
			last = c.attempt(ctx, timeout, method, scheme+"://"+address+path, data, into)
			if last == nil || ctx.Err() != nil || !again(last) {
				return last
			}
		}
	}
	return last
}

// again reports whether another attempt is of use: a refusal is final, any other
// failure is not.
func again(err error) bool {
	var answered *Error
	return !eris.As(err, &answered) || answered.retryable()
}

func (c Client) attempt(
	ctx context.Context, timeout time.Duration, method, target string, body []byte, into any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "build request to %s", target)
	}
	request.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "send request to %s", target)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return eris.Wrapf(err, "read answer of %s", target)
	}
	if response.StatusCode != http.StatusOK {
		return parseError(response.StatusCode, target, data)
	}
	if into == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, into), "decode answer of %s", target)
}

func parseError(status int, target string, data []byte) error {
	failure := &Error{Status: status}
	if err := json.Unmarshal(data, failure); err != nil || failure.Code == "" {
		return eris.Errorf("%s answered status %d without an error body", target, status)
	}
	return failure
}
