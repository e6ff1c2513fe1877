// Package operator implements the HTTP/JSON API that control replicas serve to operators,
// and a client for it.
//
//	handler := operator.New(operator.Config{
//		Configuration: operator.Replica{Loop: loop, Server: server},
//		Membership:    members,
//	})
//	http.Serve(listener, handler)
//
// Every change carries the revision that it is based on and a request id. If the response
// to a change is lost, the change is resent with the same id and gets the original result:
//
//	client := operator.Client{Addresses: addresses}
//	revision, err := client.PutDomain(ctx, "zone-a", catalog.DomainOutOfService, operator.Edit{
//		BaseRevision: 7, RequestID: "9f3c",
//	})
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"zinniasill/core/budget"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/io/httpserver"
)

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 64 << 10

// decodedFactor is the memory of a decoded body in multiples of its size. Objects with fields
// of a few bytes need the most.
const decodedFactor = 16

// Configuration reads and changes the cluster's configuration.
type Configuration interface {
	// Propose proposes a command and returns its result after it was committed. After an
	// error the outcome is unknown, and the command may be proposed again with the same
	// request id.
	Propose(ctx context.Context, command control.Command) (control.Result, error)
	// Catalog returns a configuration that contains every change accepted before the call.
	Catalog(ctx context.Context) (*catalog.Catalog, error)
}

// Membership reads and changes the control replicas.
type Membership interface {
	// Members returns the current control replicas.
	Members(ctx context.Context) ([]Member, error)
	// ChangeMember adds or removes one replica. An *Error is sent to the client unchanged;
	// after any other error the outcome is unknown.
	ChangeMember(ctx context.Context, change MemberChange) error
}

// Config configures the handler that New returns. All fields are required.
type Config struct {
	Configuration Configuration
	Membership    Membership
}

// handler serves the resources of the operators' API.
type handler struct {
	cfg Config
}

// New returns the handler for all resources under /v1.
func New(cfg Config) http.Handler {
	h := handler{cfg: cfg}
	router := httprouter.New()
	for path, resource := range resources {
		router.GET(path, h.get(resource))
		router.PUT(path, h.change(resource.put))
		if resource.remove != nil {
			router.DELETE(path, h.change(resource.remove))
		}
	}
	router.GET("/v1/members", h.members)
	router.POST("/v1/members", h.changeMember)
	router.GET("/v1/status", h.status)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "no resource " + r.URL.Path})
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &Error{
			Status: http.StatusMethodNotAllowed, Code: CodeBadRequest,
			Message: r.Method + " is not supported by " + r.URL.Path,
		})
	})
	return router
}

// get returns a handler that reads an object.
func (h handler) get(resource resource) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		current, err := h.cfg.Configuration.Catalog(r.Context())
		if err != nil {
			writeError(w, unavailable(err))
			return
		}
		name := params.ByName("name")
		value, ok := resource.get(current, name)
		if !ok {
			writeError(w, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "no " + resource.kind + " " + name})
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

// change returns a handler that parses the body into a command and proposes it.
func (h handler) change(parse func(name string, body []byte) (control.Command, control.FindingErrors)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		body, failure := readBody(w, r)
		if failure != nil {
			writeError(w, failure)
			return
		}
		command, findings := parse(params.ByName("name"), body)
		findings = mergeFindings(findings, command.Validate())
		if len(findings) > 0 {
			writeError(w, invalid(findings))
			return
		}
		result, err := h.cfg.Configuration.Propose(r.Context(), command)
		if err != nil {
			writeError(w, outcomeUnknown(err))
			return
		}
		if result.Code != "" || result.Err != nil {
			writeError(w, refusedChange(result))
			return
		}
		writeJSON(w, http.StatusOK, Accepted{Revision: result.Revision})
	}
}

// mergeFindings returns the findings of parsing, plus those of validation for other fields.
// A field that could not be parsed was validated with its zero value, so its validation
// findings are meaningless. If the whole body could not be parsed, all of them are.
func mergeFindings(parsed, checked control.FindingErrors) control.FindingErrors {
	named := map[string]bool{}
	for _, finding := range parsed {
		named[finding.Field] = true
	}
	if named[bodyField] {
		return parsed
	}
	for _, finding := range checked {
		if !named[finding.Field] {
			parsed = append(parsed, finding)
		}
	}
	return parsed
}

func (h handler) members(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	members, err := h.cfg.Membership.Members(r.Context())
	if err != nil {
		writeError(w, unavailable(err))
		return
	}
	writeJSON(w, http.StatusOK, Members{Members: members})
}

func (h handler) changeMember(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, failure := readBody(w, r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	change, findings := parseMemberChange(body)
	if len(findings) > 0 {
		writeError(w, invalid(findings))
		return
	}
	if err := h.cfg.Membership.ChangeMember(r.Context(), change); err != nil {
		var typed *Error
		if !errors.As(err, &typed) {
			typed = outcomeUnknown(err)
		}
		writeError(w, typed)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h handler) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	current, err := h.cfg.Configuration.Catalog(r.Context())
	if err != nil {
		writeError(w, unavailable(err))
		return
	}
	members, err := h.cfg.Membership.Members(r.Context())
	if err != nil {
		writeError(w, unavailable(err))
		return
	}
	writeJSON(w, http.StatusOK, newStatus(current, members))
}

// readBody reads the body of a request and asks for the memory to decode it. Bodies are small,
// so a fixed factor covers all of their formats.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	body, err := httpserver.ReadBody(w, r, MaxBody)
	if err == nil {
		err = httpserver.Reserve(w, r, int64(len(body))*decodedFactor)
	}
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	var refusal *budget.ExhaustedError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &Error{
			Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge,
			Message: "the body is larger than 64 KiB",
		}
	case errors.As(err, &refusal):
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
		return nil, outcomeUnknown(err)
	default:
		return nil, &Error{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: "read body: " + err.Error()}
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is already sent, and a disconnected client needs no response.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, failure *Error) {
	writeJSON(w, failure.Status, failure)
}
