package main

import (
	"math"
	"testing"
)

// TestFitLine guards against slopes on the capacity page that do not follow from
// the figures.
func TestFitLine(t *testing.T) {
	fit := fitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	if math.Abs(fit.slope-2) > 1e-9 || math.Abs(fit.intercept-3) > 1e-9 || math.Abs(fit.rSquared-1) > 1e-9 {
		t.Errorf("fit of an exact line: %+v", fit)
	}
	fit = fitLine([]float64{0, 1, 2}, []float64{0, 3, 0})
	if math.Abs(fit.slope) > 1e-9 || math.Abs(fit.intercept-1) > 1e-9 || math.Abs(fit.rSquared) > 1e-9 {
		t.Errorf("fit without a slope: %+v", fit)
	}
}
