package scale

import (
	"bytes"
	_ "embed"
	"fmt"
	"path/filepath"
	"text/template"
)

//go:embed capacity.md.tmpl
var pageText string

// page holds what docs/CAPACITY.md is generated from.
type page struct {
	current  *reportSet // of the current code
	baseline *reportSet // of the code before the bounded-candidates mechanism
	err      error      // the first fault of a table row
}

// Page generates docs/CAPACITY.md from a directory of reports. The same reports give the same bytes.
func Page(directory string) ([]byte, error) {
	after, err := readResults(directory)
	if err != nil {
		return nil, err
	}
	before, err := readResults(filepath.Join(directory, baselineDirectory))
	if err != nil {
		return nil, err
	}
	p := &page{current: after, baseline: before}
	text, err := p.render(pageText)
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
		return &Error{Where: file, What: "the page can't be written", Remedy: "name a file that can be written with --out", Err: err}
	}
	return nil
}

func (p *page) render(text string) ([]byte, error) {
	const advice = "correct capacity.md.tmpl in internal/testbed/scale"
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
		return nil, &Error{Where: "capacity.md.tmpl", What: "can't be filled in", Remedy: advice, Err: err}
	}
	return out.Bytes(), nil
}

// functions are the functions that the template calls.
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
				return "", fmt.Errorf("no table %q", name)
			}
			return found.String(), nil
		},
		"roles": p.roles,
		"part":  p.partTable,
		"say":   proseFigure,
	}
}

// proseFigure is a figure of the fleet's sizes, for the template's prose.
func proseFigure(name string) (string, error) {
	f, ok := proseFigures[name]
	if !ok {
		return "", fmt.Errorf("no figure %q", name)
	}
	return f.String(), nil
}

var proseFigures = map[string]figure{
	"connections":          calculated(connectionsPerBalancer, inCount),
	"fewest servers":       calculated(smallestServers, inCount),
	"likely servers":       calculated(likelyServers, inCount),
	"most servers":         calculated(largestServers, inCount),
	"balancers":            calculated(fleetBalancers, inCount),
	"setups in flight":     calculated(setupLimit(), inCount),
	"zone survivors":       calculated(zoneSuccessors, inCount),
	"zone share":           calculated(zoneShare, inCount),
	"zone increase":        calculated(zoneShare/connectionsPerBalancer, inShare),
	"zone duration":        calculated(zoneShare*setupSeconds/setupLimit(), inSeconds),
	"missed changes":       calculated(missedChanges, inCount),
	"listeners":            calculated(listenersPerBalancer, inCount),
	"change interval":      calculated(changeInterval, inSeconds),
	"replacement interval": calculated(replacementSeconds, inSeconds),
	"reconnects":           calculated(fleetReconnects, inRate),
	"partition":            calculated(partitionSeconds, inSeconds),
	"change limit":         calculated(changeSeconds, inSeconds),
}
