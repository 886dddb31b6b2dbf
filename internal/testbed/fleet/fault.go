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

// faultKind is a kind of fault, as plan files name it.
type faultKind string

// Kinds of faults. In plan files, targets are `who`, peers are `to`, and the length is `for`.
const (
	faultKill              faultKind = "kill"             // SIGKILL; restarted after the length
	faultFreeze            faultKind = "freeze"           // SIGSTOP for the length
	faultTerminate         faultKind = "term"             // SIGTERM, then SIGKILL after the time that a planned restart allows; restarted the length after the SIGKILL
	faultStart             faultKind = "start"            // start of a process that was killed without a restart
	faultStarve            faultKind = "starve"           // the process runs only a quarter of the time for the length
	faultDirectoryFull     faultKind = "folder-full"      // the files of the process's directory can't grow for the length
	faultDirectoryReadOnly faultKind = "folder-read-only" // no file can be created in the process's directory for the length
	faultPath              faultKind = "link"             // the paths between targets and peers have the fault's condition for the length
	faultReset             faultKind = "reset"            // established streams between targets and peers are reset
	faultCall              faultKind = "call"             // the operator calls the targets
	faultFalseReports      faultKind = "lie"              // peers report to the targets, for the length, that every server is late
	faultSIGHUP            faultKind = "hangup"           // SIGHUP, a number of times spread over the length
	faultIdleClients       faultKind = "crowd"            // idle clients, as many as the key rate says, are connected to each target for the length
	faultGarbage           faultKind = "garbage"          // datagrams of random bytes reach the targets at the rate, with peers as apparent senders
)

var faultKinds = []faultKind{
	faultKill, faultFreeze, faultTerminate, faultStart, faultStarve, faultDirectoryFull, faultDirectoryReadOnly,
	faultPath, faultReset, faultCall, faultGarbage, faultFalseReports, faultSIGHUP, faultIdleClients,
}

// Whether a restarted process finds its directory preserved or emptied.
const (
	directoryPreserved = "kept"
	directoryRemoved   = "gone"
)

// Directions of a path, for faults that affect only one.
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

// fault is one entry of the timeline, as written in the plan file.
type fault struct {
	kind           faultKind
	name           string // other entries refer to the fault by it
	start, length  simulation.Interval
	targets, peers []string
	directory      string // for the start or restart: directoryPreserved or directoryRemoved
	program        string // for the start or restart: currentBuild, oldBuild, or empty for the build that ran before
	condition      netfault.Condition
	direction      string // fromTargets, toTargets, or empty for both
	method, path   string // of a call
	rate           int
	signals        int // number of SIGHUPs over the length, or of SIGTERMs in a row; above 1, also the number of SIGHUPs during a start or restart
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
			t.Fail("as", "%q is already in use", f.name)
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
		t.Fail("at", "must be before the end of the run, %v", p.Experiment.Length)
	}
	if len(f.targets) == 0 {
		t.Fail("who", `is missing; want names such as ["b0", "b3..5", "any:2", "all"]`)
	}
	if f.program == oldBuild && p.OldRevision == "" {
		t.Fail("program", "needs process.old, the revision to build")
	}
	p.checkKind(t, f)
}

// checkKind checks that a fault has the keys that its kind needs.
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
			t.Fail("for", "is missing; want the length of the fault")
		}
	}
}

func (p *Plan) checkMemberFault(t strict.Table, f fault) {
	isBetweenMembers := p.hasMembership && len(f.peers) > 0 && f.length.Max > 0
	if f.kind == faultFalseReports && !isBetweenMembers {
		t.Fail("kind", "needs process.peers, to (the members whose reports are false) and for")
	}
	if f.kind == faultGarbage && (!isBetweenMembers || !f.hasRate(maxGarbageRate)) {
		t.Fail("kind", "needs process.peers, to (the apparent senders), for, and a rate from 1 to 5000 a second")
	}
}

func (f fault) hasRate(limit int) bool { return f.rate >= 1 && f.rate <= limit }

func checkPathFault(t strict.Table, f fault) {
	if len(f.peers) == 0 {
		t.Fail("to", `is missing; want names such as ["servers", "s-001", "discovery", "others", "operator"]`)
	}
	if f.kind == faultPath && f.condition == (netfault.Condition{}) {
		t.Fail("kind", "the link has no condition; want delay, jitter, loss, repeat, reorder, garbage, rate, cut or mute")
	}
}

// describe returns the fault as reports name it.
func (f fault) describe() string {
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

// describeTo returns the fault and its peers, of which only the first are listed if there are many.
func (f fault) describeTo(peers []string) string {
	if len(peers) > shownPeers {
		listed := shownPeers - 1
		peers = append(slices.Clone(peers[:listed]), fmt.Sprintf("and %d more", len(peers)-listed))
	}
	if len(peers) == 0 {
		return f.describe()
	}
	return f.describe() + " to " + strings.Join(peers, ",")
}
