package constraints

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
)

// recorder implements decide.Actions and records the actions.
type recorder struct{ performed []string }

func (l *recorder) record(format string, a ...any) {
	l.performed = append(l.performed, fmt.Sprintf(format, a...))
}
func (l *recorder) Connect(f decide.FlowID, s decide.ServerID, _ time.Duration) {
	l.record("connect %s %d", f, s)
}
func (l *recorder) Reject(f decide.FlowID, d time.Duration) { l.record("reject %s %v", f, d) }
func (l *recorder) Abort(f decide.FlowID)                   { l.record("abort %s", f) }
func (l *recorder) Migrate(f decide.FlowID)                 { l.record("move %s", f) }
func (l *recorder) HealthCheck(decide.ServerID)             {}
func (l *recorder) SetTimer(decide.TimerID, time.Duration)  {}
func (l *recorder) WatchEndpoints(bool)                     {}

// objector is a constraint that excludes a server or adds to its cost, rejects all flows, or sets their Retry-After.
type objector struct {
	Unconstrained
	name       string
	server     decide.ServerID
	extra      float64
	objection  Reason
	retryAfter time.Duration
	events     []string
}

func (n *objector) Name() string { return n.name }
func (n *objector) ServerCost(_ decide.FlowID, s decide.ServerID) (float64, Reason) {
	if s == n.server && n.extra == 0 {
		return 0, "not there"
	}
	if s == n.server {
		return n.extra, ""
	}
	return 0, ""
}
func (n *objector) AdmitFlow(decide.FlowID) Reason { return n.objection }
func (n *objector) RetryAfter(_ decide.FlowID, preset time.Duration) time.Duration {
	if n.retryAfter > 0 {
		return n.retryAfter
	}
	return preset
}
func (n *objector) OnAttempt(f decide.FlowID, s decide.ServerID) {
	n.events = append(n.events, fmt.Sprint("attempt ", f, " ", s))
}
func (n *objector) OnEstablished(f decide.FlowID, s decide.ServerID, _ time.Duration) {
	n.events = append(n.events, fmt.Sprint("established ", f, " ", s))
}
func (n *objector) OnEnded(f decide.FlowID, s decide.ServerID, o decide.Outcome, wasEstablished bool) {
	n.events = append(n.events, fmt.Sprint("ended ", f, " ", s, " ", o, " ", wasEstablished))
}
func (n *objector) OnFlowRemoved(f decide.FlowID) {
	n.events = append(n.events, fmt.Sprint("removed ", f))
}

func newBalancer(constraints ...Constraint) (*ConstrainedBalancer, *recorder) {
	actions := &recorder{}
	balancer := New(1, actions, constraints, configure)
	listThree(balancer)
	return balancer, actions
}

func configure(b *decide.Balancer) { Configure(b, 1, 0) }

// listThree lists servers 1 to 3, ready and not in slow start.
func listThree(m Balancer) {
	m.SetTime(0)
	m.BeginEndpoints(decide.FullUpdate)
	for s := range decide.ServerID(3) {
		m.OnEndpoint(decide.Endpoint{ID: s + 1, Zone: "a", Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
	}
	m.EndEndpoints()
}

func requestFlow(balancer *ConstrainedBalancer, id decide.FlowID) {
	balancer.OnFlow(decide.FlowRequest{ID: id, Customer: decide.NoCustomer, Timeout: 2 * time.Second})
}

func TestConstraintsCompose(t *testing.T) {
	for _, c := range []struct {
		name         string
		constraints  []Constraint
		want         string // the action for the flow
		intervention string
	}{
		{"two constraints exclude all servers but one", []Constraint{
			&objector{name: "x", server: 1},
			&objector{name: "y", server: 3},
		}, "connect f 2", "x: not there"},
		{"the first objection is recorded", []Constraint{
			&objector{name: "x", objection: "full"},
			&objector{name: "y", objection: "late"},
		}, "reject f 1s", "x: full"},
		{"the longest Retry-After, of a constraint that does not object", []Constraint{
			&objector{name: "x", objection: "full", retryAfter: 300 * time.Millisecond},
			&objector{name: "y", retryAfter: 700 * time.Millisecond},
		}, "reject f 700ms", "x: full"},
		{"the longest Retry-After, whichever constraint sets it", []Constraint{
			&objector{name: "x", objection: "full", retryAfter: 700 * time.Millisecond},
			&objector{name: "y", retryAfter: 300 * time.Millisecond},
		}, "reject f 700ms", "x: full"},
		{"Retry-After is never longer than clients accept", []Constraint{
			&objector{name: "x", objection: "full", retryAfter: time.Hour},
		}, "reject f 1s", "x: full"},
		{"extra costs are added", []Constraint{
			&objector{name: "x", server: 1, extra: 5},
			&objector{name: "y", server: 2, extra: 5},
		}, "connect f 3", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			balancer, actions := newBalancer(c.constraints...)
			requestFlow(balancer, "f")
			if len(actions.performed) != 1 || actions.performed[0] != c.want {
				t.Errorf("performed %v, want %q", actions.performed, c.want)
			}
			if c.intervention != "" && balancer.Interventions()[c.intervention] == 0 {
				t.Errorf("interventions %v, want %q", balancer.Interventions(), c.intervention)
			}
		})
	}
}

// farServers adds to the cost of all servers but the first three.
type farServers struct{ Unconstrained }

func (farServers) Name() string { return "far" }
func (farServers) ServerCost(_ decide.FlowID, s decide.ServerID) (float64, Reason) {
	if s > 3 {
		return 4, ""
	}
	return 0, ""
}

func TestEmptyServersWithExtraCostChangeNothing(t *testing.T) {
	run := func(costly decide.ServerID) []string {
		balancer, actions := newBalancer(farServers{})
		balancer.BeginEndpoints(decide.DeltaUpdate)
		for s := range costly {
			balancer.OnEndpoint(decide.Endpoint{ID: s + 4, Zone: "b", Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
		}
		balancer.EndEndpoints()
		for i := range 400 {
			now := time.Duration(i) * 50 * time.Millisecond
			balancer.SetTime(now)
			if i == 100 { // one of the first three restarts
				balancer.BeginEndpoints(decide.DeltaUpdate)
				balancer.OnEndpoint(decide.Endpoint{ID: 3, Zone: "a", Size: 1, Readiness: decide.Ready, StartedAt: now})
				balancer.EndEndpoints()
			}
			f := decide.FlowID(fmt.Sprint(i))
			group := decide.GroupKey(fmt.Sprint("g", i%12))
			balancer.OnFlow(decide.FlowRequest{ID: f, Customer: decide.NoCustomer, Group: group, Timeout: time.Second})
			balancer.OnEstablished(f, time.Millisecond)
			if i%5 == 0 {
				balancer.OnTimer(1)
			}
		}
		return actions.performed
	}
	with, without := run(6), run(0)
	if len(without) < 400 {
		t.Errorf("%d actions: the run covers too few decisions", len(without))
	}
	expectSame(t, with, without)
}

func TestFlowWithoutServersIsRejectedAtOnce(t *testing.T) {
	balancer, actions := newBalancer(
		&objector{name: "x", server: 1},
		&objector{name: "y", server: 2},
		&objector{name: "z", server: 3},
	)
	balancer.NameNextFlow("client's own")
	requestFlow(balancer, "f")
	if len(actions.performed) != 1 || !strings.HasPrefix(actions.performed[0], "reject f") {
		t.Errorf("performed %v, want an immediate rejection", actions.performed)
	}
	explanation, ok := balancer.Explain("client's own")
	excluded := explanation.Excluded
	if !ok || explanation.Answer != "rejected" || excluded["x: not there"] == 0 || excluded["z: not there"] == 0 {
		t.Errorf("explanation %+v, found: %v; want the answer rejected, and objections of x and z", explanation, ok)
	}
}

func TestEventsComeInOrder(t *testing.T) {
	constraint := &objector{name: "x", server: 9}
	balancer, _ := newBalancer(constraint)
	requestFlow(balancer, "f")
	explanation, _ := balancer.Explain("f")
	first := explanation.Attempts[0].Server
	balancer.OnEnded("f", decide.Unreachable, time.Millisecond, false)
	explanation, _ = balancer.Explain("f")
	second := explanation.Attempts[1].Server
	balancer.OnEstablished("f", time.Millisecond)
	balancer.OnEnded("f", decide.Reset, time.Second, true)
	want := fmt.Sprintf("attempt f %d, ended f %d unreachable false, attempt f %d, established f %d, ended f %d reset true, removed f",
		first, first, second, second, second)
	if got := strings.Join(constraint.events, ", "); got != want {
		t.Errorf("events %s\nwant %s", got, want)
	}
	if len(balancer.flows) != 0 {
		t.Errorf("%d flows are still tracked", len(balancer.flows))
	}
}

func TestExplanationsAreBounded(t *testing.T) {
	balancer, _ := newBalancer(&objector{name: "x", objection: "full"})
	for i := range 3 * maxExplanations {
		requestFlow(balancer, decide.FlowID(fmt.Sprint(i)))
	}
	if len(balancer.explanations.entries) != maxExplanations || len(balancer.flows) != 0 {
		t.Errorf("%d explanations and %d tracked flows, want %d and 0", len(balancer.explanations.entries), len(balancer.flows), maxExplanations)
	}
	if _, ok := balancer.Explain(fmt.Sprint(3*maxExplanations - 1)); !ok {
		t.Error("the newest flow is not explained")
	}
	if _, ok := balancer.Explain("0"); ok {
		t.Error("the oldest flow is still explained")
	}
}

func TestUnconstrainedChangesNothing(t *testing.T) {
	for _, constraints := range [][]Constraint{nil, {passiveConstraint{}}} {
		t.Run(fmt.Sprintf("%d constraints", len(constraints)), func(t *testing.T) {
			constrained, actions := newBalancer(constraints...)
			plainActions := &recorder{}
			plain := decide.New(1, plainActions)
			configure(plain)
			listThree(plain)
			for i := range 500 {
				giveEvents(constrained, i)
				giveEvents(plain, i)
			}
			if len(actions.performed) < 400 {
				t.Errorf("%d actions: the run covers too few decisions", len(actions.performed))
			}
			expectSame(t, actions.performed, plainActions.performed)
		})
	}
}

// giveEvents passes the events of one flow: its arrival, and then either the failure of its attempt or its
// establishment. After every 25th flow, a timer fires.
func giveEvents(balancer Balancer, number int) {
	f := decide.FlowID(fmt.Sprint(number))
	group := decide.GroupKey(fmt.Sprint(number % 7))
	balancer.SetTime(time.Duration(number) * 10 * time.Millisecond)
	balancer.OnFlow(decide.FlowRequest{ID: f, Customer: decide.NoCustomer, Group: group, Timeout: 2 * time.Second})
	switch number % 5 {
	case 0:
		balancer.OnEnded(f, decide.Unreachable, time.Millisecond, false)
	case 1:
		balancer.OnEnded(f, decide.TimedOut, time.Second, true)
	default:
		balancer.OnEstablished(f, time.Millisecond)
	}
	if number%25 == 0 {
		balancer.OnTimer(1)
	}
}

// expectSame checks that two runs performed the same actions.
func expectSame(t *testing.T, got, want []string) {
	t.Helper()
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("action %d is %q, want %q", i, got[i], want[i])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d actions, want %d", len(got), len(want))
	}
}

// passiveConstraint objects to nothing.
type passiveConstraint struct{ Unconstrained }

func (passiveConstraint) Name() string { return "none" }
