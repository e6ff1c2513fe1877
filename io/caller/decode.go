package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/io/httpserver"
)

const (
	// taskBytes is the memory of a task without its payload while it is decoded: its span
	// and its fields.
	taskBytes = 256
	// requestBytes is the memory of a request without its payloads.
	requestBytes = 4 << 10
	// maxFields is the number of fields of a job from which it is not decoded. The largest
	// legal job has a field for each task and those of the job.
	maxFields = 2 * message.MaxTasks
)

// validateShape refuses a body that is too large once it is decoded. A body within the limit
// can have four million tasks.
func validateShape(shape httpserver.JSONShape) *message.Answer {
	switch {
	case shape.Elements > message.MaxTasks:
		return invalidRequest(zinniasill.ReasonTooLarge, tooManyTasks(shape.Elements))
	case shape.Fields > maxFields || shape.InnerElements > maxFields:
		return invalidRequest(zinniasill.ReasonTooLarge, fmt.Sprintf("the body has more than %d fields or elements", maxFields))
	default:
		return nil
	}
}

// tooManyTasks describes a number of tasks above the limit.
func tooManyTasks(count int64) string {
	return fmt.Sprintf("tasks: %d tasks are more than %d", count, message.MaxTasks)
}

// span is a JSON value that refers to the text it is part of. json.RawMessage would copy the
// value, and json.Decoder copies its input into a buffer of up to twice its size.
type span []byte

// UnmarshalJSON implements json.Unmarshaler.
func (s *span) UnmarshalJSON(data []byte) error {
	*s = data
	return nil
}

// decodeJob decodes a job, which must be the only value in data. Unknown fields are an error.
func decodeJob(data []byte) (Job, error) {
	var job Job
	var tasks []span
	err := decodeFields(data, map[string]any{
		"profile": &job.Profile, "team": &job.Team, "tasks": &tasks, "wait": &job.Wait,
	})
	if err != nil {
		return Job{}, err
	}
	if tasks != nil {
		job.Tasks = make([]Task, len(tasks))
	}
	for i, text := range tasks {
		if err := decodeFields(text, map[string]any{"payload": &job.Tasks[i].Payload}); err != nil {
			return Job{}, eris.Wrapf(err, "tasks[%d]", i)
		}
	}
	return job, nil
}

// decodeFields decodes an object, or null, into targets by the names of its fields. As in
// encoding/json, upper and lower case are the same.
func decodeFields(data []byte, targets map[string]any) error {
	var fields map[string]span
	if err := json.Unmarshal(data, &fields); err != nil {
		return positioned(err)
	}
	decoded := map[string]bool{}
	for name, value := range fields {
		known := strings.ToLower(name)
		target, ok := targets[known]
		if !ok {
			return eris.Errorf("unknown field %.80q", name)
		}
		if decoded[known] {
			return eris.Errorf("field %q is given in upper and in lower case", known)
		}
		decoded[known] = true
		if err := json.Unmarshal(value, target); err != nil {
			return eris.Wrapf(err, "field %q", known)
		}
	}
	return nil
}

// positioned adds the place in the body to a syntax error. The body is checked as a whole
// before any part of it is decoded.
func positioned(err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	if strings.Contains(err.Error(), "after top-level value") {
		return eris.Errorf("at byte %d: more data after the job", syntax.Offset)
	}
	return eris.Errorf("at byte %d: %s", syntax.Offset, err.Error())
}
