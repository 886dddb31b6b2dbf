package constraints

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
)

// log is an Act that notes.
type log struct{ said []string }

func (l *log) say(format string, a ...any) { l.said = append(l.said, fmt.Sprintf(format, a...)) }
func (l *log) Connect(f decide.FlowID, s decide.ServerID, _ time.Duration) {
	l.say("connect %s %d", f, s)
}
func (l *log) Cancel(decide.FlowID, int)               {}
func (l *log) Reject(f decide.FlowID, d time.Duration) { l.say("reject %s %v", f, d) }
func (l *log) Abort(f decide.FlowID)                   { l.say("abort %s", f) }
func (l *log) Migrate(f decide.FlowID)                 { l.say("move %s", f) }
func (l *log) HealthCheck(decide.ServerID)             {}
func (l *log) SetTimer(decide.TimerID, time.Duration)  {}
func (l *log) WatchEndpoints(bool)                     {}
func (l *log) FetchEndpoints()                         {}
func (l *log) Log(string)                              {}

// no bars a server, turns everybody away, or makes a server dear.
type no struct {
	Unconstrained
	name   string
	server decide.ServerID
	extra  float64
	admit  Reason
	again  time.Duration
	facts  []string
}

func (n *no) Name() string { return n.name }
func (n *no) ServerCost(_ decide.FlowID, s decide.ServerID) (float64, Reason) {
	if s == n.server && n.extra == 0 {
		return 0, "not there"
	}
	if s == n.server {
		return n.extra, ""
	}
	return 0, ""
}
func (n *no) AdmitFlow(decide.FlowID) Reason { return n.admit }
func (n *no) RetryAfter(_ decide.FlowID, told time.Duration) time.Duration {
	if n.again > 0 {
		return n.again
	}
	return told
}
func (n *no) OnAttempt(f decide.FlowID, s decide.ServerID) {
	n.facts = append(n.facts, fmt.Sprint("sent ", f, " ", s))
}
func (n *no) OnEstablished(f decide.FlowID, s decide.ServerID, _ time.Duration) {
	n.facts = append(n.facts, fmt.Sprint("stood ", f, " ", s))
}
func (n *no) OnEnded(f decide.FlowID, s decide.ServerID, o decide.Outcome, stood bool) {
	n.facts = append(n.facts, fmt.Sprint("over ", f, " ", s, " ", o, " ", stood))
}
func (n *no) OnFlowRemoved(f decide.FlowID) { n.facts = append(n.facts, fmt.Sprint("gone ", f)) }

func host(deciders ...Constraint) (*ConstrainedBalancer, *log) {
	l := &log{}
	h := New(1, l, deciders, settle)
	listThree(h)
	return h, l
}

// settle tells the decisions their settings.
func settle(b *decide.Balancer) {
	b.ConfigureFlows(3, time.Second)
	b.AddService(decide.ServiceType{Effect: decide.Idempotent, Deduplication: decide.DeduplicatedByFleet, SetupTarget: 300 * time.Millisecond, RetryWindow: 2 * time.Second, Value: 1})
	b.ConfigureSlowStart(decide.SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * time.Second, Window: 1500 * time.Millisecond, Balancers: 1})
	b.ConfigurePlacement(0, 0, true)
	b.ConfigureEndpoints(decide.EndpointSettings{Zone: "a", Polled: false, MaxPollInterval: 10 * time.Second, MessageTarget: 250 * time.Millisecond})
}

// listThree lists servers 1 to 3, warm and ready.
func listThree(m Balancer) {
	m.SetTime(0)
	m.BeginEndpoints(decide.FullUpdate)
	for s := range decide.ServerID(3) {
		m.OnEndpoint(decide.Endpoint{ID: s + 1, Zone: "a", Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
	}
	m.EndEndpoints()
}

func flow(h *ConstrainedBalancer, f decide.FlowID) {
	h.OnFlow(decide.FlowRequest{ID: f, Customer: -1, Timeout: 2 * time.Second})
}

func TestBoundsCompose(t *testing.T) {
	for _, c := range []struct {
		name string
		with []Constraint
		want string // beginning of what is done for the flow
		acts string
	}{
		{"one server left by two deciders", []Constraint{&no{name: "x", server: 1}, &no{name: "y", server: 3}}, "connect f 2", "x: not there"},
		{"the first that objects is booked", []Constraint{&no{name: "x", admit: "full"}, &no{name: "y", admit: "late"}}, "reject f 1s", "x: full"},
		{"the longest time to come again", []Constraint{&no{name: "x", admit: "full", again: 300 * time.Millisecond}, &no{name: "y", again: 700 * time.Millisecond}}, "reject f 700ms", "x: full"},
		{"the longest, whoever says it", []Constraint{&no{name: "x", admit: "full", again: 700 * time.Millisecond}, &no{name: "y", again: 300 * time.Millisecond}}, "reject f 700ms", "x: full"},
		{"never longer than clients obey", []Constraint{&no{name: "x", admit: "full", again: time.Hour}}, "reject f 1s", "x: full"},
		{"costs add", []Constraint{&no{name: "x", server: 1, extra: 5}, &no{name: "y", server: 2, extra: 5}}, "connect f 3", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, l := host(c.with...)
			flow(h, "f")
			if len(l.said) != 1 || l.said[0] != c.want {
				t.Errorf("done: %v, want %q", l.said, c.want)
			}
			if c.acts != "" && h.Interventions()[c.acts] == 0 {
				t.Errorf("acted: %v, want %q", h.Interventions(), c.acts)
			}
		})
	}
}

// far makes all servers but the first three dear.
type far struct{ Unconstrained }

func (far) Name() string { return "far" }
func (far) ServerCost(_ decide.FlowID, s decide.ServerID) (float64, Reason) {
	if s > 3 {
		return 4, ""
	}
	return 0, ""
}

func TestEmptyServersThatAreDearChangeNothing(t *testing.T) {
	play := func(dear decide.ServerID) []string {
		h, l := host(far{})
		h.BeginEndpoints(decide.DeltaUpdate)
		for s := range dear {
			h.OnEndpoint(decide.Endpoint{ID: s + 4, Zone: "b", Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
		}
		h.EndEndpoints()
		for i := range 400 {
			now := time.Duration(i) * 50 * time.Millisecond
			h.SetTime(now)
			if i == 100 { // one of the near ones starts anew, cold
				h.BeginEndpoints(decide.DeltaUpdate)
				h.OnEndpoint(decide.Endpoint{ID: 3, Zone: "a", Size: 1, Readiness: decide.Ready, StartedAt: now})
				h.EndEndpoints()
			}
			f := decide.FlowID(fmt.Sprint(i))
			h.OnFlow(decide.FlowRequest{ID: f, Customer: -1, Group: decide.GroupKey(fmt.Sprint("g", i%12)), Timeout: time.Second})
			h.OnEstablished(f, time.Millisecond)
			if i%5 == 0 {
				h.OnTimer(1)
			}
		}
		return l.said
	}
	with, without := play(6), play(0)
	if len(without) < 400 || strings.Join(with, "\n") != strings.Join(without, "\n") {
		t.Errorf("%d actions beside dear servers, %d without: not the same", len(with), len(without))
	}
}

func TestNoServerLeftIsAnsweredAtOnce(t *testing.T) {
	h, l := host(&no{name: "x", server: 1}, &no{name: "y", server: 2}, &no{name: "z", server: 3})
	h.NameNextFlow("client's own")
	flow(h, "f")
	if len(l.said) != 1 || !strings.HasPrefix(l.said[0], "reject f") {
		t.Errorf("done: %v, want a reject at once", l.said)
	}
	n, ok := h.Explain("client's own")
	if !ok || n.Answer != "rejected" || n.Excluded["x: not there"] == 0 || n.Excluded["z: not there"] == 0 {
		t.Errorf("known of it: %+v, %v", n, ok)
	}
}

func TestFactsComeInOrder(t *testing.T) {
	d := &no{name: "x", server: 9}
	h, _ := host(d)
	flow(h, "f")
	n, _ := h.Explain("f")
	s := n.Attempts[0].Server
	h.OnEnded("f", decide.Unreachable, time.Millisecond, false)
	n, _ = h.Explain("f")
	s2 := n.Attempts[1].Server
	h.OnEstablished("f", time.Millisecond)
	h.OnEnded("f", decide.Reset, time.Second, true)
	want := fmt.Sprintf("sent f %d, over f %d unreachable false, sent f %d, stood f %d, over f %d reset true, gone f", s, s, s2, s2, s2)
	if got := strings.Join(d.facts, ", "); got != want {
		t.Errorf("told %s\nwant %s", got, want)
	}
	if len(h.flows) != 0 {
		t.Errorf("%d flows are still kept", len(h.flows))
	}
}

func TestMemoryIsBounded(t *testing.T) {
	h, _ := host(&no{name: "x", admit: "full"})
	for i := range 3 * notesKept {
		flow(h, decide.FlowID(fmt.Sprint(i)))
	}
	if len(h.ring) != notesKept || len(h.flows) != 0 {
		t.Errorf("%d notes, %d flows kept", len(h.ring), len(h.flows))
	}
	if _, ok := h.Explain(fmt.Sprint(3*notesKept - 1)); !ok {
		t.Error("the newest is not known")
	}
	if _, ok := h.Explain("0"); ok {
		t.Error("the oldest is still known")
	}
}

func TestWithoutDecidersNothingChanges(t *testing.T) {
	for _, deciders := range [][]Constraint{nil, {None2{}}} {
		h, l := host(deciders...)
		b := &log{}
		plain := decide.New(1, b)
		settle(plain)
		listThree(plain)
		for i := range 500 {
			f := decide.FlowID(fmt.Sprint(i))
			now := time.Duration(i) * 10 * time.Millisecond
			for _, m := range []Balancer{h, plain} {
				m.SetTime(now)
				m.OnFlow(decide.FlowRequest{ID: f, Customer: -1, Group: decide.GroupKey(fmt.Sprint(i % 7)), Timeout: 2 * time.Second})
				switch i % 5 {
				case 0:
					m.OnEnded(f, decide.Unreachable, time.Millisecond, false)
				case 1:
					m.OnEnded(f, decide.TimedOut, time.Second, true)
				default:
					m.OnEstablished(f, time.Millisecond)
				}
				if i%25 == 0 {
					m.OnTimer(1)
				}
			}
		}
		if strings.Join(l.said, "\n") != strings.Join(b.said, "\n") || len(l.said) < 400 {
			for i := range l.said {
				if l.said[i] != b.said[i] {
					t.Errorf("first difference at %d: %s, %s", i, l.said[i], b.said[i])
					break
				}
			}
			t.Errorf("with %d deciders that say nothing %d actions, %d without: not the same", len(deciders), len(l.said), len(b.said))
		}
	}
}

// None2 is a decider that objects to nothing.
type None2 struct{ Unconstrained }

func (None2) Name() string { return "none" }
