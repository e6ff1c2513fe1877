package job

import (
	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// refusalBackoff is the step of the back-off that spreads the retries of refused
// callers over about 80 ms.
const refusalBackoff = 5

// notRun is the answer for a job of which nothing ran.
func (c *Coordinator) notRun(r *record, reason zinniasill.Reason, text string) message.Answer {
	answer := message.Answer{Code: reason, Ran: zinniasill.NotRun, Retry: zinniasill.RetrySameKey, Message: text}
	switch reason {
	case zinniasill.ReasonUnknownProfile, zinniasill.ReasonTooLarge, zinniasill.ReasonBadRequest:
		answer.Retry = zinniasill.RetryNone
	case zinniasill.ReasonOverload, zinniasill.ReasonQuota, zinniasill.ReasonNoEndpoint, zinniasill.ReasonDeadline,
		zinniasill.ReasonRecordsFull:
		answer.RetryAfter = minRetryAfter + c.backoff(refusalBackoff)
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

// failed is the answer for a job of which something ran or may have run.
func (c *Coordinator) failed(r *record, reason zinniasill.Reason, ran zinniasill.Ran, text string) message.Answer {
	return message.Answer{Code: reason, Ran: ran, Retry: retryElsewhere(r.profile), Message: text}
}

// retryElsewhere is the advice when the key's work may have run.
func retryElsewhere(profile catalog.Profile) zinniasill.Retry {
	if profile.Repeat == catalog.RepeatResubmit {
		return zinniasill.RetryNewKey
	}
	return zinniasill.RetryNone
}

// unsettled is the answer when the key's state can't be found out at present. The
// same key may always be submitted again, since that starts nothing twice.
func unsettled(reason zinniasill.Reason, text string) message.Answer {
	return message.Answer{
		Code: reason, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetrySameKey, RetryAfter: minRetryAfter, Message: text,
	}
}

func keyReused() message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonKeyReused, Ran: zinniasill.NotRun, Retry: zinniasill.RetryNewKey,
		Message: "the key belongs to a job with another body",
	}
}

func keyExpired(profile catalog.Profile) message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonKeyExpired, Ran: zinniasill.RanUnknown, Retry: retryElsewhere(profile),
		Message: "the epoch of the key is no longer retained",
	}
}

func recordLost(profile catalog.Profile) message.Answer {
	return message.Answer{
		Code: zinniasill.ReasonRecordLost, Ran: zinniasill.RanUnknown, Retry: retryElsewhere(profile),
		Message: "an earlier claim group of the key has lost its majority",
	}
}

// claimsFull is the answer when the key can't be decided for want of room. A member
// of the group may hold the claim already, so that another entry may run the job.
func claimsFull() message.Answer {
	return unsettled(zinniasill.ReasonRecordsFull, "the agents that hold the claim keep no more records")
}

// refusedForGood is the answer of a key whose register holds a final refusal.
func refusedForGood(reason zinniasill.Reason) message.Answer {
	return message.Answer{
		Code: reason, Ran: zinniasill.NotRun, Retry: zinniasill.RetryNewKey,
		Message: "the key was refused and stays refused",
	}
}

func answerEvicted() *message.Answer {
	return &message.Answer{
		Code: zinniasill.ReasonAnswerEvicted, Ran: zinniasill.DidRun, Retry: zinniasill.RetryNone,
		Message: "the job completed and its answer is no longer kept",
	}
}
