package config

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"yardwinch/constraints"
	"yardwinch/fleet/signals"
	"yardwinch/internal/strict"
	"yardwinch/locality"
)

// Options is the operators' own file. What it does not name is off.
type Options struct {
	halls   *Locality
	explain string
	running *locality.Policy
	peers   *Peers
	signals *signals.Exchange
}

// Peers is what the file says of the other balancers: how this one is called among them, where it speaks and what it tells.
type Peers struct {
	Name            string
	Label           string
	Bind, Advertise netip.AddrPort
	Seeds           []string
	Engine          string // the engine's; empty: the one beside this program
	Signals         bool   // what they tell bounds the decisions here
	Leases          bool   // one probes for all
}

const longestName = 64

func readPeers(t strict.Table, signals, duties bool) *Peers {
	p := &Peers{Name: t.String("name", ""), Label: t.String("label", ""), Signals: signals, Leases: duties}
	for _, x := range []struct {
		key   string
		value string
	}{{"name", p.Name}, {"label", p.Label}} {
		if x.value == "" || len(x.value) > longestName || strings.ContainsAny(x.value, " \t\r\n") {
			t.Fail(x.key, "want a name without spaces, of at most %d bytes, got %q", longestName, x.value)
		}
	}
	address := func(key string, absent netip.AddrPort) netip.AddrPort {
		text := t.String(key, "")
		if text == "" && absent.IsValid() {
			return absent
		}
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			t.Fail(key, "want an address that the others can reach, with its port, such as \"10.0.0.7:7946\", got %q", text)
		}
		return a
	}
	p.Bind = address("bind", netip.AddrPort{})
	p.Advertise = address("advertise", p.Bind)
	if p.Engine = t.String("program", ""); p.Engine != "" && !strings.HasPrefix(p.Engine, "/") {
		t.Fail("program", "want an absolute path, got %q", p.Engine)
	}
	p.Seeds = t.Strings("seeds", nil)
	for _, s := range p.Seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			t.Fail("seeds", "want addresses with their ports, got %q", s)
		}
	}
	return p
}

// ReadOptions reads the file; an empty path stands for none. A fault names file, line and key.
func ReadOptions(path string) (*Options, error) {
	o := &Options{}
	if path == "" {
		return o, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	t, err := strict.Parse(path, text)
	if err != nil {
		return nil, err
	}
	if t.Has("halls") {
		h := ReadLocality(t.Table("halls"))
		o.halls = &h
	}
	if t.Has("explain") {
		x := t.Table("explain")
		if o.explain = x.String("socket", ""); !strings.HasPrefix(o.explain, "/") || len(o.explain) > 100 {
			x.Fail("socket", "want the absolute path of a socket, of at most 100 bytes, got %q", o.explain)
		}
	}
	on := t.Table("signals").Bool("on", t.Has("signals"))
	duties := t.Table("duties").Bool("on", t.Has("duties"))
	switch {
	case t.Has("peers"):
		o.peers = readPeers(t.Table("peers"), on, duties)
	case on:
		t.Fail("signals", "needs [peers]: nobody else would tell any")
	case duties:
		t.Fail("duties", "needs [peers]: nobody else would do any")
	}
	return o, t.Err()
}

// Peers is what the file says of other balancers; nil: nothing passes between them.
func (o *Options) Peers() *Peers { return o.peers }

// SharedText is what of the file should be the same at all balancers.
func (o *Options) SharedText() (text string) {
	if o.halls != nil {
		text = o.halls.Text()
	}
	return text + fmt.Sprintf("signals %v duties %v", o.peers != nil && o.peers.Signals, o.peers != nil && o.peers.Leases)
}

// Signals is the decider that others' words reach; nil where nothing passes.
func (o *Options) Signals() *signals.Exchange { return o.signals }

// EnableSignals makes that decider; the file must name peers. build and settings are what it tells of itself, inc tells this start from earlier
// ones.
func (o *Options) EnableSignals(g Values, build, settings string, inc uint64) {
	o.signals = signals.New(signals.Origin(o.peers.Name), signals.Incarnation(inc), build, settings, MessageTarget(g)/3, MinSetupTarget(g), o.peers.Signals)
}

// Constraints are those that the file switches on, in the order in which they are asked: halls, signals.
func (o *Options) Constraints(g Values, seed uint64) (list []constraints.Constraint) {
	if o.halls != nil {
		o.running = o.halls.NewPolicy(g, seed)
		list = append(list, o.running)
	}
	if o.signals != nil {
		list = append(list, o.signals)
	}
	return list
}

// ExplainSocket is the socket on which the balancer tells what it holds; empty: none.
func (o *Options) ExplainSocket() string { return o.explain }

// Apply brings what runs to a newer reading, and names what needs a restart.
func (o *Options) Apply(newer *Options, g Values) (keys []string) {
	switch {
	case (o.halls == nil) != (newer.halls == nil):
		keys = append(keys, "halls")
	case o.halls != nil && o.running != nil:
		newer.halls.Apply(o.running, g)
		o.halls = newer.halls
	}
	if !reflect.DeepEqual(o.peers, newer.peers) {
		keys = append(keys, "peers")
	}
	if o.explain != newer.explain {
		keys = append(keys, "explain.socket")
	}
	return keys
}
