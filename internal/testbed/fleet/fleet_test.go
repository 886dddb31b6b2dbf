package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"yardwinch/internal/daemon"
)

// The test binary also serves as the balancer program.
func TestMain(m *testing.M) {
	if os.Getenv("FLEET_TEST_BALANCER") == "" {
		code := m.Run()
		_ = os.Remove(filepath.Join(os.TempDir(), fmt.Sprintf("yardwinch-gossip-test-%d", os.Getpid())))
		os.Exit(code)
	}
	source := daemon.Source{
		ConfigPath:  os.Getenv("PROXY_CONFIG"),
		OptionsPath: os.Getenv("YARDWINCH_OPTIONS"),
		Environment: os.Getenv,
	}
	if err := daemon.Run(context.Background(), source); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const shippedPlans = "../../../experiments/fleet/"

// runPlan runs a plan, up to four times while the run is void because the machine was too busy.
func runPlan(t *testing.T, p *Plan, seed uint64) *Result {
	t.Helper()
	t.Setenv("FLEET_TEST_BALANCER", "sound")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	if p.hasMembership {
		p.Engine = buildEngine(t)
	}
	var old []string
	if p.OldRevision != "" {
		program, err := Build(context.Background(), ".", p.OldRevision)
		if err != nil {
			t.Fatal(err)
		}
		old = []string{program, "serve"}
	}
	var r *Result
	for range 4 {
		directory, err := os.MkdirTemp("", "fleet")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(directory) }()
		if r, err = Run(context.Background(), p, Settings{Seed: seed, Program: []string{self}, OldProgram: old, Directory: directory}); err != nil {
			t.Fatal(err)
		}
		if r.Void == "" {
			return r
		}
	}
	t.Fatalf("the run was void four times, the last time because %s", r.Void)
	return nil
}

// buildEngine builds the membership engine, a separate program, once.
var buildEngine = func() func(*testing.T) string {
	var once sync.Once
	var path string
	return func(t *testing.T) string {
		t.Helper()
		once.Do(func() {
			path = filepath.Join(os.TempDir(), fmt.Sprintf("yardwinch-gossip-test-%d", os.Getpid()))
			if text, err := exec.Command("go", "build", "-o", path, "yardwinch/cmd/yardwinch-gossip").CombinedOutput(); err != nil {
				t.Fatalf("cannot build the membership engine: %v: %s", err, text)
			}
		})
		return path
	}
}()

func checkHolds(t *testing.T, r *Result) {
	t.Helper()
	for _, m := range r.Requirements {
		if !m.Holds {
			t.Errorf("requirement %q does not hold: %s", m.Requirement, m.Seen)
		}
	}
	for _, v := range r.Violations {
		t.Error("rule violated:", v)
	}
}

// Several kinds of faults in one run: balancers are killed, frozen, cut off in one direction, behind a bad link, or can't write to their directory.
func TestFaultsBetweenProcesses(t *testing.T) {
	p, err := Open(shippedPlans + "faults.toml")
	if err != nil {
		t.Fatal(err)
	}
	r := runPlan(t, p, 1)
	checkHolds(t, r)
	if c := r.Processes[0].Cost.Cut + r.Processes[0].Cost.Unanswered; c == 0 {
		t.Error("a killed process cost no connection and no flow: it held none, or they were not counted")
	}
}

// Faults with an endpoint list so long that each decision considers only a part of it. Some servers vanish from the list and return.
func TestFaultsOnALongList(t *testing.T) {
	p, err := Open(shippedPlans + "long-list.toml")
	if err != nil {
		t.Fatal(err)
	}
	checkHolds(t, runPlan(t, p, 1))
}

// Members detect members that are killed, frozen or cut off in one direction, and see all of them again after recovery; random datagrams and an
// earlier build do no harm.
func TestMembersUnderFaults(t *testing.T) {
	p, err := Open(shippedPlans + "members.toml")
	if err != nil {
		t.Fatal(err)
	}
	checkHolds(t, runPlan(t, p, 1))
}

// One balancer checks a server's health for all. While one lease holder is killed and another frozen, no server goes without health checks.
func TestLeasesUnderFaults(t *testing.T) {
	p, err := Open(shippedPlans + "duties.toml")
	if err != nil {
		t.Fatal(err)
	}
	checkHolds(t, runPlan(t, p, 1))
}

// A balancer behind a bad link, and one whose records report every server as late, don't make other balancers migrate flows.
func TestBadLinkMigratesNoOtherFlows(t *testing.T) {
	p, err := Open(shippedPlans + "bad-link.toml")
	if err != nil {
		t.Fatal(err)
	}
	checkHolds(t, runPlan(t, p, 1))
}

// An earlier build serves beside this one, and each takes over from the other.
func TestMixedBuilds(t *testing.T) {
	p, err := Open(shippedPlans + "old-beside-new.toml")
	if err != nil {
		t.Fatal(err)
	}
	checkHolds(t, runPlan(t, p, 1))
}

const failingPlan = `name = "bad"
length = "3s"
[fleet]
servers = 3
balancers = 3
[load]
per-core = 8
life = "2s"
[front]
ask-every = "100ms"
wait = "200ms"
[[fault]]
as = "gone"
at = "500ms"
kind = "kill"
who = ["b1"]
[[fault]]
at = "1s"
kind = "freeze"
who = ["gone"]
for = "1s"
[[must]]
kind = "left-out"
after = "gone"
who = ["b1"]
within = "2s"
[[must]]
kind = "taken-back"
after = "gone"
who = ["b1"]
within = "2s"
[[must]]
kind = "serves"
who = ["b0", "b1"]
from = "1s"
at-least = 1
`

// Requirements that don't hold are reported.
func TestFailedRequirementsAreReported(t *testing.T) {
	p, err := Read("bad.toml", []byte(failingPlan))
	if err != nil {
		t.Fatal(err)
	}
	r := runPlan(t, p, 1)
	want := map[string]bool{
		"the front leaves b1 out": true,
		"the front takes b1 back": false,
		"each of b0,b1":           false,
		"all faults":              false,
		"no rule broken":          true,
	}
	for start, holds := range want {
		found := false
		for _, m := range r.Requirements {
			if strings.HasPrefix(m.Requirement, start) {
				found = true
				if m.Holds != holds {
					t.Errorf("%s: holds %v, want %v; observed %q", m.Requirement, m.Holds, holds, m.Seen)
				}
			}
		}
		if !found {
			t.Errorf("no verdict on %q", start)
		}
	}
	if r.Holds {
		t.Error("the result holds although requirements don't")
	}
}

func TestShippedPlansAreValid(t *testing.T) {
	files, err := filepath.Glob(shippedPlans + "*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no plan files found; error:", err)
	}
	for _, f := range files {
		if _, err := Open(f); err != nil {
			t.Error(err)
		}
	}
}

func TestReadErrorsNameLineAndKey(t *testing.T) {
	for _, x := range []struct{ name, text, want string }{
		{"unknown key", "[[fault]]\nkind = \"kill\"\nwho = [\"b0\"]\nwhen = \"1s\"", "x.toml:5: fault.0.when: unknown key"},
		{"unknown kind", "[[fault]]\nkind = \"kil\"\nwho = [\"b0\"]", "x.toml:3: fault.0.kind: want one of kill"},
		{"unknown target", "[[fault]]\nkind = \"kill\"\nwho = [\"c0\"]", "x.toml:4: fault.0.who: no endpoint or fault is named \"c0\""},
		{"no length", "[[fault]]\nkind = \"freeze\"\nwho = [\"b0\"]", "x.toml:2: fault.0.for: is missing"},
		{"too late", "[[fault]]\nkind = \"kill\"\nwho = [\"b0\"]\nat = \"2h\"", "x.toml:5: fault.0.at"},
		{"no condition", "[[fault]]\nkind = \"link\"\nwho = [\"b0\"]\nto = [\"servers\"]", "the link has no condition"},
		{"requirement after an unknown fault", "[[must]]\nkind = \"left-out\"\nwithin = \"1s\"\nafter = \"x\"", "no fault is named \"x\""},
		{"old without a revision", "[process]\nold-who = [\"b0\"]", "needs old"},
	} {
		t.Run(x.name, func(t *testing.T) {
			_, err := Read("x.toml", []byte("name = \"x\"\n"+x.text+"\n"))
			var e *Error
			if !errors.As(err, &e) || !strings.Contains(err.Error(), x.want) || e.Advice() == "" {
				t.Errorf("got %v, want %q and advice", err, x.want)
			}
		})
	}
}

// Timelines of fixed seeds, as `testbed fleet soak` draws them; longer soaks are run by hand. Seeds with a deadline of 0.15 s are left out: at
// the deadline several connects and the answer fall into one millisecond, and the testbed's observers can't determine their order.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 5} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			p, err := Read(fmt.Sprintf("soak-%d.toml", seed), []byte(SoakPlan(seed)))
			if err != nil {
				t.Fatal(err)
			}
			checkHolds(t, runPlan(t, p, seed))
		})
	}
}

// Every seed draws a valid plan, and the same one each time.
func TestSoakPlansAreValid(t *testing.T) {
	for seed := range uint64(300) {
		text := SoakPlan(seed)
		if repeated := SoakPlan(seed); repeated != text {
			t.Fatalf("seed %d draws a different plan the second time", seed)
		}
		if _, err := Read(fmt.Sprintf("soak-%d.toml", seed), []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
}
