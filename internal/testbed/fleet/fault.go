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

// faultKind is what goes wrong, in the word of plan files.
type faultKind string

// Kinds of faults. Targets are `who` in plan files, peers `to`, and the length `for`.
const (
	faultKill              faultKind = "kill"             // SIGKILL; started again after the length
	faultFreeze            faultKind = "freeze"           // SIGSTOP for the length
	faultTerminate         faultKind = "term"             // SIGTERM; started again the length after its end
	faultStart             faultKind = "start"            // of one that was killed for good
	faultStarve            faultKind = "starve"           // a quarter of a core for the length
	faultDirectoryFull     faultKind = "folder-full"      // the files of its directory can't grow for the length
	faultDirectoryReadOnly faultKind = "folder-read-only" // nothing new can be written to its directory for the length
	faultPath              faultKind = "link"             // the paths between targets and peers have the fault's condition for the length
	faultReset             faultKind = "reset"            // established streams between targets and peers break
	faultCall              faultKind = "call"             // the operator calls the targets
	faultFalseReports      faultKind = "lie"              // peers report to the targets that every server is late, for the length
	faultSIGHUP            faultKind = "hangup"           // SIGHUP, so many signals in a row over the length
	faultIdleClients       faultKind = "crowd"            // idle clients, as many as the rate, connect to the targets for the length
	faultGarbage           faultKind = "garbage"          // datagrams of random bytes reach the targets at the rate, as from peers
)

var faultKinds = []faultKind{
	faultKill, faultFreeze, faultTerminate, faultStart, faultStarve, faultDirectoryFull, faultDirectoryReadOnly,
	faultPath, faultReset, faultCall, faultGarbage, faultFalseReports, faultSIGHUP, faultIdleClients,
}

// What a process finds in its directory as it is started again.
const (
	directoryPreserved = "kept"
	directoryRemoved   = "gone"
)

// Directions of a path that a fault affects, if not both.
const (
	fromTargets = "out"
	toTargets   = "back"
)

const (
	maxSignals     = 1000
	maxIdleClients = 2000
	maxGarbageRate = 5000 // datagrams a second
	maxRate        = 1e9
	shownPeers     = 3
)

// fault is one entry of the timeline as the file has it.
type fault struct {
	kind           faultKind
	name           string // by which other entries refer to it
	start, length  simulation.Interval
	targets, peers []string
	directory      string // of a start: directoryPreserved or directoryRemoved
	program        string // of a start: currentBuild, oldBuild, or empty for the one that it had
	condition      netfault.Condition
	direction      string // fromTargets, toTargets, or empty for both
	method, path   string // of a call
	rate           int
	signals        int // SIGHUP in a row, SIGTERM in a row, or SIGHUP as the process is started again
}

func (p *Plan) readFault(t strict.Table, names map[string]bool) {
	f := fault{name: t.String("as", ""), kind: faultKind(t.String("kind", "", stringsOf(faultKinds)...))}
	f.start.Min, f.start.Max = t.DurationRange("at", 0, 0, maxPlanTime)
	f.length.Min, f.length.Max = t.DurationRange("for", 0, 0, maxPlanTime)
	f.targets, f.peers = t.Strings("who", nil), t.Strings("to", nil)
	f.directory = t.String("folder", directoryPreserved, directoryPreserved, directoryRemoved)
	f.program = t.String("program", "", "", currentBuild, oldBuild)
	f.direction = t.String("one-way", "", "", fromTargets, toTargets)
	f.condition = readCondition(t)
	f.rate = f.condition.Rate
	f.signals = t.Int("times", 1, 1, maxSignals)
	f.method, f.path = t.String("method", "POST", "GET", "POST"), t.String("path", "")
	if f.kind == "" {
		if !t.Has("kind") {
			t.Fail("kind", "is missing; want one of %s", strings.Join(stringsOf(faultKinds), ", "))
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
	if f.program == oldBuild && p.Old == "" {
		t.Fail("program", "needs process.old, the revision that is built")
	}
	p.checkKind(t, f)
}

// checkKind checks what a kind of fault needs.
func (p *Plan) checkKind(t strict.Table, f fault) {
	hasLength := f.length.Max > 0
	switch f.kind {
	case faultFalseReports, faultGarbage:
		p.checkMemberFault(t, f)
	case faultPath, faultReset:
		checkPathFault(t, f)
	case faultCall:
		if !strings.HasPrefix(f.path, "/control/") {
			t.Fail("path", `want a call such as "/control/out-of-service", got %q`, f.path)
		}
	case faultIdleClients:
		if !f.hasRate(maxIdleClients) || !hasLength {
			t.Fail("kind", "needs for, and a rate of 1 to %d clients", maxIdleClients)
		}
	case faultFreeze, faultStarve, faultDirectoryFull, faultDirectoryReadOnly:
		if !hasLength {
			t.Fail("for", "is missing: for how long?")
		}
	}
}

func (p *Plan) checkMemberFault(t strict.Table, f fault) {
	isBetweenMembers := p.hasMembership && len(f.peers) > 0 && f.length.Max > 0
	if f.kind == faultFalseReports && !isBetweenMembers {
		t.Fail("kind", "needs process.peers, to (who lies) and for")
	}
	if f.kind == faultGarbage && (!isBetweenMembers || !f.hasRate(maxGarbageRate)) {
		t.Fail("kind", "needs process.peers, to (as from whom), for, and a rate from 1 to 5000 a second")
	}
}

func (f fault) hasRate(most int) bool { return f.rate >= 1 && f.rate <= most }

func checkPathFault(t strict.Table, f fault) {
	if len(f.peers) == 0 {
		t.Fail("to", `is missing; want names such as ["servers", "s-001", "discovery", "others", "operator"]`)
	}
	if f.kind == faultPath && f.condition == (netfault.Condition{}) {
		t.Fail("kind", "nothing is wrong on this link; want delay, jitter, loss, repeat, reorder, garbage, rate, cut or mute")
	}
}

// text is what happens, in the words of reports.
func (f fault) text() string {
	switch f.kind {
	case faultCall:
		return f.method + " " + f.path
	case faultPath:
		if f.direction != "" {
			return f.condition.String() + " " + f.direction
		}
		return f.condition.String()
	}
	return string(f.kind)
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
