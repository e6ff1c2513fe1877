// Package admission decides whether an entry takes a job, and how often it tries
// again.
//
//	times := admission.NewRunTimes()
//	estimate := admission.Estimate{Load: load, Tasks: 3, RunTime: times.Expect(profile)}
//	if !estimate.Fits(profile.AnswerWithin) {
//		// refuse with overload
//	}
package admission

import (
	"math/rand/v2"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Learning of run times.
const (
	// learnWeight is the weight of a new run time in the moving average.
	learnWeight = 0.1
	// learnedAfter is the number of run times after which the average replaces the
	// declared time.
	learnedAfter = 8
	// declaredError is the factor by which declared run times may be wrong.
	declaredError = 10
)

// waitMargin is the factor by which the wait at one agent may exceed the mean of
// all agents. Without it jobs are taken until the mean wait is the limit; about half
// of them then miss their deadlines after their tasks have started.
const waitMargin = 2

// RunTime is what is known of the run time of a profile's tasks.
type RunTime struct {
	// Mean is the expected run time.
	Mean time.Duration
	// Learned is false while only the declared time is known.
	Learned bool
}

// RunTimes learns the run times of profiles. Use NewRunTimes.
type RunTimes struct {
	profiles map[zinniasill.ProfileName]*average
}

type average struct {
	mean    float64
	samples int
}

// NewRunTimes returns run times without measurements.
func NewRunTimes() *RunTimes {
	return &RunTimes{profiles: map[zinniasill.ProfileName]*average{}}
}

// Observe adds the run time of one finished task.
func (r *RunTimes) Observe(profile zinniasill.ProfileName, took time.Duration) {
	a := r.profiles[profile]
	if a == nil {
		a = &average{}
		r.profiles[profile] = a
	}
	a.samples++
	weight := max(learnWeight, 1/float64(a.samples))
	a.mean += weight * (float64(took) - a.mean)
}

// Expect returns the expected run time of a task of the profile.
func (r *RunTimes) Expect(profile catalog.Profile) RunTime {
	a := r.profiles[profile.Name]
	if a == nil || a.samples < learnedAfter {
		return RunTime{Mean: profile.ExpectedRunTime}
	}
	return RunTime{Mean: time.Duration(a.mean), Learned: true}
}

// Load is the state of the agents that are eligible for a job.
type Load struct {
	Slots int
	// Free is the number of slots not in use.
	Free int
	// Backlog is the work queued ahead of the job.
	Backlog time.Duration
}

// Estimate predicts the completion of a job.
type Estimate struct {
	Load    Load
	Tasks   int
	RunTime RunTime
}

// Completion returns the expected time until the last task has finished.
func (e Estimate) Completion() time.Duration {
	slots := time.Duration(max(e.Load.Slots, 1))
	if e.Tasks <= e.Load.Free {
		return e.RunTime.Mean
	}
	own := e.RunTime.Mean * time.Duration(e.Tasks-1) / slots
	return e.Load.Backlog/slots + own + e.RunTime.Mean
}

// Fits reports whether the job is expected to complete within the limit. A job
// that finds a free slot for each task is always taken: refusing it for its run
// time alone would stop the learning that corrects a wrong run time.
func (e Estimate) Fits(limit time.Duration) bool {
	if e.Tasks <= e.Load.Free {
		return true
	}
	if !e.RunTime.Learned {
		e.RunTime.Mean /= declaredError
		e.Load.Backlog /= declaredError
	}
	return e.Completion()+e.margin() <= limit
}

// margin is the time beyond Completion that the wait at one agent may take.
func (e Estimate) margin() time.Duration {
	return e.Load.Backlog / time.Duration(max(e.Load.Slots, 1)) * (waitMargin - 1)
}

// Slack returns how much later than expected the job may complete and still be
// within the limit.
func (e Estimate) Slack(limit time.Duration) time.Duration {
	return max(0, limit-e.Completion()-e.margin())
}

// Quotas counts the tasks in flight of each team at one entry.
type Quotas struct {
	inFlight map[zinniasill.Team]int
}

// NewQuotas returns quotas without tasks.
func NewQuotas() *Quotas {
	return &Quotas{inFlight: map[zinniasill.Team]int{}}
}

// Share returns an entry's share of a quota: quota / entries, rounded up.
func Share(quota, entries int) int {
	entries = max(entries, 1)
	return (quota + entries - 1) / entries
}

// Allows reports whether tasks more fit into the team's share at this entry. A
// quota of 0 means no limit.
func (q *Quotas) Allows(team zinniasill.Team, tasks, quota, entries int) bool {
	return quota == 0 || q.inFlight[team]+tasks <= Share(quota, entries)
}

// Add counts tasks of a team that were admitted.
func (q *Quotas) Add(team zinniasill.Team, tasks int) {
	q.inFlight[team] += tasks
}

// Remove ends the count of tasks that were counted with Add.
func (q *Quotas) Remove(team zinniasill.Team, tasks int) {
	q.inFlight[team] -= tasks
	if q.inFlight[team] <= 0 {
		delete(q.inFlight, team)
	}
}

// Retry limits.
const (
	// retryRatio is the number of retries that each first attempt earns.
	retryRatio = 0.1
	// retryBurst bounds the retries that can be saved up.
	retryBurst = 100
	// retryFloor is the initial balance, so that a quiet entry can retry.
	retryFloor = 10
)

// RetryBudget is a token bucket that bounds retries to a tenth of the first attempts.
// Without it a fault multiplies the load just when capacity is missing.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget with a few retries to spend.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryFloor}
}

// Earn adds the share of one first attempt.
func (b *RetryBudget) Earn() {
	b.tokens = min(retryBurst, b.tokens+retryRatio)
}

// Spend takes one retry. It returns false when the budget is used up.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Back-off limits.
const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Backoff returns the time to wait before retry number n, from 1. It doubles with
// each retry up to 500 ms, and half of it is random so that retries spread.
func Backoff(random *rand.Rand, n int) time.Duration {
	wait := backoffMax
	if n < 8 {
		wait = min(backoffMax, backoffBase<<max(n-1, 0))
	}
	half := wait / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
