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
	// Tasks is the number of tasks, 0 if it is not known, and Finished how many of
	// them have ended.
	Tasks    int `json:"tasks"`
	Finished int `json:"finished"`
	// Outputs has one output for each task of a complete job.
	Outputs [][]byte `json:"outputs,omitempty"`
}

// Status asks the entries in turn for a job until one of them knows it. The error is
// a *RefusalError when the job was refused or has failed, and with the code not-found
// when no entry that answers has a record of it.
func (c *Client) Status(ctx context.Context, key string) (Status, error) {
	return c.inquire(ctx, http.MethodGet, key)
}

// Cancel asks the entries in turn to cancel a job, until one of them knows it. Tasks
// that have started run to their end. The error is as for Status.
func (c *Client) Cancel(ctx context.Context, key string) error {
	_, err := c.inquire(ctx, http.MethodDelete, key)
	return err
}

func (c *Client) inquire(ctx context.Context, method, key string) (Status, error) {
	path := "/v1/jobs/" + url.PathEscape(key) + "?team=" + url.QueryEscape(string(c.cfg.Team))
	var last error
	for range c.cfg.Entries {
		status, err := c.inquireAt(ctx, method, c.entry(), path, key)
		if err == nil || ctx.Err() != nil || isFinal(err) {
			return status, err
		}
		last = err
		c.moveOn()
	}
	return Status{}, last
}

func (c *Client) inquireAt(ctx context.Context, method, entry, path, key string) (Status, error) {
	request, err := http.NewRequest(method, entry+path, nil)
	if err != nil {
		return Status{}, eris.Wrapf(err, "ask %s for job %s", entry, key)
	}
	code, answer, err := c.do(ctx, request, c.cfg.Silence)
	switch {
	case err != nil:
		return Status{}, eris.Wrapf(err, "ask %s for job %s", entry, key)
	case answer.Code != "":
		return Status{}, answer.refusal(key)
	case code != http.StatusOK && code != http.StatusAccepted || answer.Key != key:
		return Status{}, eris.Errorf("ask %s for job %s: status %d, answer for job %q", entry, key, code, answer.Key)
	default:
		return Status{
			Key: key, State: answer.State, Tasks: answer.Tasks, Finished: answer.Finished, Outputs: answer.Outputs,
		}, nil
	}
}

// isFinal reports whether the answer of one entry holds for all of them: the job has
// ended, or the caller has no right to ask.
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
