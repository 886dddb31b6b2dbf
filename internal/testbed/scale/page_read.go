package scale

import (
	"fmt"
	"path/filepath"
	"slices"
)

const (
	baselineDirectory = "before" // subdirectory of the results: reports of the code before the bounded-candidates mechanism
	rerunAdvice       = "run its experiment again: testbed scale run writes complete reports"
)

// reportedSeries is a series in current terms, with the report that has it and its fit.
type reportedSeries struct {
	Series
	File    string // base name of the report file
	Command string
	Commit  string
	Fit     Fit
	FitErr  error // why there is no fit
}

// reportSet holds the reports of a directory, and all their series by name.
type reportSet struct {
	directory string
	series    map[string]*reportedSeries
	reports   []reportRun
}

// reportRun is the run of one report, with its checks.
type reportRun struct {
	name    string
	command string
	commit  string
	checks  []Check
}

// readResults reads the reports of a directory, without its subdirectories.
func readResults(directory string) (*reportSet, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, &Error{Where: directory, What: "can't be searched for reports", Remedy: "name a directory of reports", Err: err}
	}
	slices.Sort(files)
	reports := &reportSet{directory: directory, series: map[string]*reportedSeries{}}
	for _, file := range files {
		report, err := ReadReport(file)
		if err != nil {
			return nil, err
		}
		if err := reports.addReport(file, report); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// addReport adds a report and its series; a series that another report has already is an error.
func (r *reportSet) addReport(file string, report *Report) error {
	for _, series := range report.Series {
		where := file + ": series " + series.Name
		if first := r.series[series.Name]; first != nil {
			return &Error{
				Where:  where,
				What:   "is in " + first.File + " too",
				Remedy: "rename one of the two series, or remove one of the reports",
			}
		}
		if !slices.Contains([]Origin{Measured, Simulated, Calculated}, series.Origin) {
			return &Error{Where: where + ": origin", What: fmt.Sprintf("%q is not known", series.Origin), Remedy: rerunAdvice}
		}
		entry := &reportedSeries{Series: series.inCurrentTerms(), File: filepath.Base(file), Command: report.Command, Commit: report.Commit}
		entry.Points = averageBySize(series.Points)
		entry.Fit, entry.FitErr = FitPoints(series.Points)
		r.series[series.Name] = entry
	}
	r.reports = append(r.reports, reportRun{name: report.Experiment, command: report.Command, commit: report.Commit, checks: report.Checks})
	return nil
}
