package scale

import (
	"bytes"
	_ "embed"
	"fmt"
	"path/filepath"
	"text/template"
)

//go:embed capacity.md.tmpl
var pageTemplate string

// page holds what docs/CAPACITY.md is generated from.
type page struct {
	current  *reportSet // of the current code
	baseline *reportSet // of the code before the bounded-candidates mechanism
	err      error      // error for the first missing series that a figure requires
}

// Page generates docs/CAPACITY.md from a directory of reports. The same reports result in the same bytes.
func Page(directory string) ([]byte, error) {
	current, err := readResults(directory)
	if err != nil {
		return nil, err
	}
	baseline, err := readResults(filepath.Join(directory, baselineDirectory))
	if err != nil {
		return nil, err
	}
	p := &page{current: current, baseline: baseline}
	text, err := p.render(pageTemplate)
	if err != nil {
		return nil, err
	}
	return text, nil
}

// WritePage generates docs/CAPACITY.md and writes it atomically to file.
func WritePage(directory, file string) error {
	text, err := Page(directory)
	if err != nil {
		return err
	}
	if err := replaceFile(file, text); err != nil {
		return &Error{Where: file, What: "the page can't be written", Remedy: "name a writable file with --out", Err: err}
	}
	return nil
}

func (p *page) render(text string) ([]byte, error) {
	const advice = "correct internal/testbed/scale/capacity.md.tmpl"
	parsed, err := template.New("capacity.md.tmpl").Funcs(p.functions()).Parse(text)
	if err != nil {
		return nil, &Error{Where: "capacity.md.tmpl", What: "is not a valid template", Remedy: advice, Err: err}
	}
	var out bytes.Buffer
	err = parsed.Execute(&out, nil)
	if p.err != nil {
		return nil, p.err
	}
	if err != nil {
		return nil, &Error{Where: "capacity.md.tmpl", What: "can't be executed as a template", Remedy: advice, Err: err}
	}
	return out.Bytes(), nil
}

// functions returns the functions that the template calls.
func (p *page) functions() template.FuncMap {
	tables := p.dayTables()
	tables["limits"] = p.requirementsTable()
	tables["own terms"] = requirementsTableOf(p.designRequirements())
	tables["zoned"] = p.zonedTable()
	tables["missing"] = p.unmetRequirementsTable()
	tables["assumptions"] = p.assumptionsTable()
	tables["situations"] = situationsTable()
	tables["faults"] = p.faultsTable()
	tables["hollow"] = p.simulatedAgainstRealTable()
	tables["sizes"] = p.sizesTable()
	tables["slopes"] = p.slopesTable()
	tables["slopes before"] = slopesOf(p.baseline)
	tables["mechanism"] = p.comparisonWithBaseline()
	tables["checks"] = p.checksTable()
	tables["runs"] = p.runsTable()
	return template.FuncMap{
		"table": func(name string) (string, error) {
			found := tables[name]
			if found == nil {
				return "", fmt.Errorf("unknown table %q", name)
			}
			return found.String(), nil
		},
		"roles": p.roles,
		"part":  p.partTable,
		"say":   proseFigure,
	}
}

// proseFigure returns a figure of proseFigures as text, for the paragraphs of the template.
func proseFigure(name string) (string, error) {
	f, ok := proseFigures[name]
	if !ok {
		return "", fmt.Errorf("unknown figure %q", name)
	}
	return f.String(), nil
}

// proseFigures holds the fleet's sizes and values derived from them, by their names in the template.
var proseFigures = map[string]figure{
	"connections":          calculated(connectionsPerBalancer, inCount),
	"fewest servers":       calculated(fewestServers, inCount),
	"likely servers":       calculated(likelyServers, inCount),
	"most servers":         calculated(mostServers, inCount),
	"balancers":            calculated(fleetBalancers, inCount),
	"setups in flight":     calculated(setupLimit(), inCount),
	"zone survivors":       calculated(zoneSurvivors, inCount),
	"zone share":           calculated(zoneTakeover, inCount),
	"zone increase":        calculated(zoneTakeover/connectionsPerBalancer, inShare),
	"zone duration":        calculated(zoneTakeover*setupSeconds/setupLimit(), inSeconds),
	"missed changes":       calculated(missedChanges, inCount),
	"listeners":            calculated(listenersPerBalancer, inCount),
	"change interval":      calculated(changeInterval, inSeconds),
	"replacement interval": calculated(replacementInterval, inSeconds),
	"reconnects":           calculated(fleetReconnectRate, inRate),
	"partition":            calculated(partitionSeconds, inSeconds),
	"change limit":         calculated(changeLimitSeconds, inSeconds),
}
