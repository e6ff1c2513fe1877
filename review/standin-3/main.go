// Command review-3 runs one case of the third review: it starts a small deployment of the
// project's own programs on loopback addresses, with stand-ins for clients, the operator,
// executors and the platform, and checks one rule.
//
//	review-3 CASE RECORD
//
// It is started in the root of the repository, after the build of the deploy file. It writes
// the file RECORD and exits with 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// runTimeout ends a case that takes too long.
const runTimeout = 112 * time.Second

// verdict is the result of a case.
type verdict struct {
	// broken describes how the rule was broken, empty if it held.
	broken string
}

// scenario runs a case. It returns an error if the case could not run.
type scenario func(ctx context.Context, d *deployment) (verdict, error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"config-log":    configLog,
	"large-job":     largeJob,
	"first-start":   firstStart,
	"lock-new-home": lockNewHome,
	"lock-recovery": lockRecovery,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case that the arguments name and returns the exit code.
func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-3:", err)
		return exitNotRun
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	d, err := newDeployment(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	rec.printf("case %s, disruption %t", args[0], d.trouble)
	result, err := scenarios[args[0]](ctx, d)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitNotRun
	case result.broken != "":
		rec.printf("BROKEN: %s", result.broken)
		return exitBroken
	default:
		rec.printf("held")
		return exitHeld
	}
}
