package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

const (
	headerKey   = "Idempotency-Key"
	headerEpoch = "Job-Epoch"
	// maxAnswerBytes is the maximum size of an answer body.
	maxAnswerBytes = 256 << 20
)

type taskBody struct {
	Payload []byte `json:"payload"`
}

type jobBody struct {
	Profile zinniasill.ProfileName `json:"profile"`
	Team    zinniasill.Team        `json:"team"`
	Tasks   []taskBody             `json:"tasks"`
	Wait    string                 `json:"wait"`
}

// answerBody is the union of the fields of all answers that an entry sends.
type answerBody struct {
	Key          string            `json:"key"`
	State        string            `json:"state"`
	Tasks        int               `json:"tasks"`
	Finished     int               `json:"finished"`
	Outputs      [][]byte          `json:"outputs"`
	Code         zinniasill.Reason `json:"code"`
	Ran          zinniasill.Ran    `json:"ran"`
	Retry        zinniasill.Retry  `json:"retry"`
	RetryAfterMS int64             `json:"retry-after-ms"`
	Message      string            `json:"message"`
	Epoch        zinniasill.Epoch  `json:"epoch"`
}

// reply is the result of one attempt. Both fields are nil while the job is in progress.
type reply struct {
	answer  *Answer
	refusal *RefusalError
}

func encodeJob(cfg Config, job Job) ([]byte, error) {
	body := jobBody{Profile: job.Profile, Team: cfg.Team, Wait: cfg.AttemptWait.String()}
	for _, payload := range job.Tasks {
		body.Tasks = append(body.Tasks, taskBody{Payload: payload})
	}
	encoded, err := json.Marshal(body)
	return encoded, eris.Wrapf(err, "encode job %s", job.Key)
}

// post makes one attempt to submit a job to an entry.
func (c *Client) post(ctx context.Context, entry string, job Job, body []byte) (reply, error) {
	request, err := http.NewRequest(http.MethodPost, entry+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return reply{}, eris.Wrapf(err, "submit job %s to %s", job.Key, entry)
	}
	// Without GetBody the transport does not resend the request when a connection ends
	// without an answer. The client must know of each attempt that got none.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerKey, job.Key)
	request.Header.Set(headerEpoch, strconv.FormatUint(uint64(job.Epoch), 10))
	status, answer, err := c.do(ctx, request, c.cfg.AttemptWait+c.cfg.Silence)
	if err != nil {
		return reply{}, eris.Wrapf(err, "submit job %s to %s", job.Key, entry)
	}
	if answer.Key != "" && answer.Key != job.Key {
		return reply{}, eris.Errorf("submit job %s to %s: received the answer for job %s", job.Key, entry, answer.Key)
	}
	switch {
	case status == http.StatusAccepted:
		return reply{}, nil
	case status == http.StatusOK && answer.Key == job.Key && len(answer.Outputs) == len(job.Tasks):
		return reply{answer: &Answer{Key: answer.Key, Outputs: answer.Outputs}}, nil
	case status == http.StatusOK:
		return reply{}, eris.Errorf("submit job %s to %s: %d outputs for %d tasks", job.Key, entry, len(answer.Outputs), len(job.Tasks))
	case answer.Code == "":
		return reply{}, eris.Errorf("submit job %s to %s: status %d without a refusal code", job.Key, entry, status)
	default:
		return reply{refusal: answer.refusal(job.Key)}, nil
	}
}

// maxRetryAfterMS is the longest delay before a retry that an entry can request, in
// milliseconds.
const maxRetryAfterMS = 3_600_000

// refusal returns the error that the answer describes.
func (a answerBody) refusal(key string) *RefusalError {
	return &RefusalError{
		Key: key, Retry: a.Retry,
		RetryAfter:   time.Duration(min(max(a.RetryAfterMS, 0), maxRetryAfterMS)) * time.Millisecond,
		RefusalError: zinniasill.RefusalError{Code: a.Code, Ran: a.Ran, Message: a.Message},
	}
}

// requestEpoch requests the current epoch from an entry. It returns 0 if the answer has
// none.
func (c *Client) requestEpoch(ctx context.Context, entry string) (zinniasill.Epoch, error) {
	request, err := http.NewRequest(http.MethodGet, entry+"/v1/epoch", nil)
	if err != nil {
		return 0, eris.Wrapf(err, "request the epoch from %s", entry)
	}
	status, answer, err := c.do(ctx, request, c.cfg.Silence)
	if err == nil && status == http.StatusForbidden {
		return 0, answer.refusal("")
	}
	return answer.Epoch, eris.Wrapf(err, "request the epoch from %s", entry)
}

// do sends a request and reads the complete answer within the timeout. An unresponsive
// connection is closed when the context expires, and is not reused.
func (c *Client) do(ctx context.Context, request *http.Request, timeout time.Duration) (int, answerBody, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return 0, answerBody{}, err
	}
	defer func() { _ = response.Body.Close() }()
	c.updateEpoch(response.Header.Get(headerEpoch))
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, answerBody{}, eris.Wrap(err, "read the answer")
	}
	var body answerBody
	if err := json.Unmarshal(data, &body); err != nil {
		return 0, answerBody{}, eris.Wrapf(err, "decode the answer with status %d", response.StatusCode)
	}
	return response.StatusCode, body, nil
}

// updateEpoch raises the latest reported epoch to the value of an epoch header. It
// ignores a header that is missing or malformed.
func (c *Client) updateEpoch(header string) {
	epoch, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = max(c.epoch, zinniasill.Epoch(epoch))
}
