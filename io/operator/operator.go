// Package operator is the HTTP/JSON interface for operators, served by the
// control replicas, and a client for it.
//
//	handler := operator.New(operator.Config{
//		Configuration: operator.Replica{Loop: loop, Server: server},
//		Membership:    members,
//	})
//	http.Serve(listener, handler)
//
// Every change carries the revision that it started from and a request id. A
// change whose answer was lost is sent again with the same id and gets the first
// answer:
//
//	client := operator.Client{Addresses: addresses}
//	revision, err := client.PutDomain(ctx, "zone-a", catalog.DomainOut, operator.Edit{
//		BaseRevision: 7, RequestID: "9f3c",
//	})
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"zinniasill/core/catalog"
	"zinniasill/core/control"
)

// MaxBody is the highest size of a request body in bytes.
const MaxBody = 64 << 10

// Configuration changes and reads the cluster's configuration.
type Configuration interface {
	// Propose returns the result of a committed command. After an error the
	// outcome is unknown, and the command may be proposed again with the same
	// request id.
	Propose(ctx context.Context, command control.Command) (control.Result, error)
	// Catalog returns a configuration that holds every change that was accepted
	// before the call.
	Catalog(ctx context.Context) (*catalog.Catalog, error)
}

// Membership reads and changes the control replicas.
type Membership interface {
	Members(ctx context.Context) ([]Member, error)
	// ChangeMember adds or removes one replica. An *Error is answered as it is.
	ChangeMember(ctx context.Context, change MemberChange) error
}

// Config configures the handler.
type Config struct {
	Configuration Configuration
	Membership    Membership
}

// handler serves the operators' resources.
type handler struct {
	cfg Config
}

// New returns the handler for all resources below /v1.
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
		answerError(w, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "no resource " + r.URL.Path})
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answerError(w, &Error{
			Status: http.StatusMethodNotAllowed, Code: CodeBadRequest,
			Message: r.Method + " is not supported by " + r.URL.Path,
		})
	})
	return router
}

func (h handler) get(resource resource) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		current, err := h.cfg.Configuration.Catalog(r.Context())
		if err != nil {
			answerError(w, unavailable(err))
			return
		}
		name := params.ByName("name")
		value, ok := resource.get(current, name)
		if !ok {
			answerError(w, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "no " + resource.noun + " " + name})
			return
		}
		answer(w, http.StatusOK, value)
	}
}

// change returns a handler that turns a body into a command and proposes it.
func (h handler) change(parse func(name string, body []byte) (control.Command, control.FindingErrors)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		body, failure := readBody(w, r)
		if failure != nil {
			answerError(w, failure)
			return
		}
		command, found := parse(params.ByName("name"), body)
		found = merge(found, command.Validate())
		if len(found) > 0 {
			answerError(w, invalid(found))
			return
		}
		result, err := h.cfg.Configuration.Propose(r.Context(), command)
		if err != nil {
			answerError(w, outcomeUnknown(err))
			return
		}
		if result.Code != "" || result.Err != nil {
			answerError(w, refused(result))
			return
		}
		answer(w, http.StatusOK, Accepted{Revision: result.Revision})
	}
}

// merge adds the findings of the command's check for fields that have none from
// parsing: a field that could not be parsed is checked with its zero value.
func merge(parsed, checked control.FindingErrors) control.FindingErrors {
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
		answerError(w, unavailable(err))
		return
	}
	answer(w, http.StatusOK, Members{Members: members})
}

func (h handler) changeMember(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, failure := readBody(w, r)
	if failure != nil {
		answerError(w, failure)
		return
	}
	change, found := parseMemberChange(body)
	if len(found) > 0 {
		answerError(w, invalid(found))
		return
	}
	if err := h.cfg.Membership.ChangeMember(r.Context(), change); err != nil {
		var typed *Error
		if !errors.As(err, &typed) {
			typed = outcomeUnknown(err)
		}
		answerError(w, typed)
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (h handler) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	current, err := h.cfg.Configuration.Catalog(r.Context())
	if err != nil {
		answerError(w, unavailable(err))
		return
	}
	members, err := h.cfg.Membership.Members(r.Context())
	if err != nil {
		answerError(w, unavailable(err))
		return
	}
	answer(w, http.StatusOK, newStatus(current, members))
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Error{
			Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge,
			Message: "the body is larger than 64 KiB",
		}
	}
	return nil, &Error{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: "read body: " + err.Error()}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is sent already; a client that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}

func answerError(w http.ResponseWriter, failure *Error) {
	answer(w, failure.Status, failure)
}
