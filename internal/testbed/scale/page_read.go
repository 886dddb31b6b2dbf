package scale

import (
	"fmt"
	"path/filepath"
	"slices"
)

const (
	beforeFolder = "before" // inside the folder of results: the reports of the code before the mechanism
	rerunCommand = "run its experiment again: testbed scale run writes reports whole"
)

// evidence is a series with where it came from.
type evidence struct {
	Series
	File    string
	Command string
	Commit  string
	Fit     Fit
	FitErr  error // why there is no fit
}

// results are the reports of a folder, and all their series by name.
type results struct {
	folder  string
	series  map[string]*evidence
	reports []reportRun
}

// reportRun is how one report came about, and what had to hold in it.
type reportRun struct {
	name    string
	command string
	commit  string
	checks  []Check
}

// readResults reads each report of a folder, not of the folders in it.
func readResults(folder string) (*results, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, &Error{Where: folder, What: "can't be searched", Remedy: "name a folder of reports", Err: err}
	}
	slices.Sort(files)
	all := &results{folder: folder, series: map[string]*evidence{}}
	for _, file := range files {
		report, err := ReadReport(file)
		if err != nil {
			return nil, err
		}
		if err := all.add(file, report); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (r *results) add(file string, report *Report) error {
	for _, series := range report.Series {
		where := file + ": series " + series.Name
		if first := r.series[series.Name]; first != nil {
			return &Error{Where: where, What: "stands in " + first.File + " too", Remedy: "give one of both another name, or take one report away"}
		}
		if !slices.Contains([]Origin{Measured, Simulated, Reckoned}, series.Origin) {
			return &Error{Where: where + ": origin", What: fmt.Sprintf("%q is not known", series.Origin), Remedy: rerunCommand}
		}
		entry := &evidence{Series: series, File: filepath.Base(file), Command: report.Command, Commit: report.Commit}
		entry.Points = meanBySize(series.Points)
		entry.Fit, entry.FitErr = FitPoints(series.Points)
		r.series[series.Name] = entry
	}
	r.reports = append(r.reports, reportRun{name: report.Experiment, command: report.Command, commit: report.Commit, checks: report.Checks})
	return nil
}
