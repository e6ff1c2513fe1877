package overload

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawJobs draws jobs whose limits are of the same size as the time that all of them take.
func drawJobs(t *rapid.T) []Job {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Job {
		latest := rapid.IntRange(-20, 400).Draw(t, "latest")
		return Job{
			Priority:    rapid.IntRange(0, 2).Draw(t, "priority"),
			LatestStart: time.Duration(latest) * time.Millisecond,
			LastStart:   time.Duration(latest+rapid.IntRange(0, 800).Draw(t, "more")) * time.Millisecond,
			Work:        int64(rapid.IntRange(0, 50_000).Draw(t, "work")),
			Protected:   rapid.Bool().Draw(t, "protected"),
		}
	}), 0, 40).Draw(t, "jobs")
}

func drawCapacity(t *rapid.T) Capacity {
	rate := int64(rapid.IntRange(0, 4000).Draw(t, "rate"))
	return Capacity{
		Rate: rate, Ahead: int64(rapid.IntRange(0, 50_000).Draw(t, "ahead")),
		Elsewhere: []int64{int64(rapid.IntRange(0, 20_000).Draw(t, "elsewhere")), 0, 1000, 0},
		OnTime:    int64(rapid.IntRange(0, 4000).Draw(t, "on time")),
		Share:     1000,
	}
}

// startsLate returns the jobs that start late in the order of the schedule.
func startsLate(jobs []Job, order []int, rate int64, ahead func(int) float64, limit func(Job) time.Duration) []int {
	var late []int
	work := 0.0
	for _, i := range order {
		work += float64(jobs[i].Work)
		if Wait(ahead(jobs[i].Priority)+work, rate) > limit(jobs[i]) {
			late = append(late, i)
		}
	}
	return late
}

// inOrder returns the jobs of a class in the order of the schedule.
func inOrder(jobs []Job, classes []Class, class Class, limit func(Job) time.Duration) []int {
	var order []int
	for i, c := range classes {
		if c == class {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if jobs[a].Priority != jobs[b].Priority {
			return jobs[a].Priority - jobs[b].Priority
		}
		return int(limit(jobs[a]) - limit(jobs[b]))
	})
	return order
}

// TestClassesAreKept guards against a job that is called on time or deferred although the
// schedule of its class starts it too late.
func TestClassesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, capacity := drawJobs(t), drawCapacity(t)
		classes := Classify(capacity, jobs)
		onTime := inOrder(jobs, classes, OnTime, Job.latestStart)
		if late := startsLate(jobs, onTime, capacity.Rate, capacity.aheadOf, Job.latestStart); len(late) > 0 {
			t.Fatalf("jobs %v are on time but start late", late)
		}
		before := capacity.aheadOf(len(capacity.Elsewhere))
		for _, i := range onTime {
			before += float64(jobs[i].Work)
		}
		deferred := inOrder(jobs, classes, Deferred, Job.lastStart)
		ahead := func(int) float64 { return before }
		if late := startsLate(jobs, deferred, capacity.DeferredRate(), ahead, Job.lastStart); len(late) > 0 {
			t.Fatalf("jobs %v are deferred but start too late", late)
		}
	})
}

// TestAllFit guards against a job that is not on time, or too late, although all jobs fit.
func TestAllFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, capacity := drawJobs(t), drawCapacity(t)
		all := inOrder(jobs, make([]Class, len(jobs)), OnTime, Job.latestStart)
		fit := len(startsLate(jobs, all, capacity.Rate, capacity.aheadOf, Job.latestStart)) == 0
		for i, class := range Classify(capacity, jobs) {
			if fit && class != OnTime {
				t.Fatalf("job %d is %s although all jobs fit", i, class)
			}
		}
		// On-time jobs precede deferred ones, so all of the work has to fit before each limit.
		work, first := capacity.aheadOf(len(capacity.Elsewhere)), time.Duration(math.MaxInt64)
		for _, job := range jobs {
			work += float64(job.Work)
			first = min(first, job.LastStart)
		}
		fit = Wait(work, capacity.DeferredRate()) <= first
		for i, class := range Classify(capacity, jobs) {
			if fit && class == TooLate {
				t.Fatalf("job %d is too late although all jobs fit at the deferred rate", i)
			}
		}
	})
}

// TestRemovedJob guards against a job that gets worse because another one is gone. With jobs
// of one size, none does. With several sizes, one job may take the place of another; then the
// number of on-time jobs of the highest priority does not fall.
func TestRemovedJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, capacity := drawJobs(t), drawCapacity(t)
		if len(jobs) == 0 {
			return
		}
		equal := rapid.Bool().Draw(t, "equal")
		for i := range jobs {
			if equal {
				jobs[i].Work = 10_000
			} else {
				jobs[i].Protected = false
			}
		}
		gone := rapid.IntRange(0, len(jobs)-1).Draw(t, "gone")
		before := Classify(capacity, jobs)
		after := Classify(capacity, slices.Delete(slices.Clone(jobs), gone, gone+1))
		before = slices.Delete(before, gone, gone+1)
		jobs = slices.Delete(jobs, gone, gone+1)
		urgentBefore, urgentAfter := 0, 0
		for i := range jobs {
			if equal && after[i] > before[i] {
				t.Fatalf("job %d becomes %s after %s", i, after[i], before[i])
			}
			if jobs[i].Priority == 0 && before[i] == OnTime {
				urgentBefore++
			}
			if jobs[i].Priority == 0 && after[i] == OnTime {
				urgentAfter++
			}
		}
		if urgentAfter < urgentBefore {
			t.Fatalf("%d jobs of priority 0 are on time, %d before another job was gone", urgentAfter, urgentBefore)
		}
	})
}

// TestFewestLate guards against more late jobs of one priority than necessary: no choice of
// jobs without protection keeps more of them on time.
func TestFewestLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, capacity := drawJobs(t), drawCapacity(t)
		jobs = jobs[:min(len(jobs), 8)]
		for i := range jobs {
			jobs[i].Priority, jobs[i].Protected = 0, false
		}
		onTime := len(inOrder(jobs, Classify(capacity, jobs), OnTime, Job.latestStart))
		most := 0
		for choice := range 1 << len(jobs) {
			classes := make([]Class, len(jobs))
			count := 0
			for i := range jobs {
				classes[i] = TooLate
				if choice>>i&1 == 1 {
					classes[i] = OnTime
					count++
				}
			}
			order := inOrder(jobs, classes, OnTime, Job.latestStart)
			if len(startsLate(jobs, order, capacity.Rate, capacity.aheadOf, Job.latestStart)) == 0 {
				most = max(most, count)
			}
		}
		if onTime != most {
			t.Fatalf("%d jobs are on time, %d could be", onTime, most)
		}
	})
}

// TestEqualInputs guards against a result that depends on anything but the inputs, and
// against inputs that are changed.
func TestEqualInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, capacity := drawJobs(t), drawCapacity(t)
		kept := slices.Clone(jobs)
		first := Classify(capacity, jobs)
		if second := Classify(capacity, jobs); !slices.Equal(first, second) {
			t.Fatalf("%v, then %v", first, second)
		}
		if !slices.Equal(jobs, kept) {
			t.Fatal("the jobs were changed")
		}
	})
}

// TestLargeJobsAreServed guards against large jobs that are always displaced by small ones of
// their kind: the largest tenth must be served at least half as often as the kind.
func TestLargeJobsAreServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 400
		fill := rapid.IntRange(10, 95).Draw(t, "percent that fits")
		limit := time.Duration(rapid.IntRange(50, 500).Draw(t, "limit")) * time.Millisecond
		spread := rapid.IntRange(2, 32).Draw(t, "spread")
		jobs := make([]Job, count)
		work := int64(0)
		for i := range jobs {
			jobs[i] = Job{LatestStart: limit, LastStart: limit, Work: int64(1000 + 1000*spread*((i*7919)%count)/count), Protected: i%2 == 0}
			work += jobs[i].Work
		}
		rate := work * int64(fill) / 100 / limit.Milliseconds()
		classes := Classify(Capacity{Rate: rate, OnTime: rate, Share: 1000}, jobs)
		order := make([]int, count)
		for i := range order {
			order[i] = i
		}
		slices.SortFunc(order, func(a, b int) int { return int(jobs[b].Work - jobs[a].Work) })
		served, large := 0, 0
		for place, i := range order {
			if classes[i] != OnTime {
				continue
			}
			served++
			if place < count/10 {
				large++
			}
		}
		if large*10*2 < served {
			t.Fatalf("%d of %d jobs of the largest tenth are served, %d of %d in all", large, count/10, served, count)
		}
	})
}

// TestAverage guards against an average that does not follow its values.
func TestAverage(t *testing.T) {
	var a Average
	now := time.Unix(1000, 0)
	a.Observe(now, 100, time.Second)
	if a.Mean() != 100 {
		t.Errorf("mean %d after one value", a.Mean())
	}
	a.Observe(now.Add(time.Second), 0, time.Second)
	if a.Mean() != 50 {
		t.Errorf("mean %d after a half-life, want 50", a.Mean())
	}
	a.Observe(now.Add(time.Minute), 10, time.Second)
	if a.Mean() != 10 {
		t.Errorf("mean %d after a minute, want 10", a.Mean())
	}
}

// BenchmarkClassify measures a classification of the jobs of an overloaded entry.
func BenchmarkClassify(b *testing.B) {
	jobs := make([]Job, 300)
	for i := range jobs {
		jobs[i] = Job{
			Priority: i % 3, LatestStart: time.Duration(i*31%200) * time.Millisecond,
			LastStart: time.Duration(200+i*31%900) * time.Millisecond, Work: int64(100_000 + i*7919%500_000), Protected: i%2 == 0,
		}
	}
	for b.Loop() {
		Classify(Capacity{Rate: 400_000, OnTime: 390_000}, jobs)
	}
}
