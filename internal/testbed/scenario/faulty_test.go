package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/virtual"
)

// faultyActions forwards the actions of a correct balancer, except that it breaks a rule in one way, which fault names.
type faultyActions struct {
	decide.Actions
	fault         string
	now           time.Duration
	delayed       []delayedAction
	draining      decide.ServerID
	drainingSince time.Duration
	lastServer    decide.ServerID
}

type delayedAction struct {
	at time.Duration
	do func()
}

func (a *faultyActions) runDelayed() {
	for len(a.delayed) > 0 && a.delayed[0].at <= a.now {
		next := a.delayed[0]
		a.delayed = a.delayed[1:]
		next.do()
	}
}

func (a *faultyActions) Connect(f decide.FlowID, to decide.ServerID, limit time.Duration) {
	const pastGrace = 2 * time.Second
	if a.fault == "send after the grace" && a.draining != 0 && a.now > a.drainingSince+pastGrace {
		to = a.draining
	}
	a.Actions.Connect(f, to, limit)
	if a.fault == "two connects" && a.lastServer != 0 && a.lastServer != to {
		a.Actions.Connect(f, a.lastServer, limit)
	}
	a.lastServer = to
}

func (a *faultyActions) Reject(f decide.FlowID, retryAfter time.Duration) {
	const late = 3 * time.Second
	switch a.fault {
	case "no answer":
		return
	case "late answer":
		a.delayed = append(a.delayed, delayedAction{a.now + late, func() { a.Actions.Reject(f, retryAfter) }})
		return
	case "two answers":
		a.Actions.Reject(f, retryAfter)
	}
	a.Actions.Reject(f, retryAfter)
}

func (a *faultyActions) Abort(f decide.FlowID) {
	if a.fault == "non-idempotent flow resent" && a.lastServer != 0 {
		a.Actions.Connect(f, a.lastServer, time.Second)
		return
	}
	a.Actions.Abort(f)
}

// faultyDecider is a correct decider whose actions are faulty. It passes them the time and the drains that they depend on.
type faultyDecider struct {
	virtual.Decider
	*faultyActions
}

func (d faultyDecider) OnTimer(id decide.TimerID) { d.Decider.OnTimer(id) }

func (d faultyDecider) SetTime(now time.Duration) {
	d.now = now
	d.Decider.SetTime(now)
	d.runDelayed()
}

func (d faultyDecider) OnEndpoint(endpoint decide.Endpoint) {
	if endpoint.Readiness == decide.Draining {
		d.draining, d.drainingSince = endpoint.ID, d.now
	}
	d.Decider.OnEndpoint(endpoint)
}

func (d faultyDecider) OnEnded(id decide.FlowID, outcome decide.Outcome, took time.Duration, isFinished bool) {
	d.Decider.OnEnded(id, outcome, took, isFinished)
	if d.fault == "answer after the end" && isFinished && outcome == decide.OK {
		d.Actions.Abort(id)
	}
}

const startingServerOverloaded = "starting server overloaded"

// herdingDecider sends new flows to the server that started last. Each balancer sends only a few, as many as a single balancer may send.
type herdingDecider struct {
	virtual.Decider
	actions         decide.Actions
	newest          decide.ServerID
	newestStartedAt time.Duration
	sent            int
}

func (d *herdingDecider) OnEndpoint(endpoint decide.Endpoint) {
	if startedAt := endpoint.StartedAt; startedAt != decide.LongAgo && endpoint.Readiness == decide.Ready && startedAt > d.newestStartedAt {
		d.newest, d.newestStartedAt, d.sent = endpoint.ID, startedAt, 0
	}
	d.Decider.OnEndpoint(endpoint)
}

func (d *herdingDecider) OnFlow(request decide.FlowRequest) {
	const each = 3
	if d.newest != 0 && d.sent < each {
		d.sent++
		d.actions.Connect(request.ID, d.newest, request.Timeout)
		return
	}
	d.Decider.OnFlow(request)
}

// faultyBalancerDay has a deployment, errors and reconnects, so that each fault of a balancer can lead to a violation.
const faultyBalancerDay = `name = "faulty-balancer"
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
	for _, test := range []struct {
		fault, effect string
		rule          string
	}{
		{"no fault", "free", ""},
		{"no fault", "single_shot", ""},
		{"no answer", "free", "rule 1"},
		{"two answers", "free", "rule 1"},
		{"late answer", "free", "rule 1"},
		{"answer after the end", "free", "rule 1"},
		{"two connects", "free", "rule 2"},
		{"non-idempotent flow resent", "single_shot", "rule 2"},
		{"send after the grace", "free", "rule 3"},
		{startingServerOverloaded, "free", "rule 4"},
	} {
		t.Run(test.fault+" "+test.effect, func(t *testing.T) {
			found := 0
			for _, violation := range violationsOf(t, test.fault, test.effect) {
				if test.rule == "" {
					t.Errorf("violation reported for a correct balancer: %s", violation)
				} else if strings.HasPrefix(violation, test.rule) {
					found++
				}
			}
			if test.rule != "" && found == 0 {
				t.Errorf("no violation of %s found in three days", test.rule)
			}
		})
	}
}

// violationsOf runs three days with balancers that have a fault, and returns the violations.
func violationsOf(t *testing.T, fault, effect string) (violations []string) {
	t.Helper()
	balancers := 3
	if fault == startingServerOverloaded {
		balancers = 60
	}
	e, err := experiment.Read("faulty-balancer.toml", fmt.Appendf(nil, faultyBalancerDay, balancers, effect))
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(3) {
		result, err := RunDay(e, seed, experiment.Ours, nil, func(newDecider virtual.NewDecider) virtual.NewDecider {
			return func(seed uint64, id simulation.BalancerID, act decide.Actions) virtual.Decider {
				if fault == startingServerOverloaded {
					return &herdingDecider{Decider: newDecider(seed, id, act), actions: act}
				}
				actions := &faultyActions{Actions: act, fault: fault}
				return faultyDecider{newDecider(seed, id, actions), actions}
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		violations = append(violations, result.Violations...)
	}
	return violations
}
