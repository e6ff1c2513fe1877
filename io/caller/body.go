package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniasill"
	"zinniasill/core/control"
	"zinniasill/core/message"
)

// State is the state of a job.
type State string

// Values of State.
const (
	StateInProgress State = "in-progress"
	StateCancelling State = "cancelling"
	StateComplete   State = "complete"
)

// Job is the body of a submission.
type Job struct {
	Profile string `json:"profile"`
	Team    string `json:"team"`
	Tasks   []Task `json:"tasks"`
	// Wait is how long the request waits for the answer, such as "2s".
	Wait string `json:"wait,omitempty"`
}

// Task is one task of a submission. The payload is base64 in JSON.
type Task struct {
	Payload []byte `json:"payload"`
}

// JobStatus describes a job that is complete or in progress.
type JobStatus struct {
	Key      string `json:"key"`
	State    State  `json:"state"`
	Tasks    int    `json:"tasks,omitempty"`
	Finished int    `json:"finished,omitempty"`
	// Outputs has one output for each task, in base64 in JSON.
	Outputs [][]byte `json:"outputs,omitempty"`
}

// Error is the form of all refusals and failures.
type Error struct {
	Key          string            `json:"key,omitempty"`
	Code         zinniasill.Reason `json:"code"`
	Ran          zinniasill.Ran    `json:"ran"`
	Retry        zinniasill.Retry  `json:"retry"`
	RetryAfterMS int64             `json:"retry-after-ms,omitempty"`
	Message      string            `json:"message"`
}

// Epoch is the answer to GET /v1/epoch.
type Epoch struct {
	Epoch zinniasill.Epoch `json:"epoch"`
}

// statusOf returns the HTTP status for a code.
func statusOf(code zinniasill.Reason) int {
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

// request is a submission that was decoded.
type request struct {
	submission message.Submission
	wait       time.Duration
}

// decode reads a submission. Its problems are reported all at once.
func decode(w http.ResponseWriter, r *http.Request) (request, *message.Answer) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request{}, invalid(zinniasill.ReasonTooLarge, fmt.Sprintf("the body is larger than %d bytes", maxBody))
	}
	if err != nil {
		return request{}, invalid(zinniasill.ReasonBadRequest, "read the body: "+err.Error())
	}
	var body Job
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return request{}, invalid(zinniasill.ReasonBadRequest, "body"+place(err, decoder)+": "+err.Error())
	}
	if decoder.More() {
		text := fmt.Sprintf("body at byte %d: more data after the job", decoder.InputOffset())
		return request{}, invalid(zinniasill.ReasonBadRequest, text)
	}
	return check(r, body)
}

// place returns where in the body an error is.
func place(err error, decoder *json.Decoder) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf(" at byte %d", syntax.Offset)
	case errors.As(err, &kind):
		return fmt.Sprintf(" at byte %d, field %q", kind.Offset, kind.Field)
	default:
		return fmt.Sprintf(" near byte %d", decoder.InputOffset())
	}
}

// invalid refuses a request whose work cannot have run at any entry.
func invalid(code zinniasill.Reason, text string) *message.Answer {
	return &message.Answer{Code: code, Ran: zinniasill.NotRun, Retry: zinniasill.RetryNone, Message: text}
}

func check(r *http.Request, body Job) (request, *message.Answer) {
	var problems []string
	add := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	key := r.Header.Get(HeaderKey)
	if key == "" || len(key) > maxKey || strings.ContainsAny(key, "/ ") {
		add("header %s must have 1 to %d bytes without spaces and slashes", HeaderKey, maxKey)
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
		return request{}, invalid(zinniasill.ReasonBadRequest, strings.Join(problems, "; "))
	}
	if problem := checkSize(body); problem != "" {
		return request{}, invalid(zinniasill.ReasonTooLarge, problem)
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
	return request{submission: sub, wait: wait}, nil
}

func checkSize(body Job) string {
	if len(body.Tasks) > message.MaxTasks {
		return fmt.Sprintf("tasks: %d tasks are more than %d", len(body.Tasks), message.MaxTasks)
	}
	for i, task := range body.Tasks {
		if len(task.Payload) > message.MaxPayload {
			return fmt.Sprintf("tasks[%d].payload: %d bytes are more than %d", i, len(task.Payload), message.MaxPayload)
		}
	}
	return ""
}

// Digest returns the digest of a job's profile and payloads.
func Digest(profile zinniasill.ProfileName, payloads [][]byte) zinniasill.Digest {
	hash := sha256.New()
	// Lengths keep different splits of the same bytes apart.
	part := func(data []byte) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(data)))
		hash.Write(length[:])
		hash.Write(data)
	}
	part([]byte(profile))
	for _, payload := range payloads {
		part(payload)
	}
	var digest zinniasill.Digest
	hash.Sum(digest[:0])
	return digest
}
