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

// maxSocketPath bounds the path of a Unix socket in bytes, below the system's own limit of 108.
const maxSocketPath = 100

// Options are the operators' options file. What the file does not name is off.
type Options struct {
	locality      *Locality // nil: off
	explainSocket string
	peers         *Peers // nil: off

	policy  *locality.Policy  // made of locality by Constraints
	signals *signals.Exchange // made by EnableSignals
}

// ReadOptions reads the options file; an empty path stands for no options. An error names the file, the line and
// the key.
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
	sharesSignals := table.Table(tableSignals).Bool(keyEnabled, table.Has(tableSignals))
	sharesTasks := table.Table(tableLeases).Bool(keyEnabled, table.Has(tableLeases))
	switch {
	case table.Has(tablePeers):
		o.peers = readPeers(table.Table(tablePeers))
		o.peers.Signals = sharesSignals
		o.peers.Leases = sharesTasks
	case sharesSignals:
		table.Fail(tableSignals, "needs [peers]: nobody else would tell any")
	case sharesTasks:
		table.Fail(tableLeases, "needs [peers]: nobody else would do any")
	}
}

func readExplainSocket(table strict.Table) string {
	path := table.String(keyExplainSocket, "")
	if !strings.HasPrefix(path, "/") || len(path) > maxSocketPath {
		table.Fail(keyExplainSocket, "want the absolute path of a socket, of at most %d bytes, got %q", maxSocketPath, path)
	}
	return path
}

// Peers are the options of the exchange with other balancers; nil where nothing is exchanged.
func (o *Options) Peers() *Peers { return o.peers }

// ExplainSocket is the path of the socket on which the balancer explains its decisions; empty: none.
func (o *Options) ExplainSocket() string { return o.explainSocket }

// SharedText is the part of the options that should be the same at all balancers, as a text to compare.
func (o *Options) SharedText() (text string) {
	if o.locality != nil {
		text = o.locality.Text()
	}
	sharesSignals := o.peers != nil && o.peers.Signals
	sharesTasks := o.peers != nil && o.peers.Leases
	return text + fmt.Sprintf("%s %v %s %v", tableSignals, sharesSignals, tableLeases, sharesTasks)
}

// Signals is the exchange with other balancers; nil before EnableSignals.
func (o *Options) Signals() *signals.Exchange { return o.signals }

// EnableSignals makes the exchange with other balancers; the file must name peers. It publishes the build and the
// digest of the settings; the incarnation tells this start of the process from earlier ones.
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

// Constraints are those that the file enables, in the order in which they are evaluated; seed starts their random
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

// Apply takes up the parts of newer options that may change at run time, and names the changed keys that need a
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
