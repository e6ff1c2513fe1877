// Command measure runs the virtual-time model of internal/servemodel under the
// loads of the performance targets, and prints each figure with its target and
// verdict. It writes the raw figures as JSON and the plots as SVG to the folder -out.
//
//	bin/measure -seed 20261204 -out docs/measurements
package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
)

// workers bounds the runs at the same time, so that a shared machine stays usable.
const workers = 4

func main() {
	app := kingpin.New("measure", "Measures the decisions under load on a model in virtual time.")
	seed := app.Flag("seed", "Seed of all random draws.").Envar("MEASURE_SEED").Default("20261204").Uint64()
	out := app.Flag("out", "Folder for the raw figures and plots.").Envar("MEASURE_OUT").Default("docs/measurements").String()
	only := app.Flag("only", "Run only the groups whose name contains this, and write no files.").Envar("MEASURE_ONLY").String()
	kingpin.MustParse(app.Parse(singleDash(os.Args[1:])))
	if err := run(*seed, *out, *only); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// singleDash accepts -seed for --seed, as in the Go tools.
func singleDash(args []string) []string {
	long := make([]string, len(args))
	for i, arg := range args {
		if len(arg) > 2 && arg[0] == '-' && arg[1] != '-' {
			arg = "-" + arg
		}
		long[i] = arg
	}
	return long
}

// report is the file of raw figures.
type report struct {
	Seed    uint64   `json:"seed"`
	Command string   `json:"command"`
	Figures []figure `json:"figures"`
}

// figure is one measured value. Target is empty for a figure without one.
type figure struct {
	Group  string `json:"group"`
	User   string `json:"user"`
	Case   string `json:"case"`
	Policy string `json:"policy,omitempty"`
	// Load is the offered load divided by the capacity, in the group overload.
	Load    float64 `json:"load,omitempty"`
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Target  string  `json:"target,omitempty"`
	Verdict string  `json:"verdict,omitempty"`
}

// atMost sets an upper target.
func (f figure) atMost(limit float64) figure {
	return f.judge("<= "+format(limit), f.Value <= limit)
}

// atLeast sets a lower target.
func (f figure) atLeast(limit float64) figure {
	return f.judge(">= "+format(limit), f.Value >= limit)
}

func (f figure) judge(target string, met bool) figure {
	f.Target = target
	f.Verdict = "missed"
	if met {
		f.Verdict = "met"
	}
	return f
}

func format(v float64) string {
	return strconv.FormatFloat(math.Round(v*1e4)/1e4, 'f', -1, 64)
}

// measurement is one independent part of the work.
type measurement struct {
	group string
	run   func(seed uint64) []figure
}

func run(seed uint64, out, only string) error {
	began := time.Now()
	measured := measureAll(seed, only)
	if err := printTable(measured); err != nil {
		return eris.Wrap(err, "print the table")
	}
	fmt.Println("took", time.Since(began).Round(time.Second))
	if only != "" {
		return nil
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return eris.Wrap(err, "make the folder for the figures")
	}
	command := fmt.Sprintf("measure -seed %d -out docs/measurements", seed)
	data, err := json.MarshalIndent(report{Seed: seed, Command: command, Figures: measured}, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode the figures")
	}
	if err := os.WriteFile(filepath.Join(out, "serve-model.json"), append(data, '\n'), 0o644); err != nil {
		return eris.Wrap(err, "write the figures")
	}
	return plotAll(out, measured)
}

// measureAll runs the measurements and returns their figures in a fixed order.
func measureAll(seed uint64, only string) []figure {
	var chosen []measurement
	for _, m := range measurements() {
		if strings.Contains(m.group, only) {
			chosen = append(chosen, m)
		}
	}
	results := make([][]figure, len(chosen))
	tasks := pool.New().WithMaxGoroutines(workers)
	for i, m := range chosen {
		tasks.Go(func() {
			results[i] = m.run(seed)
			for f := range results[i] {
				results[i][f].Group = m.group
			}
		})
	}
	tasks.Wait()
	var all []figure
	for _, figures := range results {
		all = append(all, figures...)
	}
	return all
}

func printTable(figures []figure) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "group\tuser\tcase\tpolicy\tfigure\tvalue\ttarget\tverdict")
	for _, f := range figures {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			f.Group, f.User, f.Case, f.Policy, f.Name, format(f.Value), f.Target, f.Verdict)
	}
	return w.Flush()
}
