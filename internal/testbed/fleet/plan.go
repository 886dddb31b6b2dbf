// Package fleet runs real processes by the dozen: a timeline of faults of the processes and of the network paths between them, what must
// hold from when to when, a verdict and a report.
package fleet

import (
	"os"
	"time"

	"yardwinch/internal/advice"
	"yardwinch/internal/strict"
	"yardwinch/internal/testbed/experiment"
)

// Error is a fault of what a run was asked for, or of the run itself, with advice.
type Error = advice.Error

const (
	maxPlanTime     = time.Hour // of all times in a plan
	minPingInterval = 10 * time.Millisecond
	maxMissesInARow = 100
)

// Plan is one file, read and checked.
type Plan struct {
	Experiment *experiment.Experiment
	Old        string // revision of the old build; empty: none
	Engine     string // the membership engine; empty: the one beside the program

	oldBuildOn     []string // names of balancers
	pingInterval   time.Duration
	pingTimeout    time.Duration
	maxMisses      int
	lateAnswers    time.Duration // by which an answer may be late and only earns nothing; 0: the driver's own tolerance
	hasDirectories bool
	hasMembership  bool
	hasSignals     bool // and they constrain the balancers' decisions
	hasLeases      bool // one balancer checks a server's health for all
	faults         []fault
	requirements   []requirement
}

// Name is that of the plan.
func (p *Plan) Name() string { return p.Experiment.Name }

// About says what the plan is for.
func (p *Plan) About() string { return p.Experiment.About }

// Open reads a file. Its error names line and key.
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

// Read reads the text of a file.
func Read(name string, text []byte) (*Plan, error) {
	t, err := strict.Parse(name, text)
	if err != nil {
		return nil, planError(err)
	}
	p := &Plan{Experiment: experiment.From(t)}
	p.readFront(t.Table("front"))
	p.lateAnswers = t.Table("judge").Duration("late", 0, time.Second)
	p.readProcess(t.Table("process"))
	names := map[string]bool{}
	for _, fault := range t.Tables("fault") {
		p.readFault(fault, names)
	}
	for _, must := range t.Tables("must") {
		p.readRequirement(must, names)
	}
	if err := t.Err(); err != nil {
		return nil, planError(err)
	}
	return p, nil
}

func planError(err error) error {
	return &Error{
		Where:  "fleet",
		What:   "the file can't be played",
		Remedy: "mend the key that is named; docs/fleet-use.md has them all",
		Err:    err,
	}
}

func (p *Plan) readFront(t strict.Table) {
	p.pingInterval = t.Duration("ask-every", 200*time.Millisecond, time.Minute)
	p.pingTimeout = t.Duration("wait", 400*time.Millisecond, time.Minute)
	p.maxMisses = int(t.Float("misses", 2, 1, maxMissesInARow))
	if p.pingInterval < minPingInterval || p.pingTimeout < minPingInterval {
		t.Fail("ask-every", "want 10ms at the least, for wait too")
	}
}

func (p *Plan) readProcess(t strict.Table) {
	p.hasDirectories = t.Bool("folder", true)
	p.hasMembership, p.hasSignals = t.Bool("peers", false), t.Bool("signals", false)
	p.hasLeases = t.Bool("duties", false)
	if (p.hasSignals || p.hasLeases) && !p.hasMembership {
		t.Fail("peers", "signals and duties need it")
	}
	p.Old = t.String("old", "")
	p.oldBuildOn = t.Strings("old-who", nil)
	if len(p.oldBuildOn) > 0 && p.Old == "" {
		t.Fail("old-who", "needs old, the revision that is built")
	}
}

// stringsOf are names as plan files have them.
func stringsOf[Name ~string](names []Name) (texts []string) {
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return texts
}
