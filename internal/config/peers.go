package config

import (
	"net/netip"
	"strings"

	"yardwinch/internal/strict"
)

const maxPeerName = 64 // bytes

// Peers are the options for membership with other balancers.
type Peers struct {
	Name      string // of this balancer, unique among the members
	Label     string // of the fleet; members with other labels are ignored
	Bind      netip.AddrPort
	Advertise netip.AddrPort // at which the other members reach this balancer
	Seeds     []string       // addresses of members to join
	Engine    string         // absolute path of the membership engine's program; empty: in the directory of this program
	Signals   bool           // signals of other balancers constrain the decisions
	Leases    bool           // tasks such as health checks are distributed among the balancers
}

func readPeers(table strict.Table) *Peers {
	p := &Peers{Name: readPeerName(table, keyPeerName)}
	p.Label = readPeerName(table, keyPeerLabel)
	p.Bind = readPeerAddress(table, keyBind, netip.AddrPort{})
	p.Advertise = readPeerAddress(table, keyAdvertise, p.Bind)
	p.Engine = table.String(keyEnginePath, "")
	if p.Engine != "" && !strings.HasPrefix(p.Engine, "/") {
		table.Fail(keyEnginePath, "want an absolute path, got %q", p.Engine)
	}
	p.Seeds = table.Strings(keySeeds, nil)
	for _, seed := range p.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			table.Fail(keySeeds, "want addresses with ports, got %q", seed)
		}
	}
	return p
}

func readPeerName(table strict.Table, key string) string {
	name := table.String(key, "")
	if name == "" || len(name) > maxPeerName || strings.ContainsAny(name, " \t\r\n") {
		table.Fail(key, "want a name without spaces, of at most %d bytes, got %q", maxPeerName, name)
	}
	return name
}

// readPeerAddress reads an address that other balancers can reach; the key is required if the fallback is not valid.
func readPeerAddress(table strict.Table, key string, fallback netip.AddrPort) netip.AddrPort {
	text := table.String(key, "")
	if text == "" && fallback.IsValid() {
		return fallback
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		table.Fail(key, "want an address and port that other balancers can reach, such as \"10.0.0.7:7946\", got %q", text)
	}
	return address
}
