package scale

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

var testSizes = []float64{60, 128, 300, 1000, 3000, 6000, 12800}

func pointsOf(sizes []float64, value func(float64) float64) (points []Point) {
	for _, size := range sizes {
		points = append(points, Point{Size: size, Value: value(size)})
	}
	return points
}

func checkNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*max(math.Abs(want), 1e-12) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// From exact points of a form, that form is selected, and it predicts the held-out point.
func TestFitSelectsTheForm(t *testing.T) {
	for _, c := range []struct {
		name  string
		form  Form
		a, b  float64
		value func(float64) float64
	}{
		{"constant", FormConstant, 42, 0, func(float64) float64 { return 42 }},
		{"linear", FormLinear, 100, 4.8, func(n float64) float64 { return 100 + 4.8*n }},
		{"through the origin", FormLinear, 0, 0.25, func(n float64) float64 { return 0.25 * n }},
		{"n log n", FormLogLinear, 5, 0.3, func(n float64) float64 { return 5 + 0.3*n*math.Log(n) }},
		{"square root", FormPower, 3, 0.5, func(n float64) float64 { return 3 * math.Sqrt(n) }},
		{"square", FormPower, 0.001, 2, func(n float64) float64 { return 0.001 * n * n }},
	} {
		t.Run(c.name, func(t *testing.T) {
			fit, err := FitPoints(pointsOf(testSizes, c.value))
			if err != nil {
				t.Fatal(err)
			}
			if fit.Form != c.form {
				t.Fatalf("selected %s with residual %v, want %s", fit.Form, fit.Residual, c.form)
			}
			if fit.FittedSizes != len(testSizes)-1 {
				t.Errorf("%d sizes fitted, want all but the largest", fit.FittedSizes)
			}
			if c.a != 0 {
				checkNear(t, "a", fit.A, c.a, 1e-2)
			}
			checkNear(t, "b", fit.B, c.b, 1e-2)
			checkNear(t, "the held-out point", fit.Predicted, fit.HeldOut.Value, 1e-2)
		})
	}
}

// A different largest point changes only the error of the prediction, not the curve.
func TestLargestPointIsHeldOut(t *testing.T) {
	points := pointsOf(testSizes, func(n float64) float64 { return 10 + 2*n })
	fit, err := FitPoints(points)
	if err != nil {
		t.Fatal(err)
	}
	points[len(points)-1].Value *= 2
	refitted, err := FitPoints(points)
	if err != nil {
		t.Fatal(err)
	}
	if refitted.A != fit.A || refitted.B != fit.B || refitted.Form != fit.Form {
		t.Errorf("the curve changed from %v to %v with the held-out point", fit, refitted)
	}
	checkNear(t, "error", refitted.HeldOutError(), -0.5, 1e-6)
}

func TestTooFewSizesToFit(t *testing.T) {
	for _, count := range []int{0, 1, minFitSizes - 1} {
		_, err := FitPoints(pointsOf(testSizes[:count], func(n float64) float64 { return n }))
		var tooFew *TooFewPointsError
		if !errors.As(err, &tooFew) || tooFew.Sizes != count || tooFew.Advice() == "" {
			t.Errorf("%d sizes: error %v, want a TooFewPointsError with that number and advice", count, err)
		}
	}
	if _, err := FitPoints(pointsOf([]float64{5, 5, 5, 5, 9, 9}, func(n float64) float64 { return n })); err == nil {
		t.Error("two sizes, measured several times, were accepted for a fit")
	}
}

// The largest point of a line with noise of up to 5 % is predicted with an error of at most 50 %, whatever the slope.
func TestFitUnderNoise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(0, 1e4).Draw(t, "a")
		b := rapid.Float64Range(1e-3, 1e3).Draw(t, "b")
		var points []Point
		for _, size := range testSizes {
			noise := rapid.Float64Range(0.95, 1.05).Draw(t, "noise")
			points = append(points, Point{Size: size, Value: (a + b*size) * noise})
		}
		fit, err := FitPoints(points)
		if err != nil {
			t.Fatal(err)
		}
		if deviation := math.Abs(fit.HeldOutError()); deviation > 0.5 {
			t.Errorf("%s misses the largest point of a line by %.0f %%", fit.Form, 100*deviation)
		}
		if fit.At(0) < 0 || math.IsNaN(fit.At(1e7)) {
			t.Errorf("%s: %v at 0, %v at 1e7; want at least 0 at 0, and a number at 1e7", fit.Form, fit.At(0), fit.At(1e7))
		}
	})
}

// Few scattered points are fitted by their mean, not by a slope.
func TestNoiseIsNotFittedAsASlope(t *testing.T) {
	sizes := []float64{800, 2500, 8000, 25000, 79012}
	values := []float64{341, 288, 402, 235, 240}
	var points []Point
	for i, size := range sizes {
		points = append(points, Point{Size: size, Value: values[i]})
	}
	fit, err := FitPoints(points)
	if err != nil {
		t.Fatal(err)
	}
	if fit.Form != FormConstant || fit.At(1e6) < 200 {
		t.Errorf("fitted %s, which is %v at 1e6; want a constant", fit, fit.At(1e6))
	}
}

// Zero, partly zero, decreasing and negative values have finite fits.
func TestFitOfDegeneratePoints(t *testing.T) {
	for name, value := range map[string]func(float64) float64{
		"zero":       func(float64) float64 { return 0 },
		"half zero":  func(n float64) float64 { return max(0, n-1000) },
		"decreasing": func(n float64) float64 { return 1e6 / n },
		"negative":   func(n float64) float64 { return -n },
	} {
		fit, err := FitPoints(pointsOf(testSizes, value))
		if err != nil {
			t.Fatal(err)
		}
		for _, number := range []float64{fit.A, fit.B, fit.Residual, fit.Predicted, fit.HeldOutError()} {
			if math.IsNaN(number) || math.IsInf(number, 0) {
				t.Errorf("%s: fit %+v, want only finite numbers", name, fit)
			}
		}
	}
}
