package scenario

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/report"
	"yardwinch/internal/testbed/virtual"
)

func open(t *testing.T, name string) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Open(filepath.Join("..", "..", "..", "experiments", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// randomDays are played once for the two tests that judge them.
var randomDays = sync.OnceValues(func() ([]*count.Result, error) {
	e, err := experiment.Open("../../../experiments/mixed.toml")
	if err != nil {
		return nil, err
	}
	days := 200
	if testing.Short() {
		days = 20
	}
	return RunAll(context.Background(), e, NewJobs([]string{"ours"}, 1, days), 0, nil)
})

// checkRandomDays fails on each broken rule that is one of those to look at.
func checkRandomDays(t *testing.T, of func(said string) bool) {
	results, err := randomDays()
	if err != nil {
		t.Fatal(err)
	}
	judged := 0
	for _, r := range results {
		judged += r.Judged
		if r.Broken > len(r.Violations) {
			t.Errorf("seed %d: more rules broken than are told", r.Seed)
		}
		for _, v := range r.Violations {
			if of(v) {
				t.Errorf("seed %d: %s", r.Seed, v)
			}
		}
	}
	if judged < 100*len(results) {
		t.Errorf("only %d flows were judged", judged)
	}
}

func TestRulesOverRandomDays(t *testing.T) {
	checkRandomDays(t, func(said string) bool { return !strings.Contains(said, invariants.SlowStartRespected.String()) })
}

// Apart from the other rules, so that what is known of it hides nothing of theirs.
func TestSlowStartRespectedOverRandomDays(t *testing.T) {
	checkRandomDays(t, func(said string) bool { return strings.Contains(said, invariants.SlowStartRespected.String()) })
}

func TestSameBytesForAnyNumberOfWorkers(t *testing.T) {
	e := open(t, "mixed")
	var first []byte
	for i, workers := range []int{1, 8, 8, 1} {
		results, err := RunAll(context.Background(), e, NewJobs([]string{"ours", "two-choices", "top"}, 3, 4), workers, nil)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := report.JSON(&b, e.Name, e.About, results); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = b.Bytes()
		} else if !bytes.Equal(first, b.Bytes()) {
			t.Fatalf("run %d with %d workers differs", i, workers)
		}
	}
}

// bent passes the actions of a sound balancer on, but for one way of breaking a rule.
type bent struct {
	decide.Actions
	way   string
	now   time.Duration
	later []func()
	due   []time.Duration
	lame  decide.ServerID
	lameA time.Duration
	last  decide.ServerID
}

// heard is what the bent one hears on its way to the sound one.
type heard struct {
	virtual.Decider
	*bent
}

func (h heard) OnTimer(m decide.TimerID) { h.Decider.OnTimer(m) }

func (h heard) SetTime(now time.Duration) {
	b := h.bent
	b.now = now
	h.Decider.SetTime(now)
	for len(b.due) > 0 && b.due[0] <= now {
		do := b.later[0]
		b.due, b.later = b.due[1:], b.later[1:]
		do()
	}
}

func (b *bent) after(d time.Duration, do func()) {
	b.due, b.later = append(b.due, b.now+d), append(b.later, do)
}

func (h heard) OnEndpoint(endpoint decide.Endpoint) {
	if endpoint.Readiness == decide.Draining {
		h.lame, h.lameA = endpoint.ID, h.now
	}
	h.Decider.OnEndpoint(endpoint)
}

func (h heard) OnEnded(id decide.FlowID, o decide.Outcome, took time.Duration, over bool) {
	h.Decider.OnEnded(id, o, took, over)
	if h.way == "answer after the end" && over && o == decide.OK {
		h.Actions.Abort(id)
	}
}

func (b *bent) Connect(f decide.FlowID, s decide.ServerID, d time.Duration) {
	if b.way == "send after the grace" && b.lame != 0 && b.now > b.lameA+2*time.Second {
		s = b.lame
	}
	b.Actions.Connect(f, s, d)
	if b.way == "two connects" && b.last != 0 && b.last != s {
		b.Actions.Connect(f, b.last, d)
	}
	b.last = s
}

func (b *bent) Reject(f decide.FlowID, d time.Duration) {
	switch b.way {
	case "no answer":
		return
	case "late answer":
		b.after(3*time.Second, func() { b.Actions.Reject(f, d) })
		return
	case "two answers":
		b.Actions.Reject(f, d)
	}
	b.Actions.Reject(f, d)
}

func (b *bent) Abort(f decide.FlowID) {
	if b.way == "once-only resent" && b.last != 0 {
		b.Actions.Connect(f, b.last, time.Second)
		return
	}
	b.Actions.Abort(f)
}

// herd sends all newcomers to the server that started last: a few from each balancer.
type herd struct {
	virtual.Decider
	act   decide.Actions
	fresh decide.ServerID
	since time.Duration
	sent  int
	now   time.Duration
}

func (h *herd) SetTime(now time.Duration) { h.now = now; h.Decider.SetTime(now) }
func (h *herd) OnEndpoint(endpoint decide.Endpoint) {
	if since := endpoint.StartedAt; since != decide.LongAgo && endpoint.Readiness == decide.Ready && since > h.since {
		h.fresh, h.since, h.sent = endpoint.ID, since, 0
	}
	h.Decider.OnEndpoint(endpoint)
}
func (h *herd) OnFlow(request decide.FlowRequest) {
	if h.fresh != 0 && h.sent < 3 { // what is a lone balancer's part of it
		h.sent++
		h.act.Connect(request.ID, h.fresh, request.Timeout)
		return
	}
	h.Decider.OnFlow(request)
}

const bentDay = `name = "bent"
length = "30s"
[fleet]
balancers = %d
servers = 6
[load]
share = 0.45
life = ["10s", "20s"]
[[service]]
name = "x"
effect = %q
[[trouble]]
kind = "deploy"
start = "3s"
length = "15s"
share = 1
strength = 0.2
extra = "5s"
[[trouble]]
kind = "errors"
start = "5s"
length = "20s"
share = 0.8
strength = 0.6
[[trouble]]
kind = "reconnect"
start = "12s"
length = "1s"
share = 0.8
`

func TestCheckerFindsEachViolation(t *testing.T) {
	for _, c := range []struct {
		way, effect string
		rule        string
	}{
		{"sound", "free", ""},
		{"sound", "single_shot", ""},
		{"no answer", "free", "rule 1"},
		{"two answers", "free", "rule 1"},
		{"late answer", "free", "rule 1"},
		{"answer after the end", "free", "rule 1"},
		{"two connects", "free", "rule 2"},
		{"once-only resent", "single_shot", "rule 2"},
		{"send after the grace", "free", "rule 3"},
		{"cold server flooded", "free", "rule 4"},
	} {
		t.Run(c.way+" "+c.effect, func(t *testing.T) {
			balancers := 3
			if c.way == "cold server flooded" {
				balancers = 60
			}
			e, err := experiment.Read("bent.toml", fmt.Appendf(nil, bentDay, balancers, c.effect))
			if err != nil {
				t.Fatal(err)
			}
			found := 0
			for seed := range uint64(3) {
				r, err := RunDay(e, seed, "ours", nil, func(m virtual.NewDecider) virtual.NewDecider {
					return func(s uint64, id simulation.BalancerID, act decide.Actions) virtual.Decider {
						if c.way == "cold server flooded" {
							return &herd{Decider: m(s, id, act), act: act}
						}
						b := &bent{Actions: act, way: c.way}
						return heard{m(s, id, b), b}
					}
				})
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range r.Violations {
					if c.rule == "" {
						t.Errorf("a sound balancer is blamed: %s", v)
					} else if strings.HasPrefix(v, c.rule) {
						found++
					}
				}
			}
			if c.rule != "" && found == 0 {
				t.Errorf("no breach of %s was seen in three days", c.rule)
			}
		})
	}
}

func TestShippedExperimentsCanBePlayed(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "..", "experiments", "*.toml"))
	more, _ := filepath.Glob(filepath.Join("..", "..", "..", "experiments", "*", "*.toml")) // the pattern is sound
	if files = append(files, more...); err != nil || len(files) < 28 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, f := range files {
		switch filepath.Base(filepath.Dir(f)) {
		case "fleet", "scale":
			continue // plans of real processes and sweeps over sizes: internal/testbed/fleet and internal/testbed/scale read them
		}
		t.Run(filepath.Base(filepath.Dir(f))+"/"+filepath.Base(f), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			e, err := experiment.Read(f, text)
			if err != nil {
				t.Fatal(err)
			}
			r, err := RunDay(e.Sized(3, 9).Stretched(0.3), 1, "ours", nil, nil)
			if err != nil || r.Judged == 0 || r.ServedShare <= 0 || r.Service > 1 || r.Broken > 0 {
				t.Errorf("%v: %+v", err, r)
			}
			var page bytes.Buffer
			if err := report.HTML(&page, e.Name, e.About, []*count.Result{r}); err != nil || !strings.Contains(page.String(), "<polyline") {
				t.Errorf("no plot drawn: %v", err)
			}
		})
	}
}
