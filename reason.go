package zinniasill

// Reason is the reason why a job or a task was refused or failed. The values are part of
// the HTTP interface and of the metrics.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonUnknownProfile Reason = "unknown-profile"
	ReasonBadRequest     Reason = "bad-request"
	ReasonTooLarge       Reason = "too-large"
	ReasonKeyReused      Reason = "key-reused"
	ReasonEpochRequired  Reason = "epoch-required"
	ReasonKeyExpired     Reason = "key-expired"
	ReasonRecordLost     Reason = "record-lost"
	ReasonOverload       Reason = "overload"
	ReasonQuota          Reason = "quota"
	ReasonNoEndpoint     Reason = "no-endpoint"
	ReasonLeaseExpired   Reason = "lease-expired"
	ReasonShuttingDown   Reason = "shutting-down"
	ReasonDeadline       Reason = "deadline"
	ReasonTaskFailed     Reason = "task-failed"
	ReasonCancelled      Reason = "cancelled"
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	ReasonSuperseded     Reason = "superseded"
	ReasonBusy           Reason = "busy"
	ReasonNotFound       Reason = "not-found"
	ReasonAnswerEvicted  Reason = "answer-evicted"
	ReasonRecordsFull    Reason = "records-full"
	ReasonDomainOut      Reason = "domain-out"
	ReasonLeaving        Reason = "leaving"
	ReasonWithdrawn      Reason = "withdrawn"
	// ReasonEndpointLost means that the endpoint crashed while it was known to run the
	// task. ReasonEndpointLeft means that it shut down as announced.
	ReasonEndpointLost Reason = "endpoint-lost"
	ReasonEndpointLeft Reason = "endpoint-left"
)

// Ran states whether the work of a refused or failed job ran.
type Ran string

// Values of Ran.
const (
	// NotRun means that no task has started and none will.
	NotRun Ran = "not-run"
	// DidRun means that at least one task started and that all outcomes are known.
	DidRun Ran = "ran"
	// RanUnknown means that a task may have started.
	RanUnknown Ran = "unknown"
)

// Retry states how a caller may retry after a refusal or failure.
type Retry string

// Values of Retry.
const (
	// RetrySameKey means that the same submission may be resent under the same key.
	RetrySameKey Retry = "same-key"
	// RetryNewKey means that the outcome for this key is final; the work may be
	// submitted under a new key.
	RetryNewKey Retry = "new-key"
	// RetryNone means that a retry cannot succeed or is not safe.
	RetryNone Retry = "none"
)

// RefusalError is the error for a job that was refused or failed.
type RefusalError struct {
	Code    Reason
	Ran     Ran
	Message string
}

// Error implements error.
func (r *RefusalError) Error() string {
	return string(r.Code) + " (" + string(r.Ran) + "): " + r.Message
}
