package scale

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const shownHashDigits = 12 // of a commit

// slopesTable shows each series of the current code with its fit, and the value that the fit predicts for the held-out
// point.
func (p *page) slopesTable() *table { return slopesOf(p.current) }

func slopesOf(reports *reportSet) *table {
	t := newTable("series", "what", "unit", "origin", "range, points", "fixed", "fit on all but the largest", "R², residual",
		"largest: measured, predicted", "error", "run")
	for _, name := range slices.Sorted(maps.Keys(reports.series)) {
		t.addRow(slopeRow(reports.series[name])...)
	}
	return t
}

func slopeRow(s *reportedSeries) []string {
	origin := currentTerm(originTerms, s.Origin)
	if s.Counted {
		origin += ", counted"
	}
	row := []string{"`" + s.Name + "`", s.Quantity, s.Unit, origin, fmt.Sprintf("%s, %d", s.rangeText(), len(s.Points)),
		fixedSizesText(s.FixedSizes)}
	experiment := strings.TrimSuffix(s.File, ".json")
	if s.FitErr != nil {
		return append(row, "none: "+s.FitErr.Error(), "–", pointsText(s.Points), "–", experiment)
	}
	return append(row, s.Fit.String(), s.Fit.quality(),
		digits(s.Fit.HeldOut.Value)+", "+digits(s.Fit.Predicted), signedShare(s.Fit.HeldOutError()), experiment)
}

// String is the fitted form with its coefficients.
func (f Fit) String() string {
	a, b, sign := digits(f.A), digits(f.B), " + "
	if f.B < 0 && f.Form != FormPower {
		b, sign = digits(-f.B), " - "
	}
	switch f.Form {
	case FormLinear:
		return a + sign + b + "·n"
	case FormLogLinear:
		return a + sign + b + "·n·ln n"
	case FormPower:
		return a + "·n^" + b
	default:
		return a
	}
}

// quality states R² and the residual. A dash replaces R² if R² is undefined or the form is constant.
func (f Fit) quality() string {
	residual := show(withoutRounding(f.Residual), inShare)
	if math.IsNaN(f.R2) || f.Form == FormConstant {
		return "–, " + residual
	}
	return fmt.Sprintf("%.4f, %s", f.R2, residual)
}

// withoutRounding returns a share, or 0 if the share is only a rounding error.
func withoutRounding(share float64) float64 {
	if math.Abs(share) < roundingShare {
		return 0
	}
	return share
}

func signedShare(share float64) string {
	share = withoutRounding(share)
	text := show(share, inShare)
	if share > 0 {
		return "+" + text
	}
	return text
}

func fixedSizesText(sizes map[string]float64) string {
	var texts []string
	for _, key := range slices.Sorted(maps.Keys(sizes)) {
		texts = append(texts, digits(sizes[key])+" "+key)
	}
	if len(texts) == 0 {
		return "–"
	}
	return strings.Join(texts, ", ")
}

func pointsText(points []Point) string {
	var texts []string
	for _, point := range points {
		texts = append(texts, digits(point.Size)+": "+digits(point.Value))
	}
	return strings.Join(texts, "; ")
}

// runsTable shows each report with the command that reproduces it and the commit of the program under test.
func (p *page) runsTable() *table {
	t := newTable("run", "command", "commit")
	for _, r := range p.current.reports {
		t.addRow(r.name, "`"+r.command+"`", shortCommit(r.commit))
	}
	for _, r := range p.baseline.reports {
		t.addRow(r.name+", before the bounded candidates", "`"+r.command+"`", shortCommit(r.commit))
	}
	return t
}

func shortCommit(commit string) string {
	hash, dirty, _ := strings.Cut(commit, "-")
	if len(hash) > shownHashDigits {
		hash = hash[:shownHashDigits]
	}
	if dirty != "" {
		return hash + "-" + dirty
	}
	return hash
}

// checksTable shows how many checks of each run passed, and lists those that failed.
func (p *page) checksTable() *table {
	t := newTable("run", "checks that held", "checks that did not")
	for _, r := range p.current.reports {
		var failed []string
		for _, check := range r.checks {
			if !check.Passed {
				failed = append(failed, check.Name+" ("+check.Detail+")")
			}
		}
		if len(r.checks) > 0 {
			t.addRow(r.name, fmt.Sprintf("%d of %d", len(r.checks)-len(failed), len(r.checks)), joinOrNone(failed))
		}
	}
	return t
}

func joinOrNone(texts []string) string {
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, "; ")
}

// comparisonWithBaseline compares each series of the baseline with the current series at the same sizes.
func (p *page) comparisonWithBaseline() *table {
	t := newTable("series", "unit", "at", "before", "with it", "with it / before")
	for _, name := range slices.Sorted(maps.Keys(p.baseline.series)) {
		if strings.HasPrefix(name, faultPrefix) {
			continue // faultsTable shows them
		}
		baseline := p.baseline.series[name]
		var sizes, baselineValues, currentValues, ratios []string
		for _, point := range baseline.Points {
			sizes, baselineValues = append(sizes, digits(point.Size)), append(baselineValues, digits(point.Value))
			value, ratio := p.currentAt(name, point)
			currentValues, ratios = append(currentValues, value), append(ratios, ratio)
		}
		t.addRow("`"+name+"`", baseline.Unit, strings.Join(sizes, " / ")+" "+baseline.Against, strings.Join(baselineValues, " / "),
			joinUnlessEqual(currentValues), joinUnlessEqual(ratios))
	}
	return t
}

// currentAt returns the current value of a series at the size of a baseline point, and its ratio to the baseline value.
func (p *page) currentAt(name string, baseline Point) (value, ratio string) {
	if current := p.current.series[name]; current != nil {
		if currentValue, ok := current.pointAt(baseline.Size); ok {
			return digits(currentValue), ratioText(currentValue, baseline.Value)
		}
	}
	return notMeasured, "–"
}

func ratioText(value, base float64) string {
	if base == 0 {
		return "–"
	}
	return digits(value / base)
}
