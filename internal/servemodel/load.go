package servemodel

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"
)

// Load describes the jobs that callers submit. Run times are between ShortTask
// and LongTask, with equal shares on a logarithmic scale, but for Stragglers,
// which take StragglerTime.
type Load struct {
	// Utilisation is the offered work as a part of what all slots can do.
	Utilisation float64
	// Duration is the time during which jobs arrive.
	Duration time.Duration
	// JobSizes are the numbers of tasks of a job, each equally likely.
	JobSizes []int
	// Stragglers is the part of tasks that take StragglerTime.
	Stragglers float64
	// Burst, if set, multiplies the arrivals between BurstFrom and BurstTo.
	Burst              float64
	BurstFrom, BurstTo time.Duration
	// CancelWave is the part of the unanswered jobs that are cancelled at CancelAt.
	CancelWave float64
	CancelAt   time.Duration
	// Teams is the number of teams that submit.
	Teams int
	// BurstTeam makes the first team submit the additional jobs of the burst.
	BurstTeam bool
}

// Run times of the users' tasks.
const (
	ShortTask     = 50 * time.Millisecond
	LongTask      = time.Second
	StragglerTime = 4 * time.Second
)

// DefaultSizes are the job sizes of the users: many of a few tasks, a few large.
func DefaultSizes() []int {
	sizes := make([]int, 0, 200)
	for i := range 199 {
		sizes = append(sizes, 1+i%8)
	}
	return append(sizes, 530)
}

// arrival is one job of the load.
type arrival struct {
	at    time.Duration
	tasks []time.Duration
	team  int
}

// meanTask is the mean run time of a task of the load.
func (l Load) meanTask() float64 {
	short, long := ShortTask.Seconds(), LongTask.Seconds()
	body := (long - short) / math.Log(long/short)
	return l.Stragglers*StragglerTime.Seconds() + (1-l.Stragglers)*body
}

// arrivals draws the jobs, with exponential times between them.
func (l Load) arrivals(random *rand.Rand, slots int) []arrival {
	mean := 0.0
	for _, size := range l.JobSizes {
		mean += float64(size) / float64(len(l.JobSizes))
	}
	rate := l.Utilisation * float64(slots) / (mean * l.meanTask())
	var jobs []arrival
	for at := time.Duration(0); ; {
		now := rate
		burst := l.Burst > 0 && at >= l.BurstFrom && at < l.BurstTo
		if burst {
			now *= l.Burst
		}
		at += time.Duration(random.ExpFloat64() / now * float64(time.Second))
		if at >= l.Duration {
			return jobs
		}
		jobs = append(jobs, l.draw(random, at, burst))
	}
}

func (l Load) draw(random *rand.Rand, at time.Duration, burst bool) arrival {
	job := arrival{at: at, tasks: make([]time.Duration, l.JobSizes[random.IntN(len(l.JobSizes))])}
	for i := range job.tasks {
		job.tasks[i] = l.runTime(random)
	}
	if l.Teams > 1 {
		job.team = random.IntN(l.Teams)
		if burst && l.BurstTeam && random.Float64() < 1-1/l.Burst {
			job.team = 0
		}
	}
	return job
}

func (l Load) runTime(random *rand.Rand) time.Duration {
	if random.Float64() < l.Stragglers {
		return StragglerTime
	}
	ratio := float64(LongTask) / float64(ShortTask)
	return time.Duration(float64(ShortTask) * math.Pow(ratio, random.Float64()))
}

// encodeRunTime makes the payload of a task; the model's endpoints read it.
func encodeRunTime(run time.Duration) []byte {
	return binary.LittleEndian.AppendUint64(nil, uint64(run))
}

func decodeRunTime(payload []byte) time.Duration {
	return time.Duration(binary.LittleEndian.Uint64(payload))
}
