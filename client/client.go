package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// Default values for the fields of Config.
const (
	DefaultAttemptWait = time.Second
	DefaultSilence     = 1500 * time.Millisecond
	DefaultAttempts    = 20
)

const (
	initialBackoff      = 20 * time.Millisecond
	maxBackoff          = time.Second
	maxIdleConnsPerHost = 256
)

// Config configures a Client. Entries and Team are required.
type Config struct {
	// Entries are the base URLs of the entries, or of the load balancer in front of
	// them.
	Entries []string
	Team    zinniasill.Team
	// AttemptWait is how long an entry may hold a request while the job is in
	// progress; the client then repeats the request. Short waits detect unresponsive
	// connections early. If 0, it is DefaultAttemptWait.
	AttemptWait time.Duration
	// Silence is the time beyond AttemptWait without an answer after which the client
	// abandons the connection and tries the next entry. If 0, it is DefaultSilence.
	Silence time.Duration
	// Attempts limits the number of attempts that end without an answer from an entry
	// or with a refusal that may be retried. Waiting for a job in progress is limited
	// only by the context. If 0, it is DefaultAttempts.
	Attempts int
	// Transport sends the requests. It must not retry them. TLS returns a transport
	// that presents a client certificate. If nil, a copy of http.DefaultTransport is
	// used.
	Transport http.RoundTripper
	// Rand is the source of the retry jitter. If nil, a randomly seeded source is used.
	Rand *rand.Rand
}

// Job is a job to submit.
type Job struct {
	// Key is the idempotency key. It must be unique within the team.
	Key     string
	Profile zinniasill.ProfileName
	// Tasks holds the payload of each task.
	Tasks [][]byte
	// Epoch is the epoch in which the job was first submitted. If 0, Submit uses the
	// current epoch. A caller that resubmits a job after its own restart must set the
	// value that Stamp returned before the first submission.
	Epoch zinniasill.Epoch
}

// Answer holds the outputs of a completed job.
type Answer struct {
	Key string
	// Outputs holds one output for each task, in the order of Job.Tasks.
	Outputs [][]byte
}

// RefusalError is the error for a job that was refused, that failed or whose outcome
// is unknown.
type RefusalError struct {
	zinniasill.RefusalError
	Key        string
	Retry      zinniasill.Retry
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	if e.Key == "" {
		return e.RefusalError.Error()
	}
	return "job " + e.Key + " " + e.RefusalError.Error()
}

// Client submits jobs to the entries and queries their state. It is safe for
// concurrent use. Use New to create one.
type Client struct {
	cfg  Config
	http *http.Client

	mu    sync.Mutex
	epoch zinniasill.Epoch
	next  int
}

// New returns a Client that uses cfg, with defaults for fields that are zero.
func New(cfg Config) *Client {
	if cfg.AttemptWait == 0 {
		cfg.AttemptWait = DefaultAttemptWait
	}
	if cfg.Silence == 0 {
		cfg.Silence = DefaultSilence
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = DefaultAttempts
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Transport == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
		cfg.Transport = transport
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: cfg.Transport}}
}

// Close closes the idle connections to the entries.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Stamp returns the current epoch as reported by the entries, for use as Job.Epoch. It
// sends requests only if no earlier answer reported an epoch. The error is a
// *RefusalError if the client's certificate does not grant the required right.
func (c *Client) Stamp(ctx context.Context) (zinniasill.Epoch, error) {
	c.mu.Lock()
	latest := c.epoch
	c.mu.Unlock()
	if latest != 0 {
		return latest, nil
	}
	var lastErr error
	for attempt := range c.cfg.Attempts {
		epoch, err := c.requestEpoch(ctx, c.currentEntry())
		if err == nil && epoch != 0 {
			return epoch, nil
		}
		var refusal *RefusalError
		if errors.As(err, &refusal) {
			// The certificate does not grant the required right; retrying cannot help.
			return 0, err
		}
		lastErr = err
		c.rotateEntry()
		if err := c.backOff(ctx, attempt, 0); err != nil {
			return 0, err
		}
	}
	return 0, eris.Wrap(errors.Join(lastErr, errNoEpoch), "request the current epoch")
}

var errNoEpoch = eris.New("no entry reported an epoch")

// Submit submits a job and returns its complete answer. It tries the entries in turn
// until one of them returns the answer. The error is a *RefusalError if the job was
// refused, if it failed, or if its outcome is unknown.
func (c *Client) Submit(ctx context.Context, job Job) (Answer, error) {
	// If the caller set the epoch, the job may have been submitted before.
	sent := job.Epoch != 0
	if !sent {
		epoch, err := c.Stamp(ctx)
		if err != nil {
			return Answer{}, eris.Wrapf(err, "submit job %s", job.Key)
		}
		job.Epoch = epoch
	}
	body, err := encodeJob(c.cfg, job)
	if err != nil {
		return Answer{}, err
	}
	var lastErr error
	undecided := false
	for attempt := 0; attempt < c.cfg.Attempts; {
		reply, err := c.post(ctx, c.currentEntry(), job, body)
		switch {
		case ctx.Err() != nil:
			return Answer{}, outcomeUnknown(job.Key, ctx.Err())
		case err != nil:
			lastErr = err
			sent = true
			undecided = undecided || !isDialError(err)
			c.rotateEntry()
		case reply.answer != nil:
			return *reply.answer, nil
		case reply.refusal == nil:
			sent = true
			continue // in progress
		case !c.shouldRetry(reply.refusal, &job, sent):
			if isOutOfService(reply.refusal) {
				c.rotateEntry()
			}
			return Answer{}, reply.refusal.after(undecided)
		default:
			lastErr = reply.refusal.after(undecided)
			sent = sent || reply.refusal.Ran != zinniasill.NotRun
			undecided = undecided || reply.refusal.Ran == zinniasill.RanUnknown
			c.rotateEntry()
		}
		if err := c.backOff(ctx, attempt, retryAfter(lastErr)); err != nil {
			return Answer{}, outcomeUnknown(job.Key, err)
		}
		attempt++
	}
	return Answer{}, attemptsExhausted(job.Key, lastErr)
}

// isDialError reports whether an attempt failed before a request was sent.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// after returns the refusal of a job as its caller may rely on it. While the outcome of an
// earlier attempt is undecided, another entry may still run the job, unless the key is
// refused permanently.
func (e *RefusalError) after(undecided bool) *RefusalError {
	if !undecided || e.Ran != zinniasill.NotRun || e.Retry == zinniasill.RetryNewKey {
		return e
	}
	qualified := *e
	qualified.Ran = zinniasill.RanUnknown
	qualified.Retry = zinniasill.RetrySameKey
	return &qualified
}

// attemptsExhausted returns the error for a job whose last allowed attempt failed with
// lastErr.
func attemptsExhausted(key string, lastErr error) error {
	var refusal *RefusalError
	if errors.As(lastErr, &refusal) {
		return refusal
	}
	return outcomeUnknown(key, lastErr)
}

// shouldRetry reports whether to retry a refused submission under the same key. If the
// refusal says that the records of the job's epoch are lost or expired, but the job was
// never sent before, no earlier attempt can have run; job.Epoch is then replaced by a
// newer epoch.
func (c *Client) shouldRetry(refusal *RefusalError, job *Job, sent bool) bool {
	noRecord := refusal.Code == zinniasill.ReasonRecordLost || refusal.Code == zinniasill.ReasonKeyExpired
	if noRecord && !sent {
		c.mu.Lock()
		newer := c.epoch
		c.mu.Unlock()
		if newer > job.Epoch {
			job.Epoch = newer
			return true
		}
	}
	return refusal.Retry == zinniasill.RetrySameKey
}

// isOutOfService reports whether the entry refuses all jobs because it is shutting down
// or its lease has expired. The next job is then sent to another entry.
func isOutOfService(refusal *RefusalError) bool {
	return refusal.Code == zinniasill.ReasonShuttingDown || refusal.Code == zinniasill.ReasonLeaseExpired
}

// outcomeUnknown returns the error for a job whose outcome is unknown.
func outcomeUnknown(key string, cause error) error {
	return &RefusalError{
		Key: key, Retry: zinniasill.RetrySameKey,
		RefusalError: zinniasill.RefusalError{
			Code: zinniasill.ReasonOutcomeUnknown, Ran: zinniasill.RanUnknown,
			Message: fmt.Sprintf("no answer from any entry: %v", cause),
		},
	}
}

// retryAfter returns the delay before a retry that the refusal in err requests, or 0.
func retryAfter(err error) time.Duration {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return 0
}

// currentEntry returns the base URL of the entry that receives the next request.
func (c *Client) currentEntry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Entries[c.next%len(c.cfg.Entries)]
}

// rotateEntry directs the following requests to the next entry.
func (c *Client) rotateEntry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
}

// backOff waits before the next attempt: for minWait or half of an exponential backoff,
// whichever is longer, plus random jitter, so that clients refused at the same time do
// not retry at the same time. It does not wait after the last attempt.
func (c *Client) backOff(ctx context.Context, attempt int, minWait time.Duration) error {
	if attempt+1 >= c.cfg.Attempts {
		return nil
	}
	backoff := min(initialBackoff<<min(attempt, 10), maxBackoff)
	c.mu.Lock()
	jitter := time.Duration(c.cfg.Rand.Int64N(int64(backoff)))
	c.mu.Unlock()
	timer := time.NewTimer(max(minWait, backoff/2) + jitter)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
