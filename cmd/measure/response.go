package main

import (
	"fmt"
	"time"

	"zinniasill/internal/servemodel"
)

// user is a size of the system. Delay is the one-way delay between domains.
type user struct {
	name  string
	delay time.Duration
}

func users() []user {
	return []user{
		{name: "atlas", delay: 500 * time.Microsecond},
		{name: "vellayil", delay: 750 * time.Microsecond},
	}
}

// oneTask names the mix of the plots.
const oneTask = "one-task jobs"

// mix is a list of job sizes.
type mix struct {
	name  string
	sizes []int
}

func mixes() []mix {
	return []mix{
		{name: oneTask, sizes: []int{1}},
		{name: "jobs of 1 to 8, some of 530", sizes: servemodel.DefaultSizes()},
	}
}

// config is the system of a user with a load.
func config(u user, seed uint64, load servemodel.Load) servemodel.Config {
	if load.JobSizes == nil {
		load.JobSizes = []int{1}
	}
	return servemodel.Config{
		Seed: seed, Domains: 3, Agents: 10, Slots: 10, Entries: 3,
		Delay: u.delay, Picker: servemodel.BetterOfTwo, Load: load,
	}
}

const (
	loadTime = time.Minute
	// The burst is long enough to fill queues with 10 s of work.
	burstFrom = 20 * time.Second
	burstTo   = 25 * time.Second
)

// level is an offered load.
type level struct {
	name string
	load servemodel.Load
}

func levels() []level {
	return []level{
		{"50%", servemodel.Load{Utilisation: 0.5}},
		{"80%", servemodel.Load{Utilisation: targetLoad}},
		{"95%", servemodel.Load{Utilisation: 0.95}},
		{"burst of 3x capacity", servemodel.Load{
			Utilisation: 0.5, Burst: 6, BurstFrom: burstFrom, BurstTo: burstTo,
		}},
	}
}

// Targets of the design.
const (
	targetLoad     = 0.8
	targetP50      = 1.10
	targetP99      = 1.5
	targetMessages = 4
	targetWasted   = 0.02
	targetWork     = 0.97
	targetRefusal  = 5.0
	targetGoodput  = 0.95
)

// responses measures the policies at all loads.
func responses() []measurement {
	var all []measurement
	for _, u := range users() {
		for _, m := range mixes() {
			for _, l := range levels() {
				for _, p := range []servemodel.Policy{servemodel.BetterOfTwo, servemodel.Random, servemodel.RoundRobin} {
					all = append(all, measurement{group: "response", run: func(seed uint64) []figure {
						return response(u, m, l, p, seed)
					}})
				}
			}
		}
	}
	return all
}

func response(u user, m mix, l level, p servemodel.Policy, seed uint64) []figure {
	load := l.load
	load.Duration = loadTime
	load.JobSizes = m.sizes
	cfg := config(u, seed, load)
	cfg.Picker = p
	r := servemodel.Run(cfg)
	base := figure{User: u.name, Case: l.name + ", " + m.name, Policy: string(p)}
	p50 := base.is("response/ideal p50", r.Ratio(0.5))
	p99 := base.is("response/ideal p99", r.Ratio(0.99))
	messages := base.is("messages per task", r.MessagesPerTask())
	wasted := base.is("wasted part of messages", r.WastedPart())
	if p == servemodel.BetterOfTwo && l.load.Burst == 0 && l.load.Utilisation == targetLoad {
		p50 = p50.atMost(targetP50)
		p99 = p99.atMost(targetP99)
	}
	if p == servemodel.BetterOfTwo {
		messages = messages.atMost(targetMessages)
		wasted = wasted.atMost(targetWasted)
	}
	figures := []figure{
		p50, p99,
		base.is("response/ideal p99.9", r.Ratio(0.999)),
		base.is("response/small-first ideal p50", r.RatioSmallFirst(0.5)),
		base.is("response p99 ms", milliseconds(r.Response(0.99))),
		messages,
		base.is("claim messages per task", float64(r.Claims)/float64(max(r.Starts, 1))),
		base.is("packets per task", float64(r.Packets)/float64(max(r.Starts, 1))),
		wasted,
	}
	return append(figures, safety(base, r)...)
}

// safety returns the figures that must be 0 in every run. Only those that are not
// are of interest, besides their sum.
func safety(base figure, r *servemodel.Result) []figure {
	figures := []figure{
		base.is("doubled, partial, false not-run", float64(r.Doubled+r.Partial+r.FalseRefusals)).atMost(0),
		base.is("starts later than 3 s after take-out", float64(r.LateStarts)).atMost(0),
	}
	if r.Unanswered > 0 {
		figures = append(figures, base.is("unanswered jobs", float64(r.Unanswered)))
	}
	if r.Refused+r.Failed > 0 {
		figures = append(figures, base.is(fmt.Sprintf("refused or failed of %d jobs", r.Jobs), float64(r.Refused+r.Failed)))
	}
	return figures
}

func (f figure) is(name string, value float64) figure {
	f.Name = name
	f.Value = value
	return f
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
