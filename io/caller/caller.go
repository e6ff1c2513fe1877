// Package caller is the HTTP/JSON interface for callers, served by entries.
//
//	handler := caller.New(caller.Config{Jobs: entry, MaxRequests: 4096, Counters: counters})
//	server := caller.Server(handler)
//	err := server.Serve(listener)
//
// Every answer carries the key of its job and, in the header Job-Epoch, the
// current epoch. A caller that hangs up does not cancel its job.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"zinniasill"
	"zinniasill/core/job"
	"zinniasill/core/message"
)

// Headers of the interface.
const (
	HeaderKey   = "Idempotency-Key"
	HeaderEpoch = "Job-Epoch"
)

const (
	// maxBody allows for payloads in base64, which are 4/3 of their size, and for
	// the JSON around them.
	maxBody = message.MaxBody/3*4 + 1<<20
	// DefaultWait is the time that a submission waits for its answer.
	DefaultWait = 30 * time.Second
	maxWait     = 10 * time.Minute
	// maxKey bounds a key in bytes.
	maxKey = 256
)

// Timeouts of the server. They bound what slow clients hold.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
)

// CounterRefusedRequests counts requests that were refused before they reached a job.
const CounterRefusedRequests = "requests_refused"

// Jobs takes jobs.
type Jobs interface {
	// Submit returns the answer of a job, or ctx's error while it is in progress.
	Submit(ctx context.Context, sub message.Submission) (message.Answer, error)
	Status(ctx context.Context, key zinniasill.Key) (job.Status, error)
	// Cancel returns false when there is no job to cancel.
	Cancel(ctx context.Context, key zinniasill.Key) (bool, error)
	// Epoch returns the current epoch, 0 if none is known.
	Epoch() zinniasill.Epoch
}

// Config configures the handler.
type Config struct {
	Jobs Jobs
	// MaxRequests bounds the requests in progress.
	MaxRequests int
	Counters    zinniasill.Counters
}

type handler struct {
	cfg   Config
	slots chan struct{}
}

// New returns the handler for all resources below /v1.
func New(cfg Config) http.Handler {
	h := &handler{cfg: cfg, slots: make(chan struct{}, cfg.MaxRequests)}
	router := httprouter.New()
	router.POST("/v1/jobs", h.limited(h.submit))
	router.GET("/v1/jobs/:key", h.limited(h.status))
	router.DELETE("/v1/jobs/:key", h.limited(h.cancel))
	router.GET("/v1/epoch", h.epoch)
	return router
}

// Server returns a server with timeouts for slow clients.
func Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// limited refuses requests above the limit. Whether an earlier submission of the
// key ran is not known here, so the refusal does not say that nothing ran.
func (h *handler) limited(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		select {
		case h.slots <- struct{}{}:
			defer func() { <-h.slots }()
			next(w, r, params)
		default:
			h.refuse(w, "", message.Answer{
				Code: zinniasill.ReasonBusy, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetrySameKey,
				RetryAfter: busyRetry, Message: "the entry has too many requests in progress",
			})
		}
	}
}

// busyRetry is the advice to a caller that found no free request slot.
const busyRetry = 100 * time.Millisecond

func (h *handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	request, problem := decode(w, r)
	if problem != nil {
		h.refuse(w, r.Header.Get(HeaderKey), *problem)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), request.wait)
	defer cancel()
	answer, err := h.cfg.Jobs.Submit(ctx, request.submission)
	key := request.submission.Key.Client
	switch {
	case err == nil:
		h.answer(w, key, answer)
	case ctx.Err() != nil:
		h.write(w, http.StatusAccepted, JobStatus{Key: key, State: StateInProgress})
	default:
		h.refuse(w, key, stopped())
	}
}

// stopped is the answer of an entry whose process is about to end.
func stopped() message.Answer {
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
		h.refuse(w, key.Client, stopped())
	case !status.Known:
		h.writeError(w, http.StatusNotFound, key.Client, notFound())
	case status.Answer != nil:
		h.answer(w, key.Client, *status.Answer)
	default:
		h.write(w, http.StatusOK, JobStatus{
			Key: key.Client, State: StateInProgress, Tasks: status.Tasks, Finished: status.Finished,
		})
	}
}

// notFound is the answer for a job that no entry in reach has a record of. Its owner
// may be out of reach, so that nothing can be said about what ran.
func notFound() message.Answer {
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
		h.refuse(w, key.Client, stopped())
	case !cancelled:
		h.writeError(w, http.StatusNotFound, key.Client, notFound())
	default:
		h.write(w, http.StatusAccepted, JobStatus{Key: key.Client, State: StateCancelling})
	}
}

func (h *handler) epoch(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h.write(w, http.StatusOK, Epoch{Epoch: h.cfg.Jobs.Epoch()})
}

// answer writes the final answer of a job.
func (h *handler) answer(w http.ResponseWriter, key string, answer message.Answer) {
	if !answer.Complete {
		h.writeError(w, statusOf(answer.Code), key, answer)
		return
	}
	h.write(w, http.StatusOK, JobStatus{
		Key: key, State: StateComplete, Tasks: len(answer.Outputs), Finished: len(answer.Outputs), Outputs: answer.Outputs,
	})
}

// refuse counts and writes a refusal of a request that reached no job.
func (h *handler) refuse(w http.ResponseWriter, key string, answer message.Answer) {
	h.cfg.Counters.Inc(CounterRefusedRequests, answer.Code)
	h.writeError(w, statusOf(answer.Code), key, answer)
}

func (h *handler) writeError(w http.ResponseWriter, status int, key string, answer message.Answer) {
	if answer.RetryAfter > 0 {
		seconds := int((answer.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	h.write(w, status, Error{
		Key: key, Code: answer.Code, Ran: answer.Ran, Retry: answer.Retry,
		RetryAfterMS: answer.RetryAfter.Milliseconds(), Message: answer.Message,
	})
}

func (h *handler) write(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encode the answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.Header().Set(HeaderEpoch, strconv.FormatUint(uint64(h.cfg.Jobs.Epoch()), 10))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
