// Command standin-2 plays the cases of the second review. It starts the project's programs as
// separate processes on loopback addresses, with stand-ins for clients, the operator and the
// executors, and checks one rule from what these see.
//
//	standin-2 --case cancel-forgotten --record review/6/record.txt --trouble 1
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// play plays a case on a deployment, with or without the disruption. It returns what broke the
// rule, empty if it held.
type play func(c *cluster, trouble bool) (violations []string, err error)

// scenario is a case and the number of side machines that it needs.
type scenario struct {
	play  play
	sides int
}

var scenarios = map[string]scenario{
	"cancel-forgotten": {play: cancelForgotten, sides: 3},
	"leave-unanswered": {play: leaveUnanswered, sides: 3},
	"second-owner":     {play: secondOwner, sides: 3},
	"many-small-tasks": {play: manySmallTasks, sides: 3},
}

func main() {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "record.txt", "the record to write")
	trouble := flag.String("trouble", "1", "0 to leave out the disruption")
	flag.Parse()
	chosen, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin-2: no such case:", *name)
		os.Exit(couldNot)
	}
	os.Exit(runCase(chosen, *path, *trouble != "0"))
}

// runCase plays a case and returns the exit code.
func runCase(chosen scenario, path string, trouble bool) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return couldNot
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "zinniasill-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return couldNot
	}
	rec.add("the disruption takes place: %t", trouble)
	c := &cluster{folder: folder, record: rec}
	defer c.stop()
	result := make(chan int, 1)
	go func() { result <- judge(c, chosen, trouble) }()
	select {
	case code := <-result:
		return code
	case <-signals:
		return couldNot
	case <-time.After(longest):
		rec.add("given up after %v", longest)
		return couldNot
	}
}

// judge plays a case and reports what it found.
func judge(c *cluster, chosen scenario, trouble bool) int {
	var violations []string
	err := c.begin(chosen.sides)
	if err == nil {
		violations, err = chosen.play(c, trouble)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2: the case could not run:", err)
		c.record.add("the case could not run: %v", err)
		return couldNot
	}
	for _, violation := range violations {
		fmt.Println("broken:", violation)
		c.record.add("BROKEN: %s", violation)
	}
	if len(violations) > 0 {
		return broken
	}
	fmt.Println("held")
	c.record.add("the rule held")
	return held
}

// doubleRuns returns the pairs of runs of one task that took place at the same time.
func doubleRuns(rec *record, history []span) []string {
	byTask := map[string][]span{}
	for _, s := range history {
		byTask[s.task] = append(byTask[s.task], s)
	}
	var found []string
	for task, runs := range byTask {
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				if overlap := earlier(first.ended, second.ended).Sub(second.began); overlap > 0 {
					found = append(found, fmt.Sprintf("TWICE: %s ran at %s from %.3f to %.3f (%s) and at %s from %.3f to %.3f (%s), %v at the same time",
						task, first.executor, rec.at(first.began), rec.at(first.ended), first.how,
						second.executor, rec.at(second.began), rec.at(second.ended), second.how, overlap.Round(time.Millisecond)))
				}
			}
		}
	}
	sort.Strings(found)
	return found
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// runsOf returns the runs of the tasks of a job.
func runsOf(history []span, id string) []span {
	var runs []span
	for _, s := range history {
		if strings.HasPrefix(s.task, id+".") {
			runs = append(runs, s)
		}
	}
	return runs
}
