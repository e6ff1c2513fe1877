// Package admission decides whether an entry admits a job, and limits its retries.
//
//	times := admission.NewRunTimes()
//	estimate := admission.Estimate{Load: load, Tasks: 3, RunTime: times.Expect(profile)}
//	if !estimate.Fits(profile.AnswerWithin) {
//		// refuse the job as overload
//	}
package admission

import (
	"math/rand/v2"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Estimation of run times.
const (
	// minSampleWeight is the weight of a new run time in the moving average once there
	// are 1/minSampleWeight samples. Before, all samples have the same weight.
	minSampleWeight = 0.1
	// learnedThreshold is the number of run times from which the average replaces the
	// declared run time.
	learnedThreshold = 8
	// declaredErrorFactor is the factor by which declared run times may be too long.
	declaredErrorFactor = 10
)

// waitMarginFactor is the factor by which the wait at one agent may exceed the mean wait
// at all agents. Without it, jobs are admitted until the mean wait reaches the limit, and
// about half of them miss their deadlines after their tasks have started.
const waitMarginFactor = 2

// RunTime is an estimate of the run time of a profile's tasks.
type RunTime struct {
	// Mean is the expected run time.
	Mean time.Duration
	// Learned is set if Mean is the average of finished tasks rather than the declared
	// run time of the profile.
	Learned bool
}

// RunTimes estimates the run times of profiles from finished tasks. Use NewRunTimes.
type RunTimes struct {
	profiles map[zinniasill.ProfileName]*movingAverage
}

// movingAverage is an exponential moving average of run times in nanoseconds.
type movingAverage struct {
	mean    float64
	samples int
}

// NewRunTimes returns RunTimes without samples.
func NewRunTimes() *RunTimes {
	return &RunTimes{profiles: map[zinniasill.ProfileName]*movingAverage{}}
}

// maxRunTime is the longest run time that is observed. The answer to a longer run has no
// caller.
const maxRunTime = 10 * time.Minute

// Observe adds the run time of one finished task.
func (r *RunTimes) Observe(profile zinniasill.ProfileName, took time.Duration) {
	took = min(max(took, 0), maxRunTime)
	a := r.profiles[profile]
	if a == nil {
		a = &movingAverage{}
		r.profiles[profile] = a
	}
	a.samples++
	weight := max(minSampleWeight, 1/float64(a.samples))
	a.mean += weight * (float64(took) - a.mean)
}

// Expect returns the expected run time of a task of the profile.
func (r *RunTimes) Expect(profile catalog.Profile) RunTime {
	a := r.profiles[profile.Name]
	if a == nil || a.samples < learnedThreshold {
		return RunTime{Mean: profile.ExpectedRunTime}
	}
	return RunTime{Mean: time.Duration(a.mean), Learned: true}
}

// Load is the total load of the agents that are eligible for a job.
type Load struct {
	Slots int
	// Free is the number of slots not in use.
	Free int
	// Backlog is the queued work ahead of the job, as the sum of expected run times.
	Backlog time.Duration
}

// Estimate predicts when a job completes.
type Estimate struct {
	Load    Load
	Tasks   int
	RunTime RunTime
}

// Completion returns the expected time until the last task finishes.
func (e Estimate) Completion() time.Duration {
	slots := time.Duration(max(e.Load.Slots, 1))
	if e.Tasks <= e.Load.Free {
		return e.RunTime.Mean
	}
	own := e.RunTime.Mean * time.Duration(e.Tasks-1) / slots
	return e.Load.Backlog/slots + own + e.RunTime.Mean
}

// Fits reports whether the job is expected to complete within the limit. A job is
// always admitted if there is a free slot for each task: refusing it because of its run
// time would prevent the samples that correct a wrong run time.
func (e Estimate) Fits(limit time.Duration) bool {
	if e.Tasks <= e.Load.Free {
		return true
	}
	if !e.RunTime.Learned {
		e.RunTime.Mean /= declaredErrorFactor
		e.Load.Backlog /= declaredErrorFactor
	}
	return e.Completion()+e.margin() <= limit
}

// margin returns by how much the wait at one agent may exceed the mean wait that
// Completion includes.
func (e Estimate) margin() time.Duration {
	return e.Load.Backlog / time.Duration(max(e.Load.Slots, 1)) * (waitMarginFactor - 1)
}

// Slack returns how much later than expected the job may complete without exceeding
// the limit.
func (e Estimate) Slack(limit time.Duration) time.Duration {
	return max(0, limit-e.Completion()-e.margin())
}

// Quotas counts the tasks in flight of each team at one entry. Use NewQuotas.
type Quotas struct {
	inFlight map[zinniasill.Team]int
}

// NewQuotas returns Quotas without tasks in flight.
func NewQuotas() *Quotas {
	return &Quotas{inFlight: map[zinniasill.Team]int{}}
}

// Share returns the share of a quota that each entry may use: quota / entries, rounded
// up.
func Share(quota, entries int) int {
	entries = max(entries, 1)
	return (quota + entries - 1) / entries
}

// Allows reports whether a number of further tasks fits into the team's share at this
// entry. A quota of 0 means no limit.
func (q *Quotas) Allows(team zinniasill.Team, tasks, quota, entries int) bool {
	return quota == 0 || q.inFlight[team]+tasks <= Share(quota, entries)
}

// Add counts admitted tasks of a team as in flight.
func (q *Quotas) Add(team zinniasill.Team, tasks int) {
	q.inFlight[team] += tasks
}

// Remove removes tasks that were counted with Add.
func (q *Quotas) Remove(team zinniasill.Team, tasks int) {
	q.inFlight[team] -= tasks
	if q.inFlight[team] <= 0 {
		delete(q.inFlight, team)
	}
}

// Retry limits.
const (
	// retryRatio is the number of retry tokens that each first attempt earns.
	retryRatio = 0.1
	// maxRetryTokens is the capacity of the token bucket.
	maxRetryTokens = 100
	// initialRetryTokens is the initial number of tokens, so that an entry with little
	// traffic can retry.
	initialRetryTokens = 10
)

// RetryBudget is a token bucket that limits retries to a tenth of the first attempts.
// Without it, a fault would multiply the load while capacity is reduced.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget with initialRetryTokens tokens.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: initialRetryTokens}
}

// Earn adds the tokens that one first attempt earns.
func (b *RetryBudget) Earn() {
	b.tokens = min(maxRetryTokens, b.tokens+retryRatio)
}

// Spend takes the token for one retry. It returns false when there is none.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Back-off limits.
const (
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Backoff returns the time to wait before retry n, counted from 1. It doubles with each
// retry up to 500 ms, and half of it is random jitter.
func Backoff(random *rand.Rand, n int) time.Duration {
	wait := maxBackoff
	if n < 8 {
		wait = min(maxBackoff, baseBackoff<<max(n-1, 0))
	}
	half := wait / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
