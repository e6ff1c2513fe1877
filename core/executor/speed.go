package executor

import (
	"math"
	"slices"
	"time"

	"zinniasill/core/message"
)

const (
	// minSpeedRuns is the number of runs from which an estimate is reported. It starts with
	// their median, which a few long runs among them do not change much.
	minSpeedRuns = 8
	// speedDrift is by how much the variance of an estimate grows in a second, since the
	// speed may change. An endpoint that gets no work because it was slow is thus tried
	// again after some minutes. With 20 jobs a second, the estimate covers about the last
	// hundred jobs, so that a fault that lasts for seconds changes it little.
	speedDrift = 0.0003
	// maxMeanVariance is the highest variance of an estimate, so that it is retained while
	// the endpoint is idle. A ratio of 2.5 is then still about as much as the uncertainty
	// that entries allow for.
	maxMeanVariance = 0.3 * 0.3
	// medianVariance is the ratio of the variance of the median of the first runs to that
	// of one run.
	medianVariance = 1.57 / minSpeedRuns
	// speedVariance is the variance of the logarithm of the ratio that is assumed first:
	// estimates are rough.
	speedVariance = 0.4 * 0.4
	// minSpeedVariance is the least variance that is assumed, since run times also include
	// the delay until completions are read.
	minSpeedVariance = 0.1 * 0.1
	// outlierDistance is the difference of logarithms, a factor of 3, from which a run does
	// not count: such a run, or a fault, tells nothing about the speed.
	outlierDistance = 1.1
	// changedRuns is the number by which outliers must exceed other runs to show that the
	// estimate is wrong.
	changedRuns = 16
	// slowChangeTime is the time for which that must last if the outliers are slower than
	// the estimate. Faults are shorter. Nothing makes an endpoint faster than it is, so a
	// change to faster counts at once.
	slowChangeTime = 30 * time.Second
	// minSpeedEstimate is the shortest estimate of a run that counts. Of shorter runs, the
	// time until their completion is read is a large part.
	minSpeedEstimate = 20 * time.Millisecond
	// recentJobs is the number of jobs whose further runs do not count.
	recentJobs = 64
	// minSpeedRatio limits how short a run counts as, since its logarithm is unbounded.
	minSpeedRatio = 0.01
)

// speed estimates the lasting ratio of run time to estimate at one incarnation of an
// endpoint. Unlike the slowdown, it does not change while the endpoint is idle, only
// becomes less certain, and a fault changes it little.
type speed struct {
	// first are the logarithms of the ratios of the first runs, until there are
	// minSpeedRuns.
	first []float64
	// mean and variance are those of the logarithms of the ratios of the runs that count.
	// meanVariance is the variance of the mean itself at the time of the last of them.
	mean, variance, meanVariance float64
	runs                         int
	lastRunAt                    time.Time
	// slower and faster are the numbers by which outliers on that side exceed other runs,
	// slowerSince is the time since when there have been slower ones.
	slower, faster int
	slowerSince    time.Time
	// jobs are the jobs of the last runs that counted, and nextJob is where the next one is
	// stored.
	jobs    [recentJobs]string
	nextJob int
}

// add counts a completed run of a task of a job. Of each job, one run counts: the estimates
// of its tasks have the same error, so further ones add no certainty.
func (sp *speed) add(now time.Time, job string, took, estimate time.Duration) {
	if estimate < minSpeedEstimate || slices.Contains(sp.jobs[:], job) {
		return
	}
	sp.jobs[sp.nextJob] = job
	sp.nextJob = (sp.nextJob + 1) % recentJobs
	value := math.Log(max(float64(took)/float64(estimate), minSpeedRatio))
	if sp.runs < minSpeedRuns {
		sp.addFirst(now, value)
		return
	}
	distance := value - sp.mean
	sp.countOutlier(now, distance)
	switch {
	case sp.faster >= changedRuns, sp.slower >= changedRuns && now.Sub(sp.slowerSince) >= slowChangeTime:
		*sp = speed{}
	case math.Abs(distance) < outlierDistance:
		sp.update(now, distance)
	}
}

// update counts a run that differs from the mean by distance.
func (sp *speed) update(now time.Time, distance float64) {
	meanVariance := sp.meanVarianceAt(now)
	weight := meanVariance / (meanVariance + sp.variance)
	sp.mean += distance * weight
	sp.meanVariance = meanVariance * (1 - weight)
	sp.variance += (distance*distance - sp.variance) * min(weight, 1.0/minSpeedRuns)
	sp.variance = max(sp.variance, minSpeedVariance)
	sp.runs++
	sp.lastRunAt = now
}

// meanVarianceAt returns the variance of the mean, which grows while no run is counted.
func (sp *speed) meanVarianceAt(now time.Time) float64 {
	idle := max(now.Sub(sp.lastRunAt).Seconds(), 0)
	return min(sp.meanVariance+speedDrift*idle, maxMeanVariance)
}

func (sp *speed) addFirst(now time.Time, value float64) {
	sp.first = append(sp.first, value)
	sp.runs++
	if sp.runs < minSpeedRuns {
		return
	}
	slices.Sort(sp.first)
	sp.mean = (sp.first[minSpeedRuns/2-1] + sp.first[minSpeedRuns/2]) / 2
	sp.variance = speedVariance
	sp.meanVariance = speedVariance * medianVariance
	sp.lastRunAt = now
	sp.first = nil
}

func (sp *speed) countOutlier(now time.Time, distance float64) {
	switch {
	case distance >= outlierDistance:
		if sp.slower == 0 {
			sp.slowerSince = now
		}
		sp.slower++
	case distance <= -outlierDistance:
		sp.faster++
	default:
		sp.slower = max(sp.slower-1, 0)
		sp.faster = max(sp.faster-1, 0)
	}
}

// report returns the estimate for load reports, the zero value while there is none.
func (sp *speed) report(now time.Time) message.EndpointSpeed {
	if sp.runs < minSpeedRuns {
		return message.EndpointSpeed{}
	}
	return message.EndpointSpeed{
		RunRatio:    max(int64(math.Round(math.Exp(sp.mean)*permille)), 1),
		Uncertainty: int64(math.Ceil(math.Sqrt(sp.meanVarianceAt(now)) * permille)),
		Runs:        int64(sp.runs),
	}
}
