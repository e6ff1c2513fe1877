package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// Defaults of Config.
const (
	DefaultAttemptWait = time.Second
	DefaultSilence     = 1500 * time.Millisecond
	DefaultAttempts    = 20
)

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	maxIdleConns = 256
)

// Config configures a Client. Entries and Team are required.
type Config struct {
	// Entries are the base URLs of the entries, or of the balancer before them.
	Entries []string
	Team    zinniasill.Team
	// AttemptWait is how long an entry is asked to wait for the answer before the
	// client asks again. Short waits find silent connections early.
	AttemptWait time.Duration
	// Silence is the time beyond AttemptWait without an answer after which a
	// connection is given up and the next entry is asked.
	Silence time.Duration
	// Attempts bounds the attempts that end without an answer from an entry or with
	// a refusal that may be retried. Waiting for a job in progress is not bounded
	// but by the context.
	Attempts int
	// Transport is used for the requests if set. It must not retry requests. TLS
	// returns one that presents a certificate.
	Transport http.RoundTripper
	// Rand is the source of the jitter, seeded at random if nil.
	Rand *rand.Rand
}

// Job is a job to submit.
type Job struct {
	// Key is the idempotency key, unique for this work within the team.
	Key     string
	Profile zinniasill.ProfileName
	// Tasks are the payloads.
	Tasks [][]byte
	// Epoch is the epoch in force when the job was first submitted. If 0, it is
	// asked for; a caller that resubmits a job after its own restart sets the value
	// that Stamp returned.
	Epoch zinniasill.Epoch
}

// Answer is the whole answer of a complete job.
type Answer struct {
	Key string
	// Outputs has one output for each task.
	Outputs [][]byte
}

// RefusalError is returned for a job that was refused or failed.
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

// Client submits jobs. It is safe for concurrent use. Use New.
type Client struct {
	cfg  Config
	http *http.Client

	mu    sync.Mutex
	epoch zinniasill.Epoch
	next  int
}

// New returns a client.
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
		transport.MaxIdleConnsPerHost = maxIdleConns
		cfg.Transport = transport
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: cfg.Transport}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Stamp returns the current epoch, for Job.Epoch.
func (c *Client) Stamp(ctx context.Context) (zinniasill.Epoch, error) {
	c.mu.Lock()
	known := c.epoch
	c.mu.Unlock()
	if known != 0 {
		return known, nil
	}
	var last error
	for attempt := range c.cfg.Attempts {
		epoch, err := c.askEpoch(ctx, c.entry())
		if err == nil && epoch != 0 {
			return epoch, nil
		}
		var refusal *RefusalError
		if errors.As(err, &refusal) {
			// The certificate lacks the right, which no attempt can change.
			return 0, err
		}
		last = err
		c.moveOn()
		if err := c.pause(ctx, attempt, 0); err != nil {
			return 0, err
		}
	}
	return 0, eris.Wrap(errors.Join(last, errNoEpoch), "ask for the current epoch")
}

var errNoEpoch = eris.New("no entry knows an epoch")

// Submit submits a job and returns its whole answer. It asks the entries in turn
// until one of them has the answer. The error is a *RefusalError when the job was
// refused or failed, and when its outcome could not be learned.
func (c *Client) Submit(ctx context.Context, job Job) (Answer, error) {
	// A stamp that the caller gives belongs to an earlier submission of the job.
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
	var last error
	for attempt := 0; attempt < c.cfg.Attempts; {
		reply, err := c.post(ctx, c.entry(), job, body)
		switch {
		case ctx.Err() != nil:
			return Answer{}, unknown(job.Key, ctx.Err())
		case err != nil:
			last = err
			sent = true
			c.moveOn()
		case reply.answer != nil:
			return *reply.answer, nil
		case reply.refusal == nil:
			sent = true
			continue // in progress
		case !c.again(reply.refusal, &job, sent):
			if isOutOfService(reply.refusal) {
				c.moveOn()
			}
			return Answer{}, reply.refusal
		default:
			last = reply.refusal
			sent = sent || reply.refusal.Ran != zinniasill.NotRun
			c.moveOn()
		}
		if err := c.pause(ctx, attempt, retryAfter(last)); err != nil {
			return Answer{}, unknown(job.Key, err)
		}
		attempt++
	}
	return Answer{}, exhausted(job.Key, last)
}

// exhausted returns the error of a submission whose last attempt failed with last.
func exhausted(key string, last error) error {
	var refusal *RefusalError
	if errors.As(last, &refusal) {
		return refusal
	}
	return unknown(key, last)
}

// again reports whether a refused submission is worth another attempt under the
// same key. A stamp whose record is lost proves nothing about a job that was never
// sent before; it is replaced by a newer one.
func (c *Client) again(refusal *RefusalError, job *Job, sent bool) bool {
	lost := refusal.Code == zinniasill.ReasonRecordLost || refusal.Code == zinniasill.ReasonKeyExpired
	if lost && !sent {
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

// isOutOfService reports whether a refusal says that the entry takes no jobs at
// present. The next job is then sent to another entry.
func isOutOfService(refusal *RefusalError) bool {
	return refusal.Code == zinniasill.ReasonShuttingDown || refusal.Code == zinniasill.ReasonLeaseExpired
}

// unknown is the error for a job whose outcome could not be learned.
func unknown(key string, cause error) error {
	return &RefusalError{
		Key: key, Retry: zinniasill.RetrySameKey,
		RefusalError: zinniasill.RefusalError{
			Code: zinniasill.ReasonOutcomeUnknown, Ran: zinniasill.RanUnknown,
			Message: fmt.Sprintf("no answer from any entry: %v", cause),
		},
	}
}

func retryAfter(err error) time.Duration {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return 0
}

// entry returns the entry to ask.
func (c *Client) entry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Entries[c.next%len(c.cfg.Entries)]
}

// moveOn makes the following requests ask the next entry.
func (c *Client) moveOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
}

// pause waits before the next attempt: at least least, and a random part of a
// doubling back-off, so that clients refused together do not return together. After
// the last attempt there is nothing to wait for.
func (c *Client) pause(ctx context.Context, attempt int, least time.Duration) error {
	if attempt+1 >= c.cfg.Attempts {
		return nil
	}
	backoff := min(firstBackoff<<min(attempt, 10), maxBackoff)
	c.mu.Lock()
	jitter := time.Duration(c.cfg.Rand.Int64N(int64(backoff)))
	c.mu.Unlock()
	timer := time.NewTimer(max(least, backoff/2) + jitter)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
