package scale

import (
	"fmt"
	"strings"
)

// part is one part of a role.
type part struct {
	name       string
	state      string // that it holds
	owner      string // of that state
	onFailure  string // effect of failures, in prose
	mechanism  string // that bounds its cost
	dependents string // what depends on it
	proposal   string // a mechanism that would bound it, not implemented
	load       func(p *page, s situation, servers float64) load
}

// role is one kind of process or machine.
type role struct {
	Name  string
	Parts []part
}

// roles are all roles in the document's order.
func (p *page) roles() []role {
	return []role{
		{"Balancer: data path", []part{dataPathPart}},
		{"Balancer: control", controlParts},
		{"The control machines", []part{controlMachinePart}},
		{"Discovery agent and the store behind it", []part{discoveryPart}},
		{"Server", []part{serverPart}},
		{"Operator's tools", []part{toolsPart}},
	}
}

// partTable is the load of a part in each situation, at the likely number of servers. Situations with equal loads
// share a row.
func (p *page) partTable(of part) string {
	t := newTable("situation", "messages in, out", "bytes in, out", "processor time", "memory", "origin")
	places := map[string]int{}
	for _, s := range situations(likelyServers) {
		cells := of.load(p, s, likelyServers).cells()
		key := strings.Join(cells, "|")
		if place, ok := places[key]; ok {
			t.rows[place][0] += "; " + s.name
			continue
		}
		places[key] = len(t.rows)
		t.row(append([]string{s.name}, cells...)...)
	}
	if len(t.rows) == 1 {
		t.rows[0][0] = "each"
	}
	return fmt.Sprintf("**%s.** State: %s. Owner: %s. %s\n\n%s", capital(of.name), of.state, of.owner, of.onFailure, t)
}

func (l load) cells() []string {
	return []string{pair(l.messagesIn, l.messagesOut), pair(l.bytesIn, l.bytesOut), l.processor.String(), l.memory.String(), l.origins()}
}

// origins states the origin of each quantity of a load, grouped by origin.
func (l load) origins() string {
	var order []string
	quantities := map[string][]string{}
	for _, v := range []variant{
		{"messages", l.messagesIn.plus(l.messagesOut)},
		{"bytes", l.bytesIn.plus(l.bytesOut)},
		{"processor time", l.processor},
		{"memory", l.memory},
	} {
		origin := v.Origin()
		if quantities[origin] == nil {
			order = append(order, origin)
		}
		quantities[origin] = append(quantities[origin], v.label)
	}
	if len(order) == 1 {
		return order[0]
	}
	for i, origin := range order {
		order[i] = strings.Join(quantities[origin], ", ") + ": " + origin
	}
	return strings.Join(order, "; ")
}

// standaloneParts is how many of controlParts run without the options file: such a balancer has no peers and checks no
// loads.
const standaloneParts = 2

// controlParts are the parts of balancer control in the order of the requirements.
var controlParts = []part{
	{
		name:       "server list",
		state:      "one entry a server",
		owner:      "discovery; a balancer has a copy",
		onFailure:  "Cut off, a balancer goes on with the list it has; what it missed comes as changes against its version, or whole.",
		mechanism:  mechanismChanges,
		dependents: "every decision",
		proposal:   "the list kept in fewer bytes, changes in place",
		load:       listLoad,
	},
	{
		name:  "decisions and rechecks",
		state: "where each flow stands, tallies by server and group",
		owner: "the balancer alone",
		onFailure: "A balancer that goes takes its tallies with it; its clients are placed anew by those that take them. " +
			"Measured without other deciders, connections standing anywhere, which costs as many rechecks as a tick may have; " +
			"with `[halls]` or `[signals]` each recheck is made, 128 a tick at the most.",
		mechanism:  mechanismCandidates,
		dependents: "all placements and moves",
		proposal:   "",
		load:       decisionLoad,
	},
	{
		name:  "probes",
		state: "each server's last told load",
		owner: "the balancer that asked",
		onFailure: "With leases one balancer asks for all; regions apart each have their own. " +
			"Without them, and until the members have met, each asks each server itself; see the limits.",
		mechanism:  mechanismLeasedProbes,
		dependents: "told loads",
		proposal:   "leases that hold at this size",
		load:       probeLoad,
	},
	{
		name:       "signals",
		state:      "one record a member",
		owner:      "each member its own record; all have a copy",
		onFailure:  "States, not events: what was lost is said again, and a word fades by itself.",
		mechanism:  "",
		dependents: "words of trouble, told loads, leases",
		proposal:   "sums kept as records come, not walked anew; gossip in groups of a zone",
		load:       signalLoad,
	},
	{
		name:  "leases",
		state: "who asks which server for all, with its epoch",
		owner: "reckoned by each from the members it sees",
		onFailure: "The next in line takes over after one lease of 6 s; two holders at once cost a probe. " +
			"They travel in the signals' records.",
		mechanism:  "",
		dependents: "probes by one for all",
		proposal:   "the first in line of each lease kept: who comes is held against them, who goes moves its own alone",
		load:       leaseLoad,
	},
	{
		name:       "membership engine",
		state:      "name, address and state of each member",
		owner:      "each member its own; all have a copy",
		onFailure:  "Regions apart see each other as gone, and ask members and seeds again with growing gaps until they meet.",
		mechanism:  "",
		dependents: "signals, leases, each view of the fleet",
		proposal:   "changes of members to the balancer in place of the whole list 10 times a second; groups of a zone",
		load:       engineLoad,
	},
}

var dataPathPart = part{
	name:      "connections",
	state:     "two descriptors, buffers and one session a connection",
	owner:     "the balancer alone",
	onFailure: "A balancer that goes cuts what it held; those clients connect again.",
	load:      dataPathLoad,
}

var controlMachinePart = part{
	name:  "one machine",
	state: "the list with its last changes, by version",
	owner: "not decided",
	onFailure: "**No program of this project runs there.** What would leave one machine is reckoned from " +
		"what each balancer must be told; half of the machines lost doubles it.",
	load: controlMachineLoad,
}

var discoveryPart = part{
	name:  "the stand-in's agent",
	state: "one list, the changes that a watch has not read yet",
	owner: "the yard; there is no store that outlives it",
	onFailure: "A watch that does not read is closed, and the next one brings the whole list. " +
		"Beside balancers that ask a central discovery there is one for all.",
	load: agentLoad,
}

var serverPart = part{
	name:  "one server",
	state: "its connections",
	owner: "the server",
	onFailure: "A lost zone takes a 25th of the servers too; the others take their connections. " +
		"While late, a server tells each balancer so once a second.",
	load: serverLoad,
}

var toolsPart = part{
	name:      "`yardwinch explain`, `members`, staff's calls",
	state:     "none",
	owner:     "–",
	onFailure: "Each call asks one balancer; a ban by hand everywhere is 8,100 calls, and no tool makes them.",
	load:      toolsLoad,
}

func capital(text string) string {
	if text == "" || text[0] < 'a' || text[0] > 'z' {
		return text
	}
	return string(text[0]-'a'+'A') + text[1:]
}
