package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/optimize"
	"gonum.org/v1/gonum/stat"
)

// Form is the shape of a fitted curve over the size n.
type Form string

// The forms of a fit, the simplest first.
const (
	FormConstant  Form = "a"            // the mean, whatever the size
	FormLinear    Form = "a + b·n"      // grows with n
	FormLogLinear Form = "a + b·n·ln n" // grows with n·ln n
	FormPower     Form = "a·n^b"        // grows with a power of n
)

// slopeForms are the forms that depend on the size.
var slopeForms = []Form{FormLinear, FormLogLinear, FormPower}

const (
	slopeScatterShare = 0.5  // largest share of the scatter around the mean that a slope may leave; one that leaves more may be fitted to noise of few points
	minFitSizes       = 4    // three for the fit and the one held out
	minRelativeScale  = 0.01 // share of the largest value; the smallest divisor of a relative residual
	roundingShare     = 1e-9 // share of the largest value; terms below it are rounding errors
	minResidual       = 1e-3 // forms with residuals below it fit equally well; the simplest of them is chosen
)

// Fit is a curve fitted to all points of a series but the largest, which is held out and predicted by the curve.
type Fit struct {
	Form        Form
	A, B        float64
	FittedSizes int     // number of sizes
	R2          float64 // of the fitted points, with the weights of the fit
	Residual    float64 // root mean square of the relative residuals of the fitted points
	HeldOut     Point   // the largest point
	Predicted   float64 // at the size of HeldOut
}

// At is the fitted value at a size, at least 0.
func (f Fit) At(size float64) float64 {
	return max(0, f.value(size))
}

func (f Fit) value(size float64) float64 {
	switch f.Form {
	case FormLinear:
		return f.A + f.B*size
	case FormLogLinear:
		return f.A + f.B*logLinear(size)
	case FormPower:
		return f.A * math.Pow(size, f.B)
	default:
		return f.A
	}
}

// HeldOutError is the signed relative error of the prediction for the held-out point, or the prediction itself if that point is
// 0.
func (f Fit) HeldOutError() float64 {
	if f.HeldOut.Value == 0 {
		return f.Predicted
	}
	return f.Predicted/f.HeldOut.Value - 1
}

func (f Fit) absHeldOutError() float64 { return math.Abs(f.HeldOutError()) }

// TooFewPointsError reports that a series has too few sizes for a fit with its largest held out.
type TooFewPointsError struct {
	Sizes int
}

// Error states how many sizes there are and how many are needed.
func (e *TooFewPointsError) Error() string {
	return fmt.Sprintf("%d sizes, %d are needed for a fit with the largest held out", e.Sizes, minFitSizes)
}

// Advice says what an operator can do.
func (e *TooFewPointsError) Advice() string {
	return "add sizes to the experiment's file and run it again"
}

// FitPoints fits all points but the largest, and chooses the form with the lowest bayesianCriterion. A form with a slope
// is only considered if it removes at least half of the scatter around the mean.
func FitPoints(points []Point) (Fit, error) {
	points = averageBySize(points)
	if len(points) < minFitSizes {
		return Fit{}, &TooFewPointsError{Sizes: len(points)}
	}
	fitted := points[:len(points)-1]
	heldOut := points[len(points)-1]
	best, _ := fitForm(FormConstant, fitted)
	least, scatter := bayesianCriterion(best), best.Residual
	for _, form := range slopeForms {
		fit, ok := fitForm(form, fitted)
		if !ok || fit.Residual > slopeScatterShare*scatter {
			continue
		}
		if criterion := bayesianCriterion(fit); criterion < least {
			best, least = fit, criterion
		}
	}
	best.HeldOut = heldOut
	best.Predicted = best.At(heldOut.Size)
	return best, nil
}

// bayesianCriterion is the Bayesian information criterion, by Schwarz, for relative residuals; the lowest is best.
func bayesianCriterion(fit Fit) float64 {
	coefficients := 2.0
	if fit.Form == FormConstant {
		coefficients = 1
	}
	count := float64(fit.FittedSizes)
	return 2*count*math.Log(max(fit.Residual, minResidual)) + coefficients*math.Log(count)
}

// fitForm fits one form. It reports false if the form can't be fitted to the points.
func fitForm(form Form, points []Point) (Fit, bool) {
	fit := Fit{Form: form, FittedSizes: len(points)}
	sizes, values := pointColumns(points)
	weights := relativeWeights(values)
	switch form {
	case FormConstant:
		fit.A = stat.Mean(values, weights)
	case FormLinear:
		fit.A, fit.B = stat.LinearRegression(sizes, values, weights, false)
	case FormLogLinear:
		fit.A, fit.B = stat.LinearRegression(mapValues(sizes, logLinear), values, weights, false)
	case FormPower:
		var ok bool
		if fit.A, fit.B, ok = fitPower(sizes, values, weights); !ok {
			return Fit{}, false
		}
	}
	fit.dropRoundingErrors(sizes, values)
	estimates := mapValues(sizes, fit.value)
	fit.R2 = stat.RSquaredFrom(estimates, values, weights)
	fit.Residual = weightedResidual(estimates, values, weights)
	return fit, !math.IsNaN(fit.Residual)
}

// dropRoundingErrors sets coefficients to 0 that contribute no more than rounding errors.
func (f *Fit) dropRoundingErrors(sizes, values []float64) {
	if f.Form != FormLinear && f.Form != FormLogLinear {
		return
	}
	if math.Abs(f.A) < roundingShare*slices.Max(values) {
		f.A = 0
	}
	if math.Abs(f.B)*slices.Max(sizes) < roundingShare*slices.Max(values) {
		f.B = 0
	}
}

// fitPower fits a·n^b. It starts from a linear regression of the logarithms and then minimizes the relative residuals, as
// the other forms do.
func fitPower(sizes, values, weights []float64) (a, b float64, ok bool) {
	if slices.Min(sizes) <= 0 || slices.Min(values) <= 0 {
		return 0, 0, false
	}
	logA, b := stat.LinearRegression(mapValues(sizes, math.Log), mapValues(values, math.Log), nil, false)
	residual := func(x []float64) float64 {
		power := Fit{Form: FormPower, A: math.Exp(x[0]), B: x[1]}
		return weightedResidual(mapValues(sizes, power.value), values, weights)
	}
	start := []float64{logA, b}
	result, err := optimize.Minimize(optimize.Problem{Func: residual}, start, nil, &optimize.NelderMead{})
	if err != nil || result.F > residual(start) {
		return math.Exp(logA), b, true
	}
	return math.Exp(result.X[0]), result.X[1], true
}

// relativeWeights returns weights that make residuals relative to the values, because the sizes span several orders of
// magnitude.
func relativeWeights(values []float64) []float64 {
	largest := 0.0
	for _, value := range values {
		largest = max(largest, math.Abs(value))
	}
	weights := make([]float64, len(values))
	for i, value := range values {
		weights[i] = 1
		if scale := max(math.Abs(value), minRelativeScale*largest); scale > 0 {
			weights[i] = 1 / (scale * scale)
		}
	}
	return weights
}

// weightedResidual is the root mean square of the weighted residuals.
func weightedResidual(estimates, values, weights []float64) float64 {
	sum := 0.0
	for i := range values {
		sum += weights[i] * (estimates[i] - values[i]) * (estimates[i] - values[i])
	}
	return math.Sqrt(sum / float64(len(values)))
}

// averageBySize sorts points by size and averages the values of points of equal size.
func averageBySize(points []Point) []Point {
	bySize := map[float64][]float64{}
	for _, point := range points {
		bySize[point.Size] = append(bySize[point.Size], point.Value)
	}
	var means []Point
	for size, values := range bySize {
		means = append(means, Point{Size: size, Value: stat.Mean(values, nil)})
	}
	slices.SortFunc(means, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return means
}

func pointColumns(points []Point) (sizes, values []float64) {
	for _, point := range points {
		sizes = append(sizes, point.Size)
		values = append(values, point.Value)
	}
	return sizes, values
}

func mapValues(values []float64, f func(float64) float64) []float64 {
	result := make([]float64, len(values))
	for i, value := range values {
		result[i] = f(value)
	}
	return result
}

func logLinear(size float64) float64 { return size * math.Log(max(size, 1)) }
