package scale

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

var decades = []float64{60, 128, 300, 1000, 3000, 6000, 12800}

func pointsOf(sizes []float64, value func(float64) float64) (points []Point) {
	for _, size := range sizes {
		points = append(points, Point{Size: size, Value: value(size)})
	}
	return points
}

func near(t *testing.T, what string, got, want, part float64) {
	t.Helper()
	if math.Abs(got-want) > part*max(math.Abs(want), 1e-12) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// Each form is found from exact points, and predicts the held-out one.
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
			fit, err := FitPoints(pointsOf(decades, c.value))
			if err != nil {
				t.Fatal(err)
			}
			if fit.Form != c.form {
				t.Fatalf("got %s with residual %v, want %s", fit.Form, fit.Residual, c.form)
			}
			if fit.Fitted != len(decades)-1 {
				t.Errorf("%d points fitted, want all but one", fit.Fitted)
			}
			if c.a != 0 {
				near(t, "a", fit.A, c.a, 1e-2)
			}
			near(t, "b", fit.B, c.b, 1e-2)
			near(t, "the held-out point", fit.Predicted, fit.HeldOut.Value, 1e-2)
		})
	}
}

// The largest point does not influence the fit: the curve stays, and the error states the distance.
func TestLargestPointIsHeldOut(t *testing.T) {
	points := pointsOf(decades, func(n float64) float64 { return 10 + 2*n })
	fit, err := FitPoints(points)
	if err != nil {
		t.Fatal(err)
	}
	points[len(points)-1].Value *= 2
	other, err := FitPoints(points)
	if err != nil {
		t.Fatal(err)
	}
	if other.A != fit.A || other.B != fit.B || other.Form != fit.Form {
		t.Errorf("the curve went from %v to %v with the point that is held out", fit, other)
	}
	near(t, "error", other.HeldOutError(), -0.5, 1e-6)
}

func TestTooFewSizesToFit(t *testing.T) {
	for _, count := range []int{0, 1, minFitSizes - 1} {
		_, err := FitPoints(pointsOf(decades[:count], func(n float64) float64 { return n }))
		var few *TooFewPointsError
		if !errors.As(err, &few) || few.Sizes != count || few.Advice() == "" {
			t.Errorf("%d sizes: got %v", count, err)
		}
	}
	if _, err := FitPoints(pointsOf([]float64{5, 5, 5, 5, 9, 9}, func(n float64) float64 { return n })); err == nil {
		t.Error("two sizes, measured several times, were fitted")
	}
}

// Points with noise of up to 5 % are predicted within 20 % two octaves on, whatever the slope.
func TestFitUnderNoise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(0, 1e4).Draw(t, "a")
		b := rapid.Float64Range(1e-3, 1e3).Draw(t, "b")
		var points []Point
		for _, size := range decades {
			noise := rapid.Float64Range(0.95, 1.05).Draw(t, "noise")
			points = append(points, Point{Size: size, Value: (a + b*size) * noise})
		}
		fit, err := FitPoints(points)
		if err != nil {
			t.Fatal(err)
		}
		if far := math.Abs(fit.HeldOutError()); far > 0.5 {
			t.Errorf("%s misses the largest of a line by %.0f %%", fit.Form, 100*far)
		}
		if fit.At(0) < 0 || math.IsNaN(fit.At(1e7)) {
			t.Errorf("%s: %v at 0, %v at 1e7", fit.Form, fit.At(0), fit.At(1e7))
		}
	})
}

// A slope through few scattered points is not accepted.
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
		t.Errorf("%s, %v at a million", fit, fit.At(1e6))
	}
}

// Zero, equal and decreasing values have finite fits.
func TestFitOfDegeneratePoints(t *testing.T) {
	for name, value := range map[string]func(float64) float64{
		"zero":      func(float64) float64 { return 0 },
		"half zero": func(n float64) float64 { return max(0, n-1000) },
		"falling":   func(n float64) float64 { return 1e6 / n },
		"below":     func(n float64) float64 { return -n },
	} {
		fit, err := FitPoints(pointsOf(decades, value))
		if err != nil {
			t.Fatal(err)
		}
		for _, number := range []float64{fit.A, fit.B, fit.Residual, fit.Predicted, fit.HeldOutError()} {
			if math.IsNaN(number) || math.IsInf(number, 0) {
				t.Errorf("%s: %+v", name, fit)
			}
		}
	}
}
