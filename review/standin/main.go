// Command standin runs one scenario of the review. It starts the programs of the deploy
// file on loopback addresses, plays the clients, the executors and the operator as the
// platform's pages describe them, and checks one rule by what they see.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the scenario could not
// run. With the variable TROUBLE set to 0 the disruption is left out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runTimeout bounds a whole run.
const runTimeout = 115 * time.Second

// scenario plays one case. It returns the violations of the rule, or an error if it could not
// run.
type scenario struct {
	options options
	play    func(ctx context.Context, run *run) ([]string, error)
}

// run is what a scenario works with.
type run struct {
	*cluster
	record *record
	// trouble is false if the disruption is left out.
	trouble bool
}

// scenarios are the scenarios by name.
func scenarios() map[string]scenario {
	// One executor of seven is the share of executors that may be down at a time.
	seven := defaultOptions()
	seven.agents = 7
	return map[string]scenario{
		"cancel-elsewhere": {options: defaultOptions(), play: playCancelElsewhere},
		"late-duplicate":   {options: defaultOptions(), play: playLateDuplicate},
		"other-kind":       {options: seven, play: playOtherKind},
	}
}

func main() {
	program := flag.String("program", "target/zinniasill-platform", "program of the deploy file")
	folder := flag.String("folder", "", "temporary folder")
	path := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	os.Exit(execute(flag.Arg(0), *program, *folder, *path))
}

// execute runs a scenario and returns the exit status.
func execute(name, program, folder, path string) int {
	chosen, ok := scenarios()[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: no scenario %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	c := newCluster(program, folder, rec, chosen.options)
	defer c.close()
	broken, err := playCluster(ctx, c, chosen, rec)
	switch {
	case err != nil:
		rec.add("result: could not run: %v", err)
		return exitNotRun
	case len(broken) > 0:
		rec.add("result: the rule was broken %d times:\n%s", len(broken), strings.Join(broken, "\n"))
		return exitBroken
	default:
		rec.add("result: the rule held")
		return exitHeld
	}
}

// playCluster starts the cluster and plays the scenario in it.
func playCluster(ctx context.Context, c *cluster, chosen scenario, rec *record) ([]string, error) {
	if err := c.start(); err != nil {
		return nil, err
	}
	broken, err := chosen.play(ctx, &run{cluster: c, record: rec, trouble: os.Getenv("TROUBLE") != "0"})
	slices.Sort(broken)
	return broken, err
}
