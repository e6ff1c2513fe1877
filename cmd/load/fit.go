package main

import (
	"context"
	"encoding/csv"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// line is a least-squares fit y = intercept + slope*x.
type line struct {
	intercept, slope, rSquared float64
}

// fitLine fits a line through points. At least two must differ in x.
func fitLine(x, y []float64) line {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	fit := line{slope: slope, intercept: (sumY - slope*sumX) / n}
	var residual, total float64
	for i := range x {
		miss := y[i] - fit.intercept - fit.slope*x[i]
		residual += miss * miss
		total += (y[i] - sumY/n) * (y[i] - sumY/n)
	}
	if total > 0 {
		fit.rSquared = 1 - residual/total
	}
	return fit
}

// relation names two columns of a file, and the values that other columns must
// have.
type relation struct {
	file, x, y string
	where      map[string]string
	// prefix, if set, must begin the column step.
	prefix string
}

func relations() []relation {
	var list []relation
	for _, y := range []string{"cores-sum", "cores-max", "resident-max-mib", "sent-bytes-per-second"} {
		control := map[string]string{"role": "control", "changes-per-second": "0"}
		list = append(list, relation{file: "nodes-roles", x: "agents", y: y, where: control})
	}
	atRest := map[string]string{"changes-per-second": "0"}
	list = append(list,
		relation{file: "nodes-roles", x: "agents", y: "resident-max-mib", where: map[string]string{"role": "entry", "changes-per-second": "0"}},
		relation{file: "nodes", x: "agents", y: "node-received-bytes-per-second", where: atRest},
		relation{file: "nodes", x: "changes-per-second", y: "node-received-bytes-per-second", where: map[string]string{"agents": "1000"}},
		relation{file: "nodes-roles", x: "changes-per-second", y: "cores-sum", where: map[string]string{"agents": "1000", "role": "control"}},
		relation{file: "sizes", x: "agents", y: "catalog-bytes"},
		relation{file: "sizes", x: "agents", y: "epoch-members-bytes"},
		relation{file: "sizes", x: "agents", y: "catalog-64-epochs-bytes"},
		relation{file: "sizes", x: "agents", y: "catalog-64-epochs-heap-bytes"},
		relation{file: "sizes", x: "agents", y: "group-first-us"},
		relation{file: "sizes", x: "agents", y: "clone-us"},
		relation{file: "recovery", x: "log-entries", y: "caught-up-ms"},
	)
	for _, prefix := range []string{"jobs-of-1-at", "jobs-of-10-at"} {
		for _, role := range []string{"entry", "agent"} {
			for _, y := range []string{"cores-sum", "resident-max-mib"} {
				list = append(list, relation{
					file: "rates-roles", x: "starts-per-second", y: y, where: map[string]string{"role": role}, prefix: prefix,
				})
			}
		}
	}
	return list
}

// measureFits fits lines through the figures of the other measurements.
func measureFits(_ context.Context, o options) error {
	results := newTable("file", "where", "x", "y", "points", "intercept", "slope", "r-squared")
	for _, r := range relations() {
		x, y, err := r.points(o)
		if err != nil {
			return err
		}
		fit := fitLine(x, y)
		results.add(r.file, r.prefix+r.where["role"], r.x, r.y, len(x), fit.intercept, fit.slope, fit.rSquared)
	}
	return results.write(o, "fits")
}

func (r relation) points(o options) (x, y []float64, err error) {
	file, err := os.Open(filepath.Join(o.out, r.file+".csv"))
	if err != nil {
		return nil, nil, eris.Wrapf(err, "read the figures of %s", r.file)
	}
	defer func() { _ = file.Close() }()
	reader := csv.NewReader(file)
	reader.Comment = '#'
	rows, err := reader.ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, nil, eris.Wrapf(err, "read the figures of %s", r.file)
	}
	columns := rows[0]
	for _, row := range rows[1:] {
		if !r.matches(columns, row) {
			continue
		}
		atX, errX := strconv.ParseFloat(row[slices.Index(columns, r.x)], 64)
		atY, errY := strconv.ParseFloat(row[slices.Index(columns, r.y)], 64)
		if errX != nil || errY != nil {
			return nil, nil, eris.Errorf("figures of %s: %v is not a number", r.file, row)
		}
		x, y = append(x, atX), append(y, atY)
	}
	return x, y, nil
}

func (r relation) matches(columns, row []string) bool {
	for column, value := range r.where {
		if row[slices.Index(columns, column)] != value {
			return false
		}
	}
	return len(row[0]) >= len(r.prefix) && row[0][:len(r.prefix)] == r.prefix
}
