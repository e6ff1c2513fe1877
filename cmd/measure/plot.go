package main

import (
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 14
)

// plotAll writes the plots.
func plotAll(out string, figures []figure) error {
	if err := plotResponses(filepath.Join(out, "response-by-policy.svg"), figures); err != nil {
		return eris.Wrap(err, "plot the responses")
	}
	return eris.Wrap(plotGoodput(filepath.Join(out, "goodput.svg"), figures), "plot the goodput")
}

// plotResponses draws the p99 ratios of the policies at each load.
func plotResponses(path string, figures []figure) error {
	p := plot.New()
	p.Title.Text = "One-task jobs, atlas: response / ideal at p99"
	p.Y.Label.Text = "ratio"
	p.Y.Min = 0
	var names []string
	values := map[string]plotter.Values{}
	var order []string
	for _, f := range figures {
		load, isOne := strings.CutSuffix(f.Case, ", "+oneTask)
		if f.Group != "response" || f.User != "atlas" || f.Name != "response/ideal p99" || !isOne {
			continue
		}
		if len(names) == 0 || names[len(names)-1] != load {
			names = append(names, load)
		}
		if values[f.Policy] == nil {
			order = append(order, f.Policy)
		}
		values[f.Policy] = append(values[f.Policy], f.Value)
	}
	for i, policy := range order {
		bars, err := plotter.NewBarChart(values[policy], vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(i-1) * barWidth)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}

// plotGoodput draws the goodput over the offered load.
func plotGoodput(path string, figures []figure) error {
	p := plot.New()
	p.Title.Text = "Goodput over offered load, one-task jobs"
	p.X.Label.Text = "offered load / capacity"
	p.Y.Label.Text = "goodput / capacity"
	p.Y.Min = 0
	var lines []any
	for _, u := range users() {
		var points plotter.XYs
		for _, f := range figures {
			if f.Group == "overload" && f.User == u.name && f.Name == "goodput / capacity" && strings.HasSuffix(f.Case, oneTask) {
				points = append(points, plotter.XY{X: f.Load, Y: f.Value})
			}
		}
		lines = append(lines, u.name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Legend.Top = false
	return p.Save(plotWidth, plotHeight, path)
}
