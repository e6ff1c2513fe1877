package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/core/control"
	"zinniasill/core/message"
	"zinniasill/io/httpserver"
)

// State is the state of a job.
type State string

// Values of State.
const (
	StateInProgress State = "in-progress"
	StateCancelling State = "cancelling"
	StateComplete   State = "complete"
)

// Job is the request body of a submission.
type Job struct {
	Profile string `json:"profile"`
	Team    string `json:"team"`
	Tasks   []Task `json:"tasks"`
	// Wait is how long the request waits for the answer, as a Go duration such as "2s".
	Wait string `json:"wait,omitempty"`
}

// Task is one task of a submission. Its payload is encoded as base64 in JSON.
type Task struct {
	Payload []byte `json:"payload"`
}

// JobStatus is the response for a job that is complete, in progress or being cancelled.
type JobStatus struct {
	Key      string `json:"key"`
	State    State  `json:"state"`
	Tasks    int    `json:"tasks,omitempty"`
	Finished int    `json:"finished,omitempty"`
	// Outputs has one output for each task, encoded as base64 in JSON.
	Outputs [][]byte `json:"outputs,omitempty"`
}

// Error is the response body of all refusals and failures.
type Error struct {
	Key          string            `json:"key,omitempty"`
	Code         zinniasill.Reason `json:"code"`
	Ran          zinniasill.Ran    `json:"ran"`
	Retry        zinniasill.Retry  `json:"retry"`
	RetryAfterMS int64             `json:"retry-after-ms,omitempty"`
	Message      string            `json:"message"`
}

// Epoch is the response body of GET /v1/epoch.
type Epoch struct {
	Epoch zinniasill.Epoch `json:"epoch"`
}

// httpStatus returns the HTTP status for a reason, 503 for those without their own.
func httpStatus(code zinniasill.Reason) int {
	status, ok := map[zinniasill.Reason]int{
		zinniasill.ReasonBadRequest:     http.StatusBadRequest,
		zinniasill.ReasonUnknownProfile: http.StatusUnprocessableEntity,
		zinniasill.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
		zinniasill.ReasonKeyReused:      http.StatusConflict,
		zinniasill.ReasonEpochRequired:  http.StatusPreconditionRequired,
		zinniasill.ReasonKeyExpired:     http.StatusGone,
		zinniasill.ReasonAnswerEvicted:  http.StatusGone,
		zinniasill.ReasonCancelled:      http.StatusConflict,
		zinniasill.ReasonQuota:          http.StatusTooManyRequests,
		zinniasill.ReasonDeadline:       http.StatusGatewayTimeout,
		zinniasill.ReasonTaskFailed:     http.StatusBadGateway,
		zinniasill.ReasonOutcomeUnknown: http.StatusInternalServerError,
		zinniasill.ReasonRecordLost:     http.StatusInternalServerError,
	}[code]
	if !ok {
		return http.StatusServiceUnavailable
	}
	return status
}

// decodedRequest is a validated submission and the time that its caller waits.
type decodedRequest struct {
	submission message.Submission
	wait       time.Duration
}

// decodeSubmission reads and validates a submission. If fields or headers are invalid, the
// refusal lists all of them.
func decodeSubmission(w http.ResponseWriter, r *http.Request) (decodedRequest, *message.Answer) {
	data, err := httpserver.ReadBody(w, r, MaxBodySize)
	if err != nil {
		return decodedRequest{}, unreadableBody(err)
	}
	shape := httpserver.ShapeOf(data)
	if problem := validateShape(shape); problem != nil {
		return decodedRequest{}, problem
	}
	if err := httpserver.Reserve(w, r, int64(len(data))+shape.Size(taskBytes)); err != nil {
		return decodedRequest{}, unreadableBody(err)
	}
	body, err := decodeJob(data)
	if err != nil {
		return decodedRequest{}, invalidRequest(zinniasill.ReasonBadRequest, "body: "+err.Error())
	}
	httpserver.Keep(r, int64(len(data))+requestBytes)
	return validate(r, body)
}

// unreadableBody returns the refusal of a request whose body was not read to its end. What
// has arrived says nothing about an earlier submission with the same key.
func unreadableBody(err error) *message.Answer {
	var tooLarge *http.MaxBytesError
	var refusal *budget.ExhaustedError
	switch {
	case errors.As(err, &tooLarge):
		return invalidRequest(zinniasill.ReasonTooLarge, fmt.Sprintf("the body is larger than %d bytes", MaxBodySize))
	case errors.As(err, &refusal):
		answer := exhaustedAnswer(refusal)
		return &answer
	default:
		return &message.Answer{
			Code: zinniasill.ReasonBadRequest, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetrySameKey,
			Message: "read the body: " + err.Error(),
		}
	}
}

// invalidRequest returns the refusal of a malformed request. Every entry refuses it, so its
// tasks cannot have run.
func invalidRequest(code zinniasill.Reason, text string) *message.Answer {
	return &message.Answer{Code: code, Ran: zinniasill.NotRun, Retry: zinniasill.RetryNone, Message: text}
}

// validate checks headers and fields and returns the submission, or a refusal that lists
// all problems.
func validate(r *http.Request, body Job) (decodedRequest, *message.Answer) {
	var problems []string
	add := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	key := r.Header.Get(HeaderKey)
	if key == "" || len(key) > maxKeyLength || strings.ContainsAny(key, "/ ") {
		add("header %s must have 1 to %d bytes without spaces and slashes", HeaderKey, maxKeyLength)
	}
	var stamp uint64
	if text := r.Header.Get(HeaderEpoch); text != "" {
		var err error
		if stamp, err = strconv.ParseUint(text, 10, 64); err != nil || stamp == 0 {
			add("header %s: %q is not an epoch", HeaderEpoch, text)
		}
	}
	if !control.ValidName(body.Profile) {
		add("profile: %q is not a valid name", body.Profile)
	}
	if !control.ValidName(body.Team) {
		add("team: %q is not a valid name", body.Team)
	}
	if len(body.Tasks) == 0 {
		add("tasks: a job has at least one task")
	}
	wait := DefaultWait
	if body.Wait != "" {
		var err error
		if wait, err = time.ParseDuration(body.Wait); err != nil || wait < 0 || wait > maxWait {
			add("wait: %q is not a duration between 0s and %s", body.Wait, maxWait)
		}
	}
	if len(problems) > 0 {
		return decodedRequest{}, invalidRequest(zinniasill.ReasonBadRequest, strings.Join(problems, "; "))
	}
	if problem := validateSize(body); problem != "" {
		return decodedRequest{}, invalidRequest(zinniasill.ReasonTooLarge, problem)
	}
	sub := message.Submission{
		Key:     zinniasill.Key{Team: zinniasill.Team(body.Team), Client: key},
		Stamp:   zinniasill.Epoch(stamp),
		Profile: zinniasill.ProfileName(body.Profile),
	}
	for _, task := range body.Tasks {
		sub.Payloads = append(sub.Payloads, task.Payload)
	}
	sub.Digest = Digest(sub.Profile, sub.Payloads)
	return decodedRequest{submission: sub, wait: wait}, nil
}

// validateSize returns which limit a job exceeds, or an empty string.
func validateSize(body Job) string {
	if len(body.Tasks) > message.MaxTasks {
		return tooManyTasks(int64(len(body.Tasks)))
	}
	for i, task := range body.Tasks {
		if len(task.Payload) > message.MaxPayload {
			return fmt.Sprintf("tasks[%d].payload: %d bytes are more than %d", i, len(task.Payload), message.MaxPayload)
		}
	}
	return ""
}

// Digest returns the SHA-256 digest of a job's profile and payloads.
func Digest(profile zinniasill.ProfileName, payloads [][]byte) zinniasill.Digest {
	hash := sha256.New()
	// The length prefix gives different splits of the same bytes different digests.
	writePart := func(data []byte) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(data)))
		hash.Write(length[:])
		hash.Write(data)
	}
	writePart([]byte(profile))
	for _, payload := range payloads {
		writePart(payload)
	}
	var digest zinniasill.Digest
	hash.Sum(digest[:0])
	return digest
}
