package job

import (
	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// refusalBackoffAttempt selects a back-off of at most 80 ms, which spreads the retries of
// refused callers.
const refusalBackoffAttempt = 5

// notRunAnswer returns the answer to a job of which nothing ran.
func (c *Coordinator) notRunAnswer(r *record, reason zinniasill.Reason, text string) message.Answer {
	answer := message.Answer{Code: reason, Ran: zinniasill.NotRun, Retry: zinniasill.RetrySameKey, Message: text}
	switch reason {
	case zinniasill.ReasonUnknownProfile, zinniasill.ReasonTooLarge, zinniasill.ReasonBadRequest:
		answer.Retry = zinniasill.RetryNone
	case zinniasill.ReasonOverload, zinniasill.ReasonQuota, zinniasill.ReasonNoEndpoint, zinniasill.ReasonDeadline,
		zinniasill.ReasonRecordsFull:
		answer.RetryAfter = minRetryAfter + c.backoff(refusalBackoffAttempt)
	default:
	}
	if text == "" {
		answer.Message = refusalText(reason, r.profile.Name)
	}
	return answer
}

func refusalText(reason zinniasill.Reason, profile zinniasill.ProfileName) string {
	switch reason {
	case zinniasill.ReasonUnknownProfile:
		return "there is no profile " + string(profile)
	case zinniasill.ReasonOverload:
		return "the job is not expected to complete in time"
	case zinniasill.ReasonQuota:
		return "the team has too many tasks in flight"
	case zinniasill.ReasonNoEndpoint:
		return "no endpoint in service serves profile " + string(profile)
	case zinniasill.ReasonRecordsFull:
		return "the entry keeps no more records of jobs"
	case zinniasill.ReasonLeaseExpired:
		return "the entry is cut off from control"
	case zinniasill.ReasonShuttingDown:
		return "the entry is shutting down"
	case zinniasill.ReasonEpochRequired:
		return "profile " + string(profile) + " requires an epoch stamp"
	case zinniasill.ReasonTooLarge:
		return "the job has more tasks than profile " + string(profile) + " allows"
	default:
		return ""
	}
}

// failedAnswer returns the answer to a job of which something ran or may have run.
func (c *Coordinator) failedAnswer(r *record, reason zinniasill.Reason, ran zinniasill.Ran, text string) message.Answer {
	return message.Answer{Code: reason, Ran: ran, Retry: retryAdvice(r.profile), Message: text}
}

// retryAdvice returns the retry advice for a job of which something may have run.
func retryAdvice(profile catalog.Profile) zinniasill.Retry {
	if profile.Repeat == catalog.RepeatResubmit {
		return zinniasill.RetryNewKey
	}
	return zinniasill.RetryNone
}

// undecidedAnswer returns the answer to a job whose outcome cannot be determined at
// present. The same key can always be resubmitted, since that starts no task twice.
func undecidedAnswer(reason zinniasill.Reason, text string) message.Answer {
	return message.Answer{
		Code: reason, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetrySameKey, RetryAfter: minRetryAfter, Message: text,
	}
}

func keyReusedAnswer() message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonKeyReused, Ran: zinniasill.NotRun, Retry: zinniasill.RetryNewKey,
		Message: "the key belongs to a job with another body",
	}
}

func keyExpiredAnswer(profile catalog.Profile) message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonKeyExpired, Ran: zinniasill.RanUnknown, Retry: retryAdvice(profile),
		Message: "the epoch of the key is no longer retained",
	}
}

func recordLostAnswer(profile catalog.Profile) message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonRecordLost, Ran: zinniasill.RanUnknown, Retry: retryAdvice(profile),
		Message: "an earlier claim group of the key has lost its majority",
	}
}

// claimsFullAnswer returns the answer to a key that cannot be decided because the claim
// group has no free capacity for records. A member of the group may hold the claim
// already, so another entry may still run the job.
func claimsFullAnswer() message.Answer {
	return undecidedAnswer(zinniasill.ReasonRecordsFull, "the agents that hold the claim keep no more records")
}

// finalRefusalAnswer returns the answer to a key whose register holds a final refusal.
func finalRefusalAnswer(reason zinniasill.Reason) message.Answer {
	return message.Answer{
		Code: reason, Ran: zinniasill.NotRun, Retry: zinniasill.RetryNewKey,
		Message: "the key was refused and stays refused",
	}
}

func answerEvictedAnswer() *message.Answer {
	return &message.Answer{
		Code: zinniasill.ReasonAnswerEvicted, Ran: zinniasill.DidRun, Retry: zinniasill.RetryNone,
		Message: "the job completed and its answer is no longer kept",
	}
}
