package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"yardwinch/constraints"
	"yardwinch/fleet/signals"
	"yardwinch/internal/strict"
	"yardwinch/locality"
)

// maxSocketPath is the maximum length of the path of a Unix socket in bytes, below the system's limit of 108.
const maxSocketPath = 100

// Options are the contents of the operators' options file. A feature without a table in the file is off.
type Options struct {
	locality      *Locality // nil: off
	explainSocket string
	peers         *Peers // nil: off

	policy  *locality.Policy  // created from locality by Constraints
	signals *signals.Exchange // created by EnableSignals
}

// ReadOptions reads the options file; an empty path means no options. An error names the file, the line and the key.
func ReadOptions(path string) (*Options, error) {
	if path == "" {
		return &Options{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	table, err := strict.Parse(path, text)
	if err != nil {
		return nil, err
	}
	options := &Options{}
	options.read(table)
	return options, table.Err()
}

func (o *Options) read(table strict.Table) {
	if table.Has(tableLocality) {
		l := ReadLocality(table.Table(tableLocality))
		o.locality = &l
	}
	if table.Has(tableExplain) {
		o.explainSocket = readExplainSocket(table.Table(tableExplain))
	}
	signalsEnabled := table.Table(tableSignals).Bool(keyEnabled, table.Has(tableSignals))
	leasesEnabled := table.Table(tableLeases).Bool(keyEnabled, table.Has(tableLeases))
	switch {
	case table.Has(tablePeers):
		o.peers = readPeers(table.Table(tablePeers))
		o.peers.Signals = signalsEnabled
		o.peers.Leases = leasesEnabled
	case signalsEnabled:
		table.Fail(tableSignals, "needs [peers]: signals are exchanged with other balancers")
	case leasesEnabled:
		table.Fail(tableLeases, "needs [peers]: leases are shared among balancers")
	}
}

func readExplainSocket(table strict.Table) string {
	path := table.String(keyExplainSocket, "")
	if !strings.HasPrefix(path, "/") || len(path) > maxSocketPath {
		table.Fail(keyExplainSocket, "want the absolute path of a socket, of at most %d bytes, got %q", maxSocketPath, path)
	}
	return path
}

// Peers returns the options for membership with other balancers; nil if membership is off.
func (o *Options) Peers() *Peers { return o.peers }

// ExplainSocket returns the path of the socket on which the balancer explains its decisions; empty means none.
func (o *Options) ExplainSocket() string { return o.explainSocket }

// SharedText returns the options that should be the same at all balancers, as a text for comparison.
func (o *Options) SharedText() (text string) {
	if o.locality != nil {
		text = o.locality.Text()
	}
	signalsEnabled := o.peers != nil && o.peers.Signals
	leasesEnabled := o.peers != nil && o.peers.Leases
	return text + fmt.Sprintf("%s %v %s %v", tableSignals, signalsEnabled, tableLeases, leasesEnabled)
}

// Signals returns the exchange of signals with other balancers; nil before EnableSignals.
func (o *Options) Signals() *signals.Exchange { return o.signals }

// EnableSignals creates the exchange of signals with other balancers; Peers must not be nil. The exchange publishes the
// build and the digest of the settings; the incarnation distinguishes this start of the process from earlier ones.
func (o *Options) EnableSignals(settings Values, build, settingsDigest string, incarnation uint64) {
	o.signals = signals.New(signals.Config{
		Origin:           signals.Origin(o.peers.Name),
		Incarnation:      signals.Incarnation(incarnation),
		Build:            build,
		Settings:         settingsDigest,
		LatencyThreshold: LatencyThreshold(settings),
		SetupLimit:       MinSetupTarget(settings),
		Enabled:          o.peers.Signals,
	})
}

// Constraints returns the enabled constraints in the order in which they are evaluated; seed seeds their random
// generators.
func (o *Options) Constraints(settings Values, seed uint64) (list []constraints.Constraint) {
	if o.locality != nil {
		o.policy = o.locality.NewPolicy(settings, seed)
		list = append(list, o.policy)
	}
	if o.signals != nil {
		list = append(list, o.signals)
	}
	return list
}

// Apply applies the changes in newer options that are allowed at run time, and returns the changed keys that require a
// restart.
func (o *Options) Apply(newer *Options, settings Values) (restartKeys []string) {
	switch {
	case (o.locality == nil) != (newer.locality == nil):
		restartKeys = append(restartKeys, tableLocality)
	case o.locality != nil && o.policy != nil:
		newer.locality.Apply(o.policy, settings)
		o.locality = newer.locality
	}
	if !reflect.DeepEqual(o.peers, newer.peers) {
		restartKeys = append(restartKeys, tablePeers)
	}
	if o.explainSocket != newer.explainSocket {
		restartKeys = append(restartKeys, tableExplain+"."+keyExplainSocket)
	}
	return restartKeys
}
