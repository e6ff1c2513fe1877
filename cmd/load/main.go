// Load measures what the roles cost: it starts clusters of real processes on
// loopback, drives them for a bounded time and writes the raw figures as CSV
// files.
//
//	load --seed=20261204 --out=docs/measurements starts rates nodes rolling recovery overload sizes fits
//	load --leader=smaller --label=leader-smaller regions
package main

import (
	"context"
	"encoding/csv"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// options are the flags.
type options struct {
	binary string
	out    string
	note   string
	label  string
	seed   uint64
	step   time.Duration
	limit  time.Duration
	sizes  []int
	steps  []string
	// replicas is the number of control replicas of nodes.
	replicas int
	regions  regionOptions
}

// runs are the measurements by name.
var runs = map[string]func(ctx context.Context, o options) error{
	"starts":   measureStarts,
	"rates":    measureRates,
	"nodes":    measureNodes,
	"rolling":  measureRolling,
	"recovery": measureRecovery,
	"overload": measureOverload,
	"sizes":    measureSizes,
	"fits":     measureFits,
	"regions":  measureRegions,
}

func main() {
	var o options
	app := kingpin.New("load", "Measures the cost of the roles with real processes on loopback.")
	app.Flag("binary", "The zinniasill program.").Default("bin/zinniasill").StringVar(&o.binary)
	app.Flag("out", "Folder for the raw figures.").Default("docs/measurements").StringVar(&o.out)
	app.Flag("label", "Suffix of the file names, to tell versions apart.").StringVar(&o.label)
	app.Flag("note", "What else the machine did, for the head of the files.").
		Default("shared machine, other work ran at the same time").StringVar(&o.note)
	app.Flag("seed", "Seed of the payloads and the pacing.").Default("20261204").Uint64Var(&o.seed)
	app.Flag("step", "Length of one measured step.").Default("5s").DurationVar(&o.step)
	app.Flag("limit", "Time after which the measurement stops.").Default("3m").DurationVar(&o.limit)
	app.Flag("size", "Numbers of stand-in nodes, ascending.").Default("6", "24", "96", "384", "1400").IntsVar(&o.sizes)
	app.Flag("replicas", "Control replicas of nodes, 3 to 7.").Default("3").IntVar(&o.replicas)
	app.Flag("delay", "One-way delay between the two regions.").Default("10ms").DurationVar(&o.regions.delay)
	app.Flag("cut", "How long the regions lose each other.").Default("60s").DurationVar(&o.regions.cut)
	app.Flag("leader", "Region of the control leader at the start: larger or smaller.").
		Default("larger").EnumVar(&o.regions.leader, "larger", "smaller")
	app.Arg("measurements", "starts, rates, nodes, rolling, recovery, overload, sizes, regions or fits.").Required().
		EnumsVar(&o.steps, "starts", "rates", "nodes", "rolling", "recovery", "overload", "sizes", "regions", "fits")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.limit)
	defer cancel()
	for _, step := range o.steps {
		if err := runs[step](ctx, o); err != nil {
			logrus.WithError(err).Fatalf("measure %s", step)
		}
	}
}

// table collects the rows of one CSV file.
type table struct {
	rows [][]string
}

func newTable(columns ...string) *table {
	return &table{rows: [][]string{columns}}
}

// add appends a row of strings, integers and floating-point numbers.
func (t *table) add(values ...any) {
	var row []string
	for _, value := range values {
		switch v := value.(type) {
		case string:
			row = append(row, v)
		case int:
			row = append(row, strconv.Itoa(v))
		case float64:
			row = append(row, strconv.FormatFloat(v, 'g', 6, 64))
		}
	}
	t.rows = append(t.rows, row)
	logrus.Info(strings.Join(row, " "))
}

// write writes the file, with the command that made it as a comment.
func (t *table) write(o options, name string) error {
	if o.label != "" {
		name += "-" + o.label
	}
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return eris.Wrap(err, "create the folder for figures")
	}
	file, err := os.Create(filepath.Join(o.out, name+".csv"))
	if err != nil {
		return eris.Wrapf(err, "create the file for %s", name)
	}
	defer func() { _ = file.Close() }()
	args := strings.Join(os.Args[1:], " ")
	note := "# load " + args + "; seed " + strconv.FormatUint(o.seed, 10) + "; " + o.note + "\n"
	if _, err := file.WriteString(note); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	writer := csv.NewWriter(file)
	return eris.Wrapf(writer.WriteAll(t.rows), "write %s", name)
}
