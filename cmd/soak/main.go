// Command soak runs the property tests, the model checks and the process tests
// with a fresh seed, which it prints first, and with more checks than CI. Its exit
// code is that of the tests. To repeat a run, give its seed:
//
//	bin/soak --seed=17
package main

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	seedVariable = "RAPID_SEED"
	// stopWait is the time that the tests have to end after an interrupt.
	stopWait = 30 * time.Second
)

func main() {
	os.Exit(run())
}

func run() int {
	app := kingpin.New("soak", "Run the property, model and process tests with a fresh seed.")
	checks := app.Flag("checks", "Cases of each property test.").Default("1000").Uint()
	limit := app.Flag("timeout", "Longest time for the tests of one package.").Default("30m").Duration()
	// The Makefile exports the seed of CI, which must not replace the fresh one.
	fixed := app.Flag("seed", "Seed to repeat a run with; drawn if 0.").Envar("ZINNIASILL_SOAK_SEED").Uint64()
	packages := app.Arg("packages", "Packages to test.").Default("./...").Strings()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 2
	}
	seed := *fixed
	if seed == 0 {
		seed = drawSeed()
	}
	fmt.Printf("seed %d (repeat with: soak --seed=%d --checks=%d)\n", seed, seed, *checks)
	args := append([]string{"test", "-count=1", "-timeout=" + limit.String()}, *packages...)
	command := exec.Command("go", args...)
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	command.Env = append(os.Environ(),
		seedVariable+"="+strconv.FormatUint(seed, 10),
		"RAPID_CHECKS="+strconv.FormatUint(uint64(*checks), 10),
		"ZINNIASILL_SOAK=1",
	)
	return exitCode(wait(command))
}

// wait runs the tests. An interrupt is passed on, so that they stop what they
// started.
func wait(command *exec.Cmd) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- command.Wait() }()
	for {
		select {
		case err := <-done:
			return err
		case received := <-signals:
			_ = command.Process.Signal(received)
			kill := time.AfterFunc(stopWait, func() { _ = command.Process.Kill() })
			defer kill.Stop()
		}
	}
}

func exitCode(err error) int {
	var ended *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &ended) && ended.ExitCode() > 0:
		return ended.ExitCode()
	default:
		fmt.Fprintln(os.Stderr, "soak: run the tests:", err)
		return 1
	}
}

// drawSeed draws a seed above 0, which rapid would take for none.
func drawSeed() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand never returns an error
	return binary.LittleEndian.Uint64(random[:])>>1 | 1
}
