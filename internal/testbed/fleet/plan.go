// Package fleet runs fleets of real balancer processes under a timeline of faults of the processes and of the network paths between them. It
// checks the requirements of the plan and reports a verdict.
package fleet

import (
	"os"
	"time"

	"yardwinch/internal/advice"
	"yardwinch/internal/strict"
	"yardwinch/internal/testbed/experiment"
)

// Error is an error in a plan or in a run, with advice.
type Error = advice.Error

const (
	maxPlanTime     = time.Hour // limit of all times in a plan
	minPingTime     = 10 * time.Millisecond
	maxMissesInARow = 100
)

// Plan is the validated content of a plan file.
type Plan struct {
	Experiment  *experiment.Experiment
	OldRevision string // revision of the old build; empty for none
	Engine      string // path of the membership engine; empty for the one beside the program

	oldBuildOn      []string // names of balancers
	pingInterval    time.Duration
	pingTimeout     time.Duration
	maxMisses       int
	answerTolerance time.Duration // lateness up to which an answer breaks no rule, though it earns no service; at least the driver's own slack
	hasDirectories  bool
	hasMembership   bool
	hasSignals      bool // balancers exchange signals, which affect their decisions
	hasLeases       bool // one balancer checks a server's health for all balancers
	faults          []fault
	requirements    []requirement
}

// Name returns the name of the plan.
func (p *Plan) Name() string { return p.Experiment.Name }

// About returns the description of the plan's purpose.
func (p *Plan) About() string { return p.Experiment.About }

// Open reads a plan file. Errors in its content name the line and the key.
func Open(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{
			Where:  "fleet",
			What:   "the file can't be read",
			Remedy: "name a file of experiments/fleet, or write one as docs/fleet-use.md describes",
			Err:    err,
		}
	}
	return Read(path, text)
}

// Read parses the text of a plan file.
func Read(name string, text []byte) (*Plan, error) {
	t, err := strict.Parse(name, text)
	if err != nil {
		return nil, planError(err)
	}
	p := &Plan{Experiment: experiment.FromTable(t)}
	p.readFront(t.Table("front"))
	p.answerTolerance = t.Table("judge").Duration("late", 0, time.Second)
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
		What:   "the plan is not valid",
		Remedy: "correct the key that is named; docs/fleet-use.md lists all keys",
		Err:    err,
	}
}

func (p *Plan) readFront(t strict.Table) {
	p.pingInterval = t.Duration("ask-every", 200*time.Millisecond, time.Minute)
	p.pingTimeout = t.Duration("wait", 400*time.Millisecond, time.Minute)
	p.maxMisses = int(t.Float("misses", 2, 1, maxMissesInARow))
	if p.pingInterval < minPingTime || p.pingTimeout < minPingTime {
		t.Fail("ask-every", "ask-every and wait must be at least 10ms")
	}
}

func (p *Plan) readProcess(t strict.Table) {
	p.hasDirectories = t.Bool("folder", true)
	p.hasMembership, p.hasSignals = t.Bool("peers", false), t.Bool("signals", false)
	p.hasLeases = t.Bool("duties", false)
	if (p.hasSignals || p.hasLeases) && !p.hasMembership {
		t.Fail("peers", "is required by signals and duties")
	}
	p.OldRevision = t.String("old", "")
	p.oldBuildOn = t.Strings("old-who", nil)
	if len(p.oldBuildOn) > 0 && p.OldRevision == "" {
		t.Fail("old-who", "needs old, the revision to build")
	}
}

// stringsOf converts names to strings.
func stringsOf[Name ~string](names []Name) (texts []string) {
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return texts
}
