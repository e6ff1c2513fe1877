package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill/internal/stubendpoint"
)

const (
	// promptly bounds the time of an answer of a job that counts as served.
	promptly = time.Second
	// serveWindow is the length over which jobs are counted, serveStep the distance
	// of such windows, and serveShare the part of them that must be served in each
	// window of serveStable.
	serveWindow = time.Second
	serveStep   = 100 * time.Millisecond
	serveStable = 3 * time.Second
	serveShare  = 0.9
)

// stretch is a named part of the measurement.
type stretch struct {
	name     string
	from, to time.Time
}

func (s stretch) has(at time.Time) bool {
	return !at.Before(s.from) && at.Before(s.to)
}

func (s stretch) seconds() float64 {
	return s.to.Sub(s.from).Seconds()
}

func (r *regionRun) stretches() []stretch {
	return []stretch{{"before", r.began, r.cut}, {"cut", r.cut, r.healed}, {"after", r.healed, r.ended}}
}

// history returns all starts in a region in order.
func (r *regionRun) history(in region) []stubendpoint.Start {
	var list []stubendpoint.Start
	for i, stub := range r.cluster.Stubs {
		if regionOf(r.cluster.Agents[i].Name) == in {
			list = append(list, stub.History()...)
		}
	}
	slices.SortFunc(list, func(a, b stubendpoint.Start) int { return a.At.Compare(b.At) })
	return list
}

// report writes the files. A finding of the witness fails the measurement.
func (r *regionRun) report() error {
	history := slices.Concat(r.history(larger), r.history(smaller))
	findings := r.witness.Check(history)
	for _, finding := range findings {
		logrus.Error(finding)
	}
	err := errors.Join(
		r.rates().write(r.options, "regions"),
		r.refusals().write(r.options, "regions-refusals"),
		r.times(findings).write(r.options, "regions-times"),
		r.processes().write(r.options, "regions-processes"),
	)
	if len(findings) > 0 {
		err = errors.Join(err, fmt.Errorf("the witness has %d findings", len(findings)))
	}
	return err
}

// rates has what each region's callers got and what started in the region.
func (r *regionRun) rates() *table {
	t := newTable("phase", "region", "seconds", "jobs-sent-per-second", "jobs-answered-per-second",
		"jobs-failed", "starts-per-second", "p50-ms", "p99-ms")
	for _, s := range r.stretches() {
		for _, in := range regions {
			sent, failed, starts := 0, 0, 0
			var got outcome
			for _, j := range r.callers.jobs {
				if j.region != in || !s.has(j.sent) {
					continue
				}
				sent++
				if !j.answered() {
					failed++
					continue
				}
				got.latencies = append(got.latencies, j.done.Sub(j.sent))
			}
			slices.Sort(got.latencies)
			for _, start := range r.history(in) {
				if s.has(start.At) {
					starts++
				}
			}
			t.add(s.name, in.String(), s.seconds(), float64(sent)/s.seconds(), float64(len(got.latencies))/s.seconds(),
				failed, float64(starts)/s.seconds(), milliseconds(got.quantile(0.5)), milliseconds(got.quantile(0.99)))
		}
	}
	return t
}

// refusals counts what entries refused (attempt) and what callers learned in the
// end (job), by the phase in which that was.
func (r *regionRun) refusals() *table {
	t := newTable("phase", "region", "level", "profile", "code", "ran", "retry", "count", "first-s", "last-s")
	type group struct {
		phase                                    int
		region                                   region
		level, profile, code, ran, retry, phases string
	}
	seen := map[group][]float64{}
	note := func(g group, at time.Time) {
		for i, s := range r.stretches() {
			if s.has(at) {
				g.phase, g.phases = i, s.name
				seen[g] = append(seen[g], at.Sub(s.from).Seconds())
			}
		}
	}
	for _, a := range r.callers.attempts {
		note(group{region: a.region, level: "attempt", profile: string(a.profile), code: string(a.code), ran: string(a.ran), retry: string(a.retry)}, a.at)
	}
	for _, j := range r.callers.jobs {
		if !j.answered() {
			note(group{region: j.region, level: "job", code: string(j.code), ran: string(j.ran)}, j.done)
		}
	}
	var groups []group
	for g := range seen {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.phase, b.phase), cmp.Compare(a.region, b.region),
			strings.Compare(a.level+a.profile+a.code+a.ran+a.retry, b.level+b.profile+b.code+b.ran+b.retry))
	})
	for _, g := range groups {
		t.add(g.phases, g.region.String(), g.level, g.profile, g.code, g.ran, g.retry,
			len(seen[g]), slices.Min(seen[g]), slices.Max(seen[g]))
	}
	return t
}

// times has one figure in each row.
func (r *regionRun) times(findings []string) *table {
	t := newTable("figure", "value")
	inLarger := func(name string) bool { return regionOf(name) == larger }
	inSmaller := func(name string) bool { return regionOf(name) == smaller }
	anywhere := func(string) bool { return true }
	t.add("load average before", r.loadBefore)
	t.add("load average after", loadAverage())
	t.add("epochs at the cut", r.epochs)
	t.add("larger serves its load, s after the cut", r.servedAgain(larger, r.cut, r.healed))
	t.add("last start in smaller, s after the cut", r.lastStart(smaller, r.cut, r.healed))
	t.add("larger serves its load, s after the end", r.servedAgain(larger, r.healed, r.ended))
	t.add("smaller serves its load, s after the end", r.servedAgain(smaller, r.healed, r.ended))
	t.add("first start in smaller, s after the end", r.firstStart(smaller, r.healed))
	t.add("no leader in larger during the cut, s", r.leaders.without(r.cut, r.healed, inLarger).Seconds())
	t.add("no leader after the end, s", r.leaders.without(r.healed, r.ended, anywhere).Seconds())
	t.add("no leader before the cut, s", r.leaders.without(r.began, r.cut, anywhere).Seconds())
	if at, ok := r.leaders.last(r.cut, r.healed, inSmaller); ok {
		t.add("leader in smaller steps down, s after the cut", at.Sub(r.cut).Seconds())
	}
	double := 0
	for _, n := range r.cluster.Starts() {
		if n > 1 {
			double++
		}
	}
	t.add("double starts", double)
	t.add("findings of the witness", len(findings))
	t.add("jobs answered", r.witness.Answered())
	t.add("answers with ran: not-run", r.witness.NotRun())
	return t
}

// servedAgain returns the seconds from a time until a region's callers are served
// as before, -1 if they are not before the end.
func (r *regionRun) servedAgain(in region, from, to time.Time) float64 {
	var own []job
	for _, j := range r.callers.jobs {
		if j.region == in {
			own = append(own, j)
		}
	}
	return servedFrom(own, from, to)
}

// servedFrom returns the seconds from a time until the first moment from which on
// serveShare of the jobs sent in each window of serveStable are answered within
// promptly, -1 if there is none before the end. It counts by the time of sending,
// because the late answers of jobs that waited would hide that new ones wait too.
func servedFrom(jobs []job, from, to time.Time) float64 {
	since := from
	for at := from; !at.Add(serveWindow).After(to); at = at.Add(serveStep) {
		window := stretch{from: at, to: at.Add(serveWindow)}
		sent, prompt := 0, 0
		for _, j := range jobs {
			if !window.has(j.sent) {
				continue
			}
			sent++
			if j.answered() && j.done.Sub(j.sent) <= promptly {
				prompt++
			}
		}
		if sent == 0 || float64(prompt) < serveShare*float64(sent) {
			since = at.Add(serveStep)
		} else if at.Sub(since) >= serveStable {
			return since.Sub(from).Seconds()
		}
	}
	return -1
}

// lastStart returns the seconds from a time until the last start in a region, -1
// if there was none.
func (r *regionRun) lastStart(in region, from, to time.Time) float64 {
	last := -1.0
	for _, start := range r.history(in) {
		if (stretch{from: from, to: to}).has(start.At) {
			last = start.At.Sub(from).Seconds()
		}
	}
	return last
}

func (r *regionRun) firstStart(in region, from time.Time) float64 {
	for _, start := range r.history(in) {
		if start.At.After(from) {
			return start.At.Sub(from).Seconds()
		}
	}
	return -1
}

// processes has what each process used in each phase.
func (r *regionRun) processes() *table {
	t := newTable(append([]string{"phase", "region"}, processColumns...)...)
	for i, s := range r.stretches() {
		for _, p := range r.cluster.All() {
			t.addProcess(r.samples[2*i], r.samples[2*i+1], p.Name, s.name, regionOf(p.Name).String())
		}
	}
	return t
}
