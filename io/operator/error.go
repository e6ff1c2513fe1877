package operator

import (
	"net/http"

	"zinniasill"
	"zinniasill/core/control"
)

// Code identifies the kind of an error.
type Code string

// Values of Code. Codes of package control are passed on unchanged.
const (
	CodeBadRequest Code = "bad-request"
	CodeTooLarge   Code = "too-large"
	CodeNotFound   Code = "not-found"
	CodeConflict   Code = Code(control.CodeConflict)
	// CodeUnavailable means that a read was not confirmed by a majority.
	CodeUnavailable Code = "unavailable"
	// CodeOutcomeUnknown means that a change may have been accepted. It is safe to resend it
	// with the same request id.
	CodeOutcomeUnknown Code = "outcome-unknown"
	// CodeInternal means that the replica had an internal error.
	CodeInternal Code = "internal"
)

// Error is the response body of all errors.
type Error struct {
	// Status is the HTTP status code.
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// CurrentRevision is the revision of the object after a revision conflict. In that case
	// 0 means that the object does not exist.
	CurrentRevision zinniasill.Revision   `json:"current-revision,omitempty"`
	Findings        control.FindingErrors `json:"findings,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// retryable reports whether the same request may succeed on another replica.
func (e *Error) retryable() bool {
	return e.Code == CodeUnavailable || e.Code == CodeOutcomeUnknown
}

func invalid(findings control.FindingErrors) *Error {
	return &Error{
		Status:   http.StatusBadRequest,
		Code:     CodeBadRequest,
		Message:  findings.Error(),
		Findings: findings,
	}
}

func unavailable(err error) *Error {
	return &Error{
		Status:  http.StatusServiceUnavailable,
		Code:    CodeUnavailable,
		Message: "read the configuration: " + err.Error(),
	}
}

func outcomeUnknown(err error) *Error {
	return &Error{
		Status:  http.StatusServiceUnavailable,
		Code:    CodeOutcomeUnknown,
		Message: "the change may have been accepted, send it again with the same request-id: " + err.Error(),
	}
}

// refusedChange returns the error for a command that was refused or could not be applied.
func refusedChange(result control.Result) *Error {
	switch {
	case result.Err != nil:
		return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: result.Err.Error()}
	case result.Code == control.CodeInvalid:
		return invalid(result.Findings)
	case result.Code == control.CodeConflict:
		return &Error{
			Status:          http.StatusConflict,
			Code:            CodeConflict,
			Message:         "the object was changed since base-revision",
			CurrentRevision: result.Revision,
		}
	case result.Code == control.CodeRequestReused:
		return &Error{
			Status:  http.StatusConflict,
			Code:    Code(result.Code),
			Message: "the request-id belongs to another change",
		}
	default:
		return &Error{Status: http.StatusConflict, Code: Code(result.Code), Message: "the change was refused"}
	}
}
