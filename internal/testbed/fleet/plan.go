// Package fleet plays real processes by the dozen: a timeline of faults of processes and of the ways between them, what must hold
// from when to when, a verdict and a report.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"yardwinch/internal/advice"
	"yardwinch/internal/simulation"
	"yardwinch/internal/strict"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/netfault"
)

// Error is a fault of what a run was asked for, or of the run itself.
type Error = advice.Error

// Kinds of faults.
const (
	kill           = "kill"             // SIGKILL; started again after `for`
	freeze         = "freeze"           // SIGSTOP for `for`
	term           = "term"             // SIGTERM; started again `for` after its end
	start          = "start"            // one that was killed for good
	starve         = "starve"           // a quarter of a core for `for`
	folderFull     = "folder-full"      // its files can't grow for `for`
	folderReadOnly = "folder-read-only" // nothing new can be written to its folder for `for`
	link           = "link"             // the ways between `who` and `to` are as the fault's keys say for `for`
	reset          = "reset"            // streams that stand between `who` and `to` break
	call           = "call"             // the operator calls `who`
	lie            = "lie"              // `to` tell `who` that every server is late, again and again for `for`
	hangup         = "hangup"           // SIGHUP, `times` in a row over `for`
	crowd          = "crowd"            // `rate` clients that say nothing stand at `who` for `for`
	garbage        = "garbage"          // datagrams in no known form, `rate` a second, reach `who` for `for`, as from `to`
)

var kinds = []string{kill, freeze, term, start, starve, folderFull, folderReadOnly, link, reset, call, garbage, lie, hangup, crowd}

// Kinds of what must hold.
const (
	leftOut     = "left-out"    // the front leaves each of `who` out within `within`
	takenBack   = "taken-back"  // the front uses each of `who` again within `within`
	serves      = "serves"      // each of `who` establishes `at-least` flows
	uses        = "uses"        // each of `who` sends `at-least` connects to `servers`, of each if they are many
	avoids      = "avoids"      // each of `who` sends `at-most` connects to `servers`
	established = "established" // of all flows taken, a share of `at-least` is established
	neverUp     = "never-up"    // of all clients, a share of `at-most` never had a connection
	answered    = "answered"    // the calls of the fault `after` were answered `yes` or `no`
	probes      = "probes"      // of all probes of servers in the run, at most `at-most` and at least `at-least`
	probed      = "probed"      // no server goes without a probe for longer than `within`
	sees        = "sees"        // each of `who` that runs sees each of `whom` as `status`, `within`
	keeps       = "keeps"       // none of `who` that runs sees any of `whom` as gone
	descriptors = "descriptors" // each of `who` that runs holds `at-most` shortly before the end
	costs       = "costs"       // killed and frozen processes cost `at-most` connections and flows in all
)

var mustKinds = []string{leftOut, takenBack, serves, uses, avoids, established, neverUp, answered, costs, descriptors, sees, keeps, probes, probed}

type span struct{ lo, hi time.Duration }

func (s span) draw(r *rand.Rand) time.Duration { return simulation.UniformDuration(r, s.lo, s.hi) }

// fault is one entry of the timeline as the file has it.
type fault struct {
	as, kind   string
	at, length span
	who, to    []string
	folder     string // at a start: kept or gone
	program    string // at a start: current or old
	way        netfault.Condition
	oneWay     string // out: only what `who` sends is struck; back: only what it is sent
	method     string
	path       string
	rate       int
	times      int // of signals: of a hangup, of a term, and of hangups as the process is started again
}

// must is one thing that has to hold.
type must struct {
	kind         string
	after        string // times count from that fault
	who, servers []string
	whom         []string
	status       string
	from, to     time.Duration
	within       time.Duration
	atLeast      float64
	atMost       float64
	yes          bool
}

const (
	mostSignals = 1000
	mostIdle    = 2000
)

// Plan is one file, read and checked.
type Plan struct {
	Experiment *experiment.Experiment
	Old        string // revision of the old build; empty: none
	Engine     string // the members' engine; empty: the one beside the program
	oldWho     []string
	askEvery   time.Duration
	wait       time.Duration
	misses     int
	late       time.Duration // by which an answer may be late and only earns nothing; 0: as the yard's own slack
	folders    bool
	peers      bool // they tell each other, and signals bound their decisions
	signals    bool
	duties     bool // one probes a server for all
	faults     []fault
	musts      []must
}

// Name is that of the plan.
func (p *Plan) Name() string { return p.Experiment.Name }

// About says what the plan is for.
func (p *Plan) About() string { return p.Experiment.About }

// Open reads a file. A fault names line and key.
func Open(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{
			Where:  "fleet",
			What:   "the file can't be read",
			Remedy: "name a file of experiments/fleet, or write one after docs/fleet-use.md",
			Err:    err,
		}
	}
	return Read(path, text)
}

const hour = time.Hour

// Read takes the text of a file.
func Read(name string, text []byte) (*Plan, error) {
	bad := func(err error) error {
		return &Error{
			Where:  "fleet",
			What:   "the file can't be played",
			Remedy: "mend the key that is named; docs/fleet-use.md has them all",
			Err:    err,
		}
	}
	t, err := strict.Parse(name, text)
	if err != nil {
		return nil, bad(err)
	}
	p := &Plan{Experiment: experiment.From(t)}
	f := t.Table("front")
	p.askEvery = f.Duration("ask-every", 200*time.Millisecond, time.Minute)
	p.wait = f.Duration("wait", 400*time.Millisecond, time.Minute)
	p.misses = int(f.Float("misses", 2, 1, 100))
	if p.askEvery < 10*time.Millisecond || p.wait < 10*time.Millisecond {
		f.Fail("ask-every", "want 10ms at the least, for wait too")
	}
	p.late = t.Table("judge").Duration("late", 0, time.Second)
	x := t.Table("process")
	p.folders = x.Bool("folder", true)
	p.peers, p.signals = x.Bool("peers", false), x.Bool("signals", false)
	p.duties = x.Bool("duties", false)
	if (p.signals || p.duties) && !p.peers {
		x.Fail("peers", "signals and duties need it")
	}
	p.Old = x.String("old", "")
	p.oldWho = x.Strings("old-who", nil)
	if len(p.oldWho) > 0 && p.Old == "" {
		x.Fail("old-who", "needs old, the revision that is built")
	}
	names := map[string]bool{}
	for _, x := range t.Tables("fault") {
		p.readFault(x, names)
	}
	for _, x := range t.Tables("must") {
		p.readMust(x, names)
	}
	if err := t.Err(); err != nil {
		return nil, bad(err)
	}
	return p, nil
}

func (p *Plan) readFault(t strict.Table, names map[string]bool) {
	f := fault{as: t.String("as", ""), kind: t.String("kind", "", kinds...)}
	f.at.lo, f.at.hi = t.DurationRange("at", 0, 0, hour)
	f.length.lo, f.length.hi = t.DurationRange("for", 0, 0, hour)
	f.who, f.to = t.Strings("who", nil), t.Strings("to", nil)
	f.folder = t.String("folder", "kept", "kept", "gone")
	f.program = t.String("program", "", "", "current", "old")
	f.oneWay = t.String("one-way", "", "", "out", "back")
	c := &f.way
	c.Delay, c.Jitter = t.Duration("delay", 0, time.Minute), t.Duration("jitter", 0, time.Minute)
	c.Loss, c.Duplicate, c.Reorder = t.Float("loss", 0, 0, 1), t.Float("repeat", 0, 0, 1), t.Float("reorder", 0, 0, 1)
	c.Corruption, c.Rate = t.Float("garbage", 0, 0, 1), int(t.Float("rate", 0, 0, 1e9))
	c.Cut, c.Stalled = t.Bool("cut", false), t.Bool("mute", false)
	f.rate = c.Rate
	f.times = t.Int("times", 1, 1, mostSignals)
	f.method, f.path = t.String("method", "POST", "GET", "POST"), t.String("path", "")
	if f.kind == "" {
		if !t.Has("kind") {
			t.Fail("kind", "is missing; want one of %s", strings.Join(kinds, ", "))
		}
		return
	}
	if f.at.lo >= p.Experiment.Length {
		t.Fail("at", "is not before the end, %v", p.Experiment.Length)
	}
	if len(f.who) == 0 {
		t.Fail("who", `is missing; want names such as ["b0", "b3..5", "any:2", "all"]`)
	}
	if f.program == "old" && p.Old == "" {
		t.Fail("program", "needs process.old, the revision that is built")
	}
	switch f.kind {
	case lie:
		if !p.peers || len(f.to) == 0 || f.length.hi == 0 {
			t.Fail("kind", "needs process.peers, to (who lies) and for")
		}
	case garbage:
		if !p.peers || len(f.to) == 0 || f.rate < 1 || f.rate > 5000 || f.length.hi == 0 {
			t.Fail("kind", "needs process.peers, to (as from whom), for, and a rate from 1 to 5000 a second")
		}
	case link, reset:
		if len(f.to) == 0 {
			t.Fail("to", `is missing; want names such as ["servers", "s-001", "discovery", "others", "operator"]`)
		}
		if f.kind == link && f.way == (netfault.Condition{}) {
			t.Fail("kind", "nothing is wrong on this link; want delay, jitter, loss, repeat, reorder, garbage, rate, cut or mute")
		}
	case call:
		if !strings.HasPrefix(f.path, "/control/") {
			t.Fail("path", `want a call such as "/control/out-of-service", got %q`, f.path)
		}
	case crowd:
		if f.rate < 1 || f.rate > mostIdle || f.length.hi == 0 {
			t.Fail("kind", "needs for, and a rate of 1 to %d clients", mostIdle)
		}
	case freeze, starve, folderFull, folderReadOnly:
		if f.length.hi == 0 {
			t.Fail("for", "is missing: for how long?")
		}
	}
	p.checkNames(t, "who", f.who, names)
	p.checkNames(t, "to", f.to, names)
	if f.as != "" {
		if names[f.as] || known(f.as) {
			t.Fail("as", "%q is taken", f.as)
		}
		names[f.as] = true
	}
	p.faults = append(p.faults, f)
}

func (p *Plan) readMust(t strict.Table, names map[string]bool) {
	m := must{kind: t.String("kind", "", mustKinds...), after: t.String("after", ""), who: t.Strings("who", []string{"all"}),
		servers: t.Strings("servers", []string{"servers"}), from: t.Duration("from", 0, hour), to: t.Duration("to", 0, hour), within: t.Duration("within", 0, hour),
		atLeast: t.Float("at-least", 0, 0, 1e9), atMost: t.Float("at-most", 0, 0, 1e9), yes: t.String("says", "yes", "yes", "no") == "yes",
		whom: t.Strings("whom", nil), status: t.String("status", "alive", "alive", "gone", "left")}
	if m.kind == "" {
		if !t.Has("kind") {
			t.Fail("kind", "is missing; want one of %s", strings.Join(mustKinds, ", "))
		}
		return
	}
	if m.after != "" && !names[m.after] {
		t.Fail("after", "no fault is called %q", m.after)
	}
	if m.kind == answered && m.after == "" {
		t.Fail("after", "is missing: which call's answer?")
	}
	if (m.kind == leftOut || m.kind == takenBack || m.kind == sees || m.kind == probed) && m.within == 0 {
		t.Fail("within", "is missing")
	}
	if (m.kind == sees || m.kind == keeps) && (len(m.whom) == 0 || !p.peers) {
		t.Fail("whom", "is missing, or process.peers is off")
	}
	p.checkNames(t, "who", m.who, names)
	p.checkNames(t, "whom", m.whom, names)
	p.checkNames(t, "servers", m.servers, names)
	p.musts = append(p.musts, m)
}

func (f fault) String() string {
	text := f.kind
	if f.kind == link {
		text = f.way.String()
		if f.oneWay != "" {
			text += " " + f.oneWay
		}
	}
	if f.kind == call {
		text = f.method + " " + f.path
	}
	return fmt.Sprintf("%s %s", text, strings.Join(f.who, ","))
}
