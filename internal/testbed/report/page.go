package report

import (
	_ "embed"
	"errors"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"

	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

const maxListedViolations = 20

var errNoResults = errors.New("report: no results")

// pageData is the data of pageTemplate.
type pageData struct {
	Name, About string
	Seed        uint64
	Rows        []pageRow
	Plots       []plot
	Violations  []string
}

// pageRow is the table row of a policy, with means over its days.
type pageRow struct {
	Policy, Service, ServedShare, WorstWindow, WorstCustomer, SetupTimes, Connects string
	Migrations, Rejects, ViolationCount, Days                                      int
	Colour                                                                         string
}

// HTML writes a page with plots of the first seed of each policy, and a table of means over all seeds. It returns an error if there are no
// results.
func HTML(w io.Writer, name, about string, results []*count.Result) error {
	if len(results) == 0 {
		return errNoResults
	}
	shown := firstOfEachPolicy(results)
	data := pageData{Name: name, About: about, Seed: results[0].Seed, Rows: rowsOf(shown, results), Violations: violationsOf(results)}
	data.Plots = plotsOf(shown)
	return pageTemplate.Execute(w, data)
}

func firstOfEachPolicy(results []*count.Result) (first []*count.Result) {
	for _, r := range results {
		if !slices.ContainsFunc(first, func(other *count.Result) bool { return other.Policy == r.Policy }) {
			first = append(first, r)
		}
	}
	return first
}

func violationsOf(results []*count.Result) (violations []string) {
	for _, r := range results {
		for _, v := range r.Violations {
			if len(violations) < maxListedViolations {
				violations = append(violations, fmt.Sprintf("%s, seed %d: %s", r.Policy, r.Seed, v))
			}
		}
	}
	return violations
}

// rowsOf returns one row per policy, ordered by descending service.
func rowsOf(shown, results []*count.Result) (rows []pageRow) {
	for _, r := range shown {
		rows = append(rows, rowOf(r.Policy, results))
	}
	slices.SortStableFunc(rows, func(a, b pageRow) int { return strings.Compare(b.Service, a.Service) })
	return rows
}

func rowOf(policy string, results []*count.Result) pageRow {
	share := func(x float64) string { return fmt.Sprintf("%.3f", x) }
	mean, days := count.Mean(results, policy)
	return pageRow{
		Policy:         policy,
		Colour:         colourOf(policy),
		Service:        share(mean.Service),
		ServedShare:    share(mean.ServedShare),
		WorstWindow:    share(mean.WorstWindow),
		WorstCustomer:  share(mean.WorstCustomer),
		SetupTimes:     fmt.Sprintf("%.0f / %.0f", mean.SetupTimes.P50, mean.SetupTimes.P99),
		Connects:       fmt.Sprintf("%.2f", float64(mean.Connects)/float64(max(mean.Clients, 1))),
		Migrations:     mean.Migrations,
		Rejects:        mean.Rejected,
		ViolationCount: mean.ViolationCount,
		Days:           days,
	}
}

func plotsOf(shown []*count.Result) []plot {
	served := func(r *count.Result) []float64 { return r.BySecond }
	migrations := func(r *count.Result) []float64 { return floats(r.MigrationsBySecond) }
	rejects := func(r *count.Result) []float64 { return floats(r.RejectsBySecond) }
	plots := []plot{plotSeries("Service by second", "share of the value asked for", shown, 1, served)}
	for _, r := range shown {
		if r.Policy == experiment.Ours || len(shown) == 1 {
			plots = append(plots, plotLoads(r), plotSetupTimes(r))
		}
	}
	return append(plots,
		plotSeries("Moves by second", "moves", shown, scaleToFit, migrations),
		plotSeries("Rejects by second", "rejects", shown, scaleToFit, rejects),
		plotSeries("Connects for each try", "connects over tries, by second", shown, scaleToFit, connectsPerAttempt))
}

func connectsPerAttempt(r *count.Result) []float64 {
	ratios := floats(r.ConnectsBySecond)
	for i := range ratios {
		ratios[i] /= math.Max(1, float64(r.AttemptsBySecond[i]))
	}
	return ratios
}

func floats(counts []int) []float64 {
	values := make([]float64, len(counts))
	for i, n := range counts {
		values[i] = float64(n)
	}
	return values
}
