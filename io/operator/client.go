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
	// firstRoundTimeout limits each attempt of the first round, so that an unresponsive
	// replica delays a call only briefly if another one responds.
	firstRoundTimeout = 1500 * time.Millisecond
	// secondRoundTimeout limits each attempt of the second round. It exceeds the 5 s after
	// which a replica without a majority responds.
	secondRoundTimeout = 6 * time.Second
	// maxResponseSize is the maximum size of a response body in bytes. A status with 1,400
	// nodes is smaller than 1 MiB.
	maxResponseSize = 8 << 20
)

// ErrNoAddress is returned by a Client without addresses.
var ErrNoAddress = eris.New("no address of a control replica")

// Client is a client for the operators' API. It tries the addresses in order and resends a
// change whose outcome is unknown with the same request id. Errors that a replica reports
// are of type *Error.
type Client struct {
	// Addresses are the addresses of the control replicas in the form host:port.
	Addresses []string
	// Scheme is the URL scheme, "http" if empty.
	Scheme string
	// HTTP sends the requests, http.DefaultClient if nil. For a cluster that uses TLS it
	// must present a certificate with the operator right.
	HTTP *http.Client
}

// Profile returns a profile with its revision.
func (c Client) Profile(ctx context.Context, name zinniasill.ProfileName) (catalog.Profile, error) {
	view, err := get[ProfileView](ctx, c, resourcePath("profiles", string(name)))
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
	return c.change(ctx, http.MethodPut, resourcePath("profiles", string(profile.Name)), body)
}

// DeleteProfile removes a profile.
func (c Client) DeleteProfile(ctx context.Context, name zinniasill.ProfileName, edit Edit) error {
	_, err := c.change(ctx, http.MethodDelete, resourcePath("profiles", string(name)), edit)
	return err
}

// Domain returns the state of a failure domain.
func (c Client) Domain(ctx context.Context, name zinniasill.Domain) (catalog.DomainEntry, error) {
	return get[catalog.DomainEntry](ctx, c, resourcePath("domains", string(name)))
}

// PutDomain takes a failure domain out of service or returns it to service, and returns the
// new revision.
func (c Client) PutDomain(ctx context.Context, name zinniasill.Domain, state catalog.DomainState, edit Edit) (zinniasill.Revision, error) {
	body := struct {
		Edit
		State catalog.DomainState `json:"state"`
	}{edit, state}
	return c.change(ctx, http.MethodPut, resourcePath("domains", string(name)), body)
}

// Endpoint returns the state that operators have set for an endpoint.
func (c Client) Endpoint(ctx context.Context, name zinniasill.NodeID) (catalog.EndpointEntry, error) {
	return get[catalog.EndpointEntry](ctx, c, resourcePath("endpoints", string(name)))
}

// PutEndpoint sets whether an endpoint serves or leaves, and returns the new revision.
func (c Client) PutEndpoint(ctx context.Context, name zinniasill.NodeID, state catalog.ServeState, edit Edit) (zinniasill.Revision, error) {
	body := struct {
		Edit
		State catalog.ServeState `json:"state"`
	}{edit, state}
	return c.change(ctx, http.MethodPut, resourcePath("endpoints", string(name)), body)
}

// Team returns the quota of a team.
func (c Client) Team(ctx context.Context, name zinniasill.Team) (catalog.TeamEntry, error) {
	return get[catalog.TeamEntry](ctx, c, resourcePath("teams", string(name)))
}

// PutTeam sets the quota of a team and returns the new revision. A quota of 0 means no
// limit.
func (c Client) PutTeam(ctx context.Context, name zinniasill.Team, quota int, edit Edit) (zinniasill.Revision, error) {
	body := struct {
		Edit
		Quota int `json:"quota"`
	}{edit, quota}
	return c.change(ctx, http.MethodPut, resourcePath("teams", string(name)), body)
}

// Members returns the control replicas.
func (c Client) Members(ctx context.Context) ([]Member, error) {
	members, err := get[Members](ctx, c, "/v1/members")
	return members.Members, err
}

// ChangeMember adds or removes one control replica.
func (c Client) ChangeMember(ctx context.Context, change MemberChange) error {
	return c.sendToAny(ctx, http.MethodPost, "/v1/members", change, nil)
}

// Status returns the state of the cluster.
func (c Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

func resourcePath(kind, name string) string {
	return "/v1/" + kind + "/" + url.PathEscape(name)
}

func get[T any](ctx context.Context, c Client, path string) (T, error) {
	var value T
	err := c.sendToAny(ctx, http.MethodGet, path, nil, &value)
	return value, err
}

func (c Client) change(ctx context.Context, method, path string, body any) (zinniasill.Revision, error) {
	var accepted Accepted
	err := c.sendToAny(ctx, method, path, body, &accepted)
	return accepted.Revision, err
}

// sendToAny sends the request to the addresses in order, in two rounds, until one responds
// with a result or a final refusal. All attempts have the same body and so the same
// request id. A response body is decoded into the value that into points to, unless into
// is nil.
func (c Client) sendToAny(ctx context.Context, method, path string, body, into any) error {
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
	var lastErr error
	for _, timeout := range []time.Duration{firstRoundTimeout, secondRoundTimeout} {
		for _, address := range c.Addresses {
			lastErr = c.send(ctx, timeout, method, scheme+"://"+address+path, data, into)
			if lastErr == nil || ctx.Err() != nil || !shouldRetry(lastErr) {
				return lastErr
			}
		}
	}
	return lastErr
}

// shouldRetry reports whether another attempt may succeed. Refusals are final, all other
// failures are retryable.
func shouldRetry(err error) bool {
	var answered *Error
	return !eris.As(err, &answered) || answered.retryable()
}

// send sends one request and decodes the response.
func (c Client) send(
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return eris.Wrapf(err, "read response from %s", target)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, target, data)
	}
	if into == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, into), "decode response from %s", target)
}

// decodeError returns the *Error in a response body, or another error if there is none.
func decodeError(status int, target string, data []byte) error {
	failure := &Error{Status: status}
	if err := json.Unmarshal(data, failure); err != nil || failure.Code == "" {
		return eris.Errorf("%s answered status %d without an error body", target, status)
	}
	return failure
}
