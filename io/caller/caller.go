// Package caller implements the HTTP/JSON API that entries serve to callers.
//
//	handler := caller.New(caller.Config{Jobs: entry, MaxRequests: 4096, Counters: counters})
//	server := httpserver.New(caller.Server(handler, budget.Callers))
//	err := server.Serve(listener)
//
// Every response carries the key of its job and, in the header Job-Epoch, the current
// epoch. A caller that disconnects does not cancel its job.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/core/job"
	"zinniasill/core/message"
	"zinniasill/io/httpserver"
)

// HTTP headers of the API.
const (
	HeaderKey   = "Idempotency-Key"
	HeaderEpoch = "Job-Epoch"
)

const (
	// MaxBodySize is the maximum size of a request body in bytes. Base64 encodes payloads
	// in 4/3 of their size; 1 MiB is left for the JSON around them.
	MaxBodySize = message.MaxBody/3*4 + 1<<20
	// DefaultWait is how long a submission waits for its answer unless it sets a wait.
	DefaultWait = 30 * time.Second
	maxWait     = 10 * time.Minute
	// maxKeyLength is the maximum length of a key in bytes.
	maxKeyLength = 256
)

// Timeouts of the server. They limit how long a slow client can occupy a connection.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
)

// CounterRefusedRequests is the name of the counter of requests that were refused before
// they reached a job, by reason.
const CounterRefusedRequests = "requests_refused"

// Jobs executes, reports and cancels jobs.
type Jobs interface {
	// Submit returns the answer of a job, or ctx's error if ctx ends while the job is still
	// in progress.
	Submit(ctx context.Context, sub message.Submission) (message.Answer, error)
	// Status returns the state of a job.
	Status(ctx context.Context, key zinniasill.Key) (job.Status, error)
	// Cancel cancels a job. It returns false if there is no job to cancel.
	Cancel(ctx context.Context, key zinniasill.Key) (bool, error)
	// Epoch returns the current epoch, or 0 if it is unknown.
	Epoch() zinniasill.Epoch
}

// Config configures the handler that New returns. All fields are required.
type Config struct {
	Jobs Jobs
	// MaxRequests is the maximum number of job requests in progress.
	MaxRequests int
	Counters    zinniasill.Counters
}

type handler struct {
	cfg Config
	// inProgress is a semaphore with one element for each job request in progress.
	inProgress chan struct{}
}

// New returns the handler for all resources under /v1.
func New(cfg Config) http.Handler {
	h := &handler{cfg: cfg, inProgress: make(chan struct{}, cfg.MaxRequests)}
	router := httprouter.New()
	router.POST("/v1/jobs", h.limitRequests(h.submit))
	router.GET("/v1/jobs/:key", h.limitRequests(h.status))
	router.DELETE("/v1/jobs/:key", h.limitRequests(h.cancel))
	router.GET("/v1/epoch", h.epoch)
	return router
}

// Server returns the configuration of a server with timeouts for slow clients. Its refusals
// for want of memory are in the format of this package; other fields are left to the owner of
// the process.
func Server(handler http.Handler, class budget.Class) httpserver.Config {
	cfg := httpserver.Config{
		Handler: handler, Class: class,
		HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
	if class == budget.Callers {
		cfg.Refuse = func(w http.ResponseWriter, _ *http.Request, refusal *budget.ExhaustedError) {
			answer := exhaustedAnswer(refusal)
			writeError(w, httpStatus(answer.Code), "", answer)
		}
	}
	return cfg
}

// exhaustedAnswer returns the refusal of a request for which there is no memory. An earlier
// submission with the same key may have run, as in limitRequests.
func exhaustedAnswer(refusal *budget.ExhaustedError) message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonBusy, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetrySameKey,
		RetryAfter: refusal.RetryAfter, Message: "the entry has too little memory for the request (" + string(refusal.Reason) + ")",
	}
}

// limitRequests refuses requests above MaxRequests. An earlier submission with the same key
// may have run, so the refusal reports RanUnknown instead of NotRun.
func (h *handler) limitRequests(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		select {
		case h.inProgress <- struct{}{}:
			defer func() { <-h.inProgress }()
			next(w, r, params)
		default:
			h.refuse(w, "", message.Answer{
				Code: zinniasill.ReasonBusy, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetrySameKey,
				RetryAfter: busyRetryAfter, Message: "the entry has too many requests in progress",
			})
		}
	}
}

// busyRetryAfter is the retry delay reported to a caller above the request limit.
const busyRetryAfter = 100 * time.Millisecond

func (h *handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	request, problem := decodeSubmission(w, r)
	if problem != nil {
		h.refuse(w, r.Header.Get(HeaderKey), *problem)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), request.wait)
	defer cancel()
	answer, err := h.cfg.Jobs.Submit(ctx, request.submission)
	// The body is no longer needed; the largest answer may not fit beside it.
	httpserver.Keep(r, requestBytes)
	key := request.submission.Key.Client
	switch {
	case err == nil:
		h.answer(w, r, key, answer)
	case ctx.Err() != nil:
		h.writeJSON(w, http.StatusAccepted, JobStatus{Key: key, State: StateInProgress})
	default:
		h.refuse(w, key, shuttingDownAnswer())
	}
}

// shuttingDownAnswer returns the refusal of an entry that is shutting down.
func shuttingDownAnswer() message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonShuttingDown, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetrySameKey,
		Message: "the entry has stopped",
	}
}

func jobKey(r *http.Request, params httprouter.Params) zinniasill.Key {
	return zinniasill.Key{Team: zinniasill.Team(r.URL.Query().Get("team")), Client: params.ByName("key")}
}

func (h *handler) status(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	key := jobKey(r, params)
	status, err := h.cfg.Jobs.Status(r.Context(), key)
	switch {
	case err != nil:
		h.refuse(w, key.Client, shuttingDownAnswer())
	case !status.Known:
		h.writeError(w, http.StatusNotFound, key.Client, notFoundAnswer())
	case status.Answer != nil:
		h.answer(w, r, key.Client, *status.Answer)
	default:
		h.writeJSON(w, http.StatusOK, JobStatus{
			Key: key.Client, State: StateInProgress, Tasks: status.Tasks, Finished: status.Finished,
		})
	}
}

// notFoundAnswer returns the refusal for a job that no reachable entry has a record of. Its
// owner may be unreachable, so whether it ran is unknown.
func notFoundAnswer() message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonNotFound, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetrySameKey,
		Message: "no entry that answers has a record of the job; submit it again with the same key to get its answer",
	}
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	key := jobKey(r, params)
	cancelled, err := h.cfg.Jobs.Cancel(r.Context(), key)
	switch {
	case err != nil:
		h.refuse(w, key.Client, shuttingDownAnswer())
	case !cancelled:
		h.writeError(w, http.StatusNotFound, key.Client, notFoundAnswer())
	default:
		h.writeJSON(w, http.StatusAccepted, JobStatus{Key: key.Client, State: StateCancelling})
	}
}

func (h *handler) epoch(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h.writeJSON(w, http.StatusOK, Epoch{Epoch: h.cfg.Jobs.Epoch()})
}

// answer writes the final answer of a job.
func (h *handler) answer(w http.ResponseWriter, r *http.Request, key string, answer message.Answer) {
	if !answer.Complete {
		h.writeError(w, httpStatus(answer.Code), key, answer)
		return
	}
	if size := encodedBytes(answer.Outputs); size > budget.SmallRequest {
		var refusal *budget.ExhaustedError
		if errors.As(httpserver.ReserveResponse(w, r, size), &refusal) {
			h.refuse(w, key, exhaustedAnswer(refusal))
			return
		}
	}
	h.writeJSON(w, http.StatusOK, JobStatus{
		Key: key, State: StateComplete, Tasks: len(answer.Outputs), Finished: len(answer.Outputs), Outputs: answer.Outputs,
	})
}

// encodedBytes returns the memory of outputs and of the JSON text that they are encoded in,
// in base64.
func encodedBytes(outputs [][]byte) int64 {
	size := int64(0)
	for _, output := range outputs {
		size += int64(len(output)) * 7 / 3
	}
	return size
}

// refuse counts and writes the refusal of a request that did not reach a job.
func (h *handler) refuse(w http.ResponseWriter, key string, answer message.Answer) {
	h.cfg.Counters.Inc(CounterRefusedRequests, answer.Code)
	h.writeError(w, httpStatus(answer.Code), key, answer)
}

func (h *handler) writeError(w http.ResponseWriter, status int, key string, answer message.Answer) {
	h.setEpoch(w)
	writeError(w, status, key, answer)
}

func (h *handler) writeJSON(w http.ResponseWriter, status int, body any) {
	h.setEpoch(w)
	writeJSON(w, status, body)
}

// setEpoch sets the header with the current epoch.
func (h *handler) setEpoch(w http.ResponseWriter) {
	w.Header().Set(HeaderEpoch, strconv.FormatUint(uint64(h.cfg.Jobs.Epoch()), 10))
}

func writeError(w http.ResponseWriter, status int, key string, answer message.Answer) {
	if answer.RetryAfter > 0 {
		seconds := int((answer.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, status, Error{
		Key: key, Code: answer.Code, Ran: answer.Ran, Retry: answer.Retry,
		RetryAfterMS: answer.RetryAfter.Milliseconds(), Message: answer.Message,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encode the answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
