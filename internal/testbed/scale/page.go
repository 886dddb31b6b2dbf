package scale

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/template"
)

//go:embed capacity.md.tmpl
var pageText string

// page is docs/CAPACITY.md while it is made.
type page struct {
	after  *results // of the code as it is
	before *results // of the code before the mechanism
	err    error    // the first fault that a row met
}

// Page makes docs/CAPACITY.md from a folder of reports. It is the same for the same reports, byte for byte.
func Page(folder string) ([]byte, error) {
	after, err := readResults(folder)
	if err != nil {
		return nil, err
	}
	before, err := readResults(filepath.Join(folder, beforeFolder))
	if err != nil {
		return nil, err
	}
	p := &page{after: after, before: before}
	text, err := p.render(pageText)
	if err != nil {
		return nil, err
	}
	return text, nil
}

// WritePage makes the page and writes it, whole or not at all.
func WritePage(folder, file string) error {
	text, err := Page(folder)
	if err != nil {
		return err
	}
	return replaceFile(file, text)
}

func (p *page) render(text string) ([]byte, error) {
	const advice = "mend capacity.md.tmpl beside the package"
	parsed, err := template.New("capacity.md.tmpl").Funcs(p.functions()).Parse(text)
	if err != nil {
		return nil, &Error{Where: "capacity.md.tmpl", What: "is no template", Remedy: advice, Err: err}
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

// functions are what the template can call.
func (p *page) functions() template.FuncMap {
	tables := p.dayTables()
	tables["limits"] = p.limitsTable()
	tables["own terms"] = tableOf(p.ownTerms())
	tables["zoned"] = p.zonedTable()
	tables["missing"] = p.missingTable()
	tables["assumptions"] = p.assumptionsTable()
	tables["situations"] = situationsTable()
	tables["faults"] = p.faultsTable()
	tables["hollow"] = p.hollowTable()
	tables["sizes"] = p.sizesTable()
	tables["slopes"] = p.slopesTable()
	tables["slopes before"] = slopesOf(p.before)
	tables["mechanism"] = p.mechanismTable()
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
		"say":   say,
	}
}

// say is a figure of the operators' sizes for the prose.
func say(name string) (string, error) {
	f, ok := facts[name]
	if !ok {
		return "", fmt.Errorf("no figure %q", name)
	}
	return f.String(), nil
}

var facts = map[string]figure{
	"connections":        reckoned(heldConnections, inCount),
	"servers least":      reckoned(smallestServers, inCount),
	"servers likely":     reckoned(likelyServers, inCount),
	"servers most":       reckoned(largestServers, inCount),
	"balancers":          reckoned(fleetBalancers, inCount),
	"set-ups out":        reckoned(setupsOut(), inCount),
	"zone heirs":         reckoned(zoneHeirs, inCount),
	"zone share":         reckoned(zoneShare, inCount),
	"zone more":          reckoned(zoneShare/heldConnections, inShare),
	"zone serial":        reckoned(zoneShare*setupSeconds/setupsOut(), inSeconds),
	"missed changes":     reckoned(missedChanges, inCount),
	"listeners":          reckoned(heldListeners, inCount),
	"topic at least":     topicFills(smallestServers),
	"topic at most":      topicFills(largestServers),
	"machine balancers":  reckoned(balancersAMachine, inCount),
	"probes at a server": reckoned(fleetBalancers/probeRound, inRate),
	"change every":       reckoned(changeEvery, inSeconds),
	"replacement every":  reckoned(replacementSeconds, inSeconds),
	"reconnects":         reckoned(fleetReconnects, inRate),
	"cut":                reckoned(cutSeconds, inSeconds),
	"change limit":       reckoned(changeSeconds, inSeconds),
}

// replaceFile writes a file beside the one that it then takes the place of.
func replaceFile(file string, text []byte) error {
	fail := func(err error) error {
		return &Error{Where: file, What: "the page can't be written", Remedy: "name a file that can be written with --out", Err: err}
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), ".page-*")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // nothing there once it was renamed
	_, err = temporary.Write(text)
	err = errors.Join(err, temporary.Chmod(resultMode), temporary.Sync(), temporary.Close())
	if err != nil {
		return fail(err)
	}
	if err := os.Rename(temporary.Name(), file); err != nil {
		return fail(err)
	}
	return nil
}
