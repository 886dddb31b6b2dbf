package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/strict"
	"yardwinch/internal/testbed/netfault"
)

// Kinds of faults, in the words of plan files. Targets are `who` there, peers `to`, and the length `for`.
const (
	kill           = "kill"             // SIGKILL; started again after the length
	freeze         = "freeze"           // SIGSTOP for the length
	term           = "term"             // SIGTERM; started again the length after its end
	start          = "start"            // of one that was killed for good
	starve         = "starve"           // a quarter of a core for the length
	folderFull     = "folder-full"      // the files of its directory can't grow for the length
	folderReadOnly = "folder-read-only" // nothing new can be written to its directory for the length
	link           = "link"             // the paths between targets and peers have the fault's condition for the length
	reset          = "reset"            // established streams between targets and peers break
	call           = "call"             // the operator calls the targets
	lie            = "lie"              // peers report to the targets that every server is late, for the length
	hangup         = "hangup"           // SIGHUP, so many signals in a row over the length
	crowd          = "crowd"            // idle clients, as many as the rate, connect to the targets for the length
	garbage        = "garbage"          // datagrams in no known form reach the targets at the rate for the length, as from peers
)

var kinds = []string{kill, freeze, term, start, starve, folderFull, folderReadOnly, link, reset, call, garbage, lie, hangup, crowd}

const (
	maxSignals     = 1000
	maxIdleClients = 2000
	maxGarbageRate = 5000 // datagrams a second
	maxRate        = 1e9
	shownPeers     = 3
)

// fault is one entry of the timeline as the file has it.
type fault struct {
	kind           string
	name           string // by which other entries refer to it
	start, length  simulation.Interval
	targets, peers []string
	folder         string // of a start: kept or gone
	program        string // of a start: current or old
	condition      netfault.Condition
	oneWay         string // out: only what targets send is affected; back: only what they are sent
	method, path   string // of a call
	rate           int
	signals        int // of a hangup, of a term, and of hangups as the process is started again
}

func (p *Plan) readFault(t strict.Table, names map[string]bool) {
	f := fault{name: t.String("as", ""), kind: t.String("kind", "", kinds...)}
	f.start.Min, f.start.Max = t.DurationRange("at", 0, 0, hour)
	f.length.Min, f.length.Max = t.DurationRange("for", 0, 0, hour)
	f.targets, f.peers = t.Strings("who", nil), t.Strings("to", nil)
	f.folder = t.String("folder", "kept", "kept", "gone")
	f.program = t.String("program", "", "", "current", "old")
	f.oneWay = t.String("one-way", "", "", "out", "back")
	f.condition = readCondition(t)
	f.rate = f.condition.Rate
	f.signals = t.Int("times", 1, 1, maxSignals)
	f.method, f.path = t.String("method", "POST", "GET", "POST"), t.String("path", "")
	if f.kind == "" {
		if !t.Has("kind") {
			t.Fail("kind", "is missing; want one of %s", strings.Join(kinds, ", "))
		}
		return
	}
	p.checkFault(t, f)
	p.checkNames(t, "who", f.targets, names)
	p.checkNames(t, "to", f.peers, names)
	if f.name != "" {
		if names[f.name] || isKnownName(f.name) {
			t.Fail("as", "%q is taken", f.name)
		}
		names[f.name] = true
	}
	p.faults = append(p.faults, f)
}

func readCondition(t strict.Table) netfault.Condition {
	share := func(key string) float64 { return t.Float(key, 0, 0, 1) }
	return netfault.Condition{
		Delay:      t.Duration("delay", 0, time.Minute),
		Jitter:     t.Duration("jitter", 0, time.Minute),
		Loss:       share("loss"),
		Duplicate:  share("repeat"),
		Reorder:    share("reorder"),
		Corruption: share("garbage"),
		Rate:       int(t.Float("rate", 0, 0, maxRate)),
		Cut:        t.Bool("cut", false),
		Stalled:    t.Bool("mute", false),
	}
}

func (p *Plan) checkFault(t strict.Table, f fault) {
	if f.start.Min >= p.Experiment.Length {
		t.Fail("at", "is not before the end, %v", p.Experiment.Length)
	}
	if len(f.targets) == 0 {
		t.Fail("who", `is missing; want names such as ["b0", "b3..5", "any:2", "all"]`)
	}
	if f.program == "old" && p.Old == "" {
		t.Fail("program", "needs process.old, the revision that is built")
	}
	p.checkKind(t, f)
}

// checkKind checks what a kind of fault needs.
func (p *Plan) checkKind(t strict.Table, f fault) {
	hasLength := f.length.Max > 0
	switch f.kind {
	case lie, garbage:
		p.checkMemberFault(t, f)
	case link, reset:
		checkPathFault(t, f)
	case call:
		if !strings.HasPrefix(f.path, "/control/") {
			t.Fail("path", `want a call such as "/control/out-of-service", got %q`, f.path)
		}
	case crowd:
		if !f.hasRate(maxIdleClients) || !hasLength {
			t.Fail("kind", "needs for, and a rate of 1 to %d clients", maxIdleClients)
		}
	case freeze, starve, folderFull, folderReadOnly:
		if !hasLength {
			t.Fail("for", "is missing: for how long?")
		}
	}
}

func (p *Plan) checkMemberFault(t strict.Table, f fault) {
	isBetweenMembers := p.hasMembership && len(f.peers) > 0 && f.length.Max > 0
	if f.kind == lie && !isBetweenMembers {
		t.Fail("kind", "needs process.peers, to (who lies) and for")
	}
	if f.kind == garbage && (!isBetweenMembers || !f.hasRate(maxGarbageRate)) {
		t.Fail("kind", "needs process.peers, to (as from whom), for, and a rate from 1 to 5000 a second")
	}
}

func (f fault) hasRate(most int) bool { return f.rate >= 1 && f.rate <= most }

func checkPathFault(t strict.Table, f fault) {
	if len(f.peers) == 0 {
		t.Fail("to", `is missing; want names such as ["servers", "s-001", "discovery", "others", "operator"]`)
	}
	if f.kind == link && f.condition == (netfault.Condition{}) {
		t.Fail("kind", "nothing is wrong on this link; want delay, jitter, loss, repeat, reorder, garbage, rate, cut or mute")
	}
}

// text is what happens, in the words of reports.
func (f fault) text() string {
	switch f.kind {
	case call:
		return f.method + " " + f.path
	case link:
		if f.oneWay != "" {
			return f.condition.String() + " " + f.oneWay
		}
		return f.condition.String()
	}
	return f.kind
}

// textTo is what happens and to which peers, shortened where they are many.
func (f fault) textTo(peers []string) string {
	if len(peers) > shownPeers {
		listed := shownPeers - 1
		peers = append(slices.Clone(peers[:listed]), fmt.Sprintf("and %d more", len(peers)-listed))
	}
	if len(peers) == 0 {
		return f.text()
	}
	return f.text() + " to " + strings.Join(peers, ",")
}
