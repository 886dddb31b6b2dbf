package scale

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const proseColumns = 140 // maximum length of a line of prose

// part is one part of a role.
type part struct {
	name       string
	state      string // state that the part holds
	owner      string // owner of that state
	onFailure  string // effect of failures, in prose
	mechanism  string // mechanism that bounds the cost of the part; empty: none
	dependents string // what depends on the part
	proposal   string // mechanism that would bound the cost, not implemented
	load       func(p *page, s situation, servers float64) load
}

// role is one kind of process or machine.
type role struct {
	Name  string
	Parts []part
}

// roles returns all roles in the order of the page.
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

// partTable describes a part and shows its load in each situation, with likelyServers. Situations with equal loads share
// a row.
func (p *page) partTable(shown part) string {
	t := newTable("situation", "messages in, out", "bytes in, out", "processor time", "memory", "origin")
	rowOfCells := map[string]int{}
	for _, s := range situations(likelyServers) {
		cells := shown.load(p, s, likelyServers).cells()
		key := strings.Join(cells, "|")
		if row, ok := rowOfCells[key]; ok {
			t.rows[row][0] += "; " + s.name
			continue
		}
		rowOfCells[key] = len(t.rows)
		t.addRow(append([]string{s.name}, cells...)...)
	}
	if len(t.rows) == 1 {
		t.rows[0][0] = "each"
	}
	text := fmt.Sprintf("**%s.** State: %s. Owner: %s. %s", capitalize(shown.name), shown.state, shown.owner, shown.onFailure)
	return wrapText(text) + "\n\n" + t.String()
}

func (l load) cells() []string {
	return []string{pair(l.messagesIn, l.messagesOut), pair(l.bytesIn, l.bytesOut), l.processor.String(), l.memory.String(), l.origins()}
}

// origins states the origins of a load's quantities, or the single origin that all of them have.
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

// standaloneParts is the number of leading controlParts that a balancer without an options file runs: it has no peers and
// no load reports.
const standaloneParts = 2

// controlParts are the parts of balancer control in the order of their tables. The first standaloneParts run in each
// balancer.
var controlParts = []part{
	{
		name:  "server list",
		state: "one entry for each server",
		owner: "discovery; a balancer has a copy",
		onFailure: "Without discovery, a balancer continues with the list that it has; " +
			"what it missed arrives as changes since its revision, or as a full list.",
		mechanism:  mechanismChanges,
		dependents: "every decision",
		proposal:   "a more compact list, changes in place",
		load:       listLoad,
	},
	{
		name:  "decisions and rechecks",
		state: "the server of each flow, tallies by server and group",
		owner: "the balancer alone",
		onFailure: "The tallies of a failed balancer are lost; its clients are placed again by the balancers to which they reconnect. " +
			"Measured without other deciders and with connections on random servers, which costs as many rechecks as a tick may have; " +
			"with `[halls]` or `[signals]` no recheck is skipped, at most 128 a tick.",
		mechanism:  mechanismCandidates,
		dependents: "all placements and migrations",
		proposal:   "",
		load:       decisionLoad,
	},
	{
		name:  "health checks",
		state: "last load report of each server",
		owner: "the balancer that made the check",
		onFailure: "With leases one balancer checks on behalf of all; partitioned regions have a lease holder each. " +
			"Without them, and until the members know each other, each balancer checks each server itself; see the requirements.",
		mechanism:  mechanismLeasedHealthChecks,
		dependents: "load reports",
		proposal:   "leases that work at this size",
		load:       healthCheckLoad,
	},
	{
		name:       "signals",
		state:      "one record for each member",
		owner:      "each member owns its record; all have a copy",
		onFailure:  "Records state what is, not what happened: a lost one is published again, and an observation expires by itself.",
		mechanism:  "",
		dependents: "fault observations, load reports, leases",
		proposal:   "aggregates updated by each received record instead of a walk over all; gossip in groups of a zone",
		load:       signalLoad,
	},
	{
		name:  "leases",
		state: "which member checks which server on behalf of all, with its epoch",
		owner: "calculated by each member from the members that it sees",
		onFailure: "The standby takes over after one lease of 6 s; two holders at once cost an additional check. " +
			"Leases are published in the records of signals.",
		mechanism:  "",
		dependents: "health checks by one on behalf of all",
		proposal: "the first candidates of each lease retained: a member that joins is compared with them only, " +
			"and one that leaves changes only its own leases",
		load: leaseLoad,
	},
	{
		name:       "membership engine",
		state:      "name, address and state of each member",
		owner:      "each member owns its entry; all have a copy",
		onFailure:  "Partitioned regions see each other as gone, and contact members and seeds again with backoff until they reach one.",
		mechanism:  "",
		dependents: "signals, leases, each view of the fleet",
		proposal:   "membership changes to the balancer instead of the full list 10 times a second; groups of a zone",
		load:       engineLoad,
	},
}

var dataPathPart = part{
	name:      "connections",
	state:     "two descriptors, buffers and one session for each connection",
	owner:     "the balancer alone",
	onFailure: "A balancer that fails disconnects its clients; they reconnect.",
	load:      dataPathLoad,
}

var controlMachinePart = part{
	name:  "one machine",
	state: "the list with its last changes, by revision",
	owner: "not decided",
	onFailure: "**No program of this project runs there.** What one machine would send is calculated from " +
		"what each balancer must receive; the loss of half of the machines doubles it.",
	load: controlMachineLoad,
}

var discoveryPart = part{
	name:  "agent of the stand-in for discovery",
	state: "one list, and the changes that a watch has not read yet",
	owner: "the testbed; there is no store that outlives it",
	onFailure: "A watch that does not read is closed, and the next one receives the full list. " +
		"With a central discovery there is one for all balancers.",
	load: discoveryAgentLoad,
}

var serverPart = part{
	name:  "one server",
	state: "its connections",
	owner: "the server",
	onFailure: "A lost zone includes a 25th of the servers; the others take over their connections. " +
		"A late server reports it to each balancer once a second.",
	load: serverLoad,
}

var toolsPart = part{
	name:      "`yardwinch explain`, `yardwinch members`, operators' calls",
	state:     "none",
	owner:     "–",
	onFailure: "Each call addresses one balancer; to disable a server everywhere takes 8,100 calls, and no tool makes them.",
	load:      toolsLoad,
}

// wrapText breaks a paragraph at spaces into lines of at most proseColumns.
func wrapText(text string) string {
	var wrapped strings.Builder
	column := 0
	for _, word := range strings.Fields(text) {
		width := utf8.RuneCountInString(word)
		switch {
		case column == 0:
		case column+1+width > proseColumns:
			wrapped.WriteByte('\n')
			column = 0
		default:
			wrapped.WriteByte(' ')
			column++
		}
		wrapped.WriteString(word)
		column += width
	}
	return wrapped.String()
}

func capitalize(text string) string {
	if text == "" || text[0] < 'a' || text[0] > 'z' {
		return text
	}
	return string(text[0]-'a'+'A') + text[1:]
}
