package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// Status describes a job that has not failed.
type Status struct {
	Key string `json:"key"`
	// State is in-progress, cancelling or complete.
	State string `json:"state"`
	// Tasks is the number of tasks, or 0 if it is unknown. Finished is the number of
	// tasks that have finished.
	Tasks    int `json:"tasks"`
	Finished int `json:"finished"`
	// Outputs holds one output for each task if the job is complete.
	Outputs [][]byte `json:"outputs,omitempty"`
}

// Status queries the entries in turn until one of them has a record of the job. The
// error is a *RefusalError if the job was refused or has failed. Its code is not-found
// if no entry that answers has a record of the job.
func (c *Client) Status(ctx context.Context, key string) (Status, error) {
	return c.query(ctx, http.MethodGet, key)
}

// Cancel requests the cancellation of a job from the entries in turn, until one of them
// has a record of it. Tasks that have started run to completion. Errors are as for
// Status.
func (c *Client) Cancel(ctx context.Context, key string) error {
	_, err := c.query(ctx, http.MethodDelete, key)
	return err
}

// query sends a request about a job to the entries in turn until one gives a final
// answer.
func (c *Client) query(ctx context.Context, method, key string) (Status, error) {
	path := "/v1/jobs/" + url.PathEscape(key) + "?team=" + url.QueryEscape(string(c.cfg.Team))
	var lastErr error
	for range c.cfg.Entries {
		status, err := c.queryEntry(ctx, method, c.currentEntry(), path, key)
		if err == nil || ctx.Err() != nil || isFinal(err) {
			return status, err
		}
		lastErr = err
		c.rotateEntry()
	}
	return Status{}, lastErr
}

// queryEntry sends a request about a job to one entry.
func (c *Client) queryEntry(ctx context.Context, method, entry, path, key string) (Status, error) {
	request, err := http.NewRequest(method, entry+path, nil)
	if err != nil {
		return Status{}, eris.Wrapf(err, "query %s for job %s", entry, key)
	}
	code, answer, err := c.do(ctx, request, c.cfg.Silence)
	switch {
	case err != nil:
		return Status{}, eris.Wrapf(err, "query %s for job %s", entry, key)
	case answer.Code != "":
		return Status{}, answer.refusal(key)
	case code != http.StatusOK && code != http.StatusAccepted || answer.Key != key:
		return Status{}, eris.Errorf("query %s for job %s: status %d, answer for job %q", entry, key, code, answer.Key)
	default:
		return Status{
			Key: key, State: answer.State, Tasks: answer.Tasks, Finished: answer.Finished, Outputs: answer.Outputs,
		}, nil
	}
}

// isFinal reports whether a refusal by one entry holds for all of them, for example
// because the job has failed or the caller lacks the required right.
func isFinal(err error) bool {
	var refusal *RefusalError
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Code {
	case zinniasill.ReasonNotFound, zinniasill.ReasonBusy, zinniasill.ReasonShuttingDown:
		return false
	default:
		return true
	}
}
