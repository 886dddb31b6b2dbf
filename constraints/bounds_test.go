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
func (l *log) Move(f decide.FlowID)                    { l.say("move %s", f) }
func (l *log) Probe(decide.ServerID)                   {}
func (l *log) Timer(decide.TimerMark, time.Duration)   {}
func (l *log) Watch(bool)                              {}
func (l *log) Fetch()                                  {}
func (l *log) Log(string)                              {}

// no bars a server, turns everybody away, or makes a server dear.
type no struct {
	None
	name   string
	server decide.ServerID
	extra  float64
	admit  Reason
	again  time.Duration
	facts  []string
}

func (n *no) Name() string { return n.name }
func (n *no) Server(_ decide.FlowID, s decide.ServerID) (float64, Reason) {
	if s == n.server && n.extra == 0 {
		return 0, "not there"
	}
	if s == n.server {
		return n.extra, ""
	}
	return 0, ""
}
func (n *no) Admit(decide.FlowID) Reason { return n.admit }
func (n *no) Again(_ decide.FlowID, told time.Duration) time.Duration {
	if n.again > 0 {
		return n.again
	}
	return told
}
func (n *no) Sent(f decide.FlowID, s decide.ServerID) {
	n.facts = append(n.facts, fmt.Sprint("sent ", f, " ", s))
}
func (n *no) Stood(f decide.FlowID, s decide.ServerID, _ time.Duration) {
	n.facts = append(n.facts, fmt.Sprint("stood ", f, " ", s))
}
func (n *no) Over(f decide.FlowID, s decide.ServerID, o decide.Outcome, stood bool) {
	n.facts = append(n.facts, fmt.Sprint("over ", f, " ", s, " ", o, " ", stood))
}
func (n *no) Gone(f decide.FlowID) { n.facts = append(n.facts, fmt.Sprint("gone ", f)) }

func host(deciders ...Decider) (*Host, *log) {
	l := &log{}
	h := New(1, l, deciders, settle)
	listThree(h)
	return h, l
}

// settle tells the decisions their settings.
func settle(b *decide.Balancer) {
	b.StartFlows(3, time.Second)
	b.StartService(decide.Repeatable, decide.ReachAll, 300*time.Millisecond, 2*time.Second, 1)
	b.StartCold(0.2, 3, 20*time.Second, 1500*time.Millisecond, 1)
	b.StartPick(0, 0, true)
	b.StartList("a", false, 10*time.Second, 250*time.Millisecond)
}

// listThree lists servers 1 to 3, warm and ready.
func listThree(m Module) {
	m.At(0)
	m.ListBegin(decide.ListFull)
	for s := range decide.ServerID(3) {
		m.ListServer(s+1, "a", 0, 1, decide.Ready, decide.LongAgo)
	}
	m.ListEnd()
}

func flow(h *Host, f decide.FlowID) { h.Flow(f, 0, -1, "", "", 2*time.Second, 0) }

func TestBoundsCompose(t *testing.T) {
	for _, c := range []struct {
		name string
		with []Decider
		want string // beginning of what is done for the flow
		acts string
	}{
		{"one server left by two deciders", []Decider{&no{name: "x", server: 1}, &no{name: "y", server: 3}}, "connect f 2", "x: not there"},
		{"the first that objects is booked", []Decider{&no{name: "x", admit: "full"}, &no{name: "y", admit: "late"}}, "reject f 1s", "x: full"},
		{"the longest time to come again", []Decider{&no{name: "x", admit: "full", again: 300 * time.Millisecond}, &no{name: "y", again: 700 * time.Millisecond}}, "reject f 700ms", "x: full"},
		{"the longest, whoever says it", []Decider{&no{name: "x", admit: "full", again: 700 * time.Millisecond}, &no{name: "y", again: 300 * time.Millisecond}}, "reject f 700ms", "x: full"},
		{"never longer than clients obey", []Decider{&no{name: "x", admit: "full", again: time.Hour}}, "reject f 1s", "x: full"},
		{"costs add", []Decider{&no{name: "x", server: 1, extra: 5}, &no{name: "y", server: 2, extra: 5}}, "connect f 3", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, l := host(c.with...)
			flow(h, "f")
			if len(l.said) != 1 || l.said[0] != c.want {
				t.Errorf("done: %v, want %q", l.said, c.want)
			}
			if c.acts != "" && h.Acted()[c.acts] == 0 {
				t.Errorf("acted: %v, want %q", h.Acted(), c.acts)
			}
		})
	}
}

// far makes all servers but the first three dear.
type far struct{ None }

func (far) Name() string { return "far" }
func (far) Server(_ decide.FlowID, s decide.ServerID) (float64, Reason) {
	if s > 3 {
		return 4, ""
	}
	return 0, ""
}

func TestEmptyServersThatAreDearChangeNothing(t *testing.T) {
	play := func(dear decide.ServerID) []string {
		h, l := host(far{})
		h.ListBegin(decide.ListChanges)
		for s := range dear {
			h.ListServer(s+4, "b", 0, 1, decide.Ready, decide.LongAgo)
		}
		h.ListEnd()
		for i := range 400 {
			now := time.Duration(i) * 50 * time.Millisecond
			h.At(now)
			if i == 100 { // one of the near ones starts anew, cold
				h.ListBegin(decide.ListChanges)
				h.ListServer(3, "a", 0, 1, decide.Ready, now)
				h.ListEnd()
			}
			f := decide.FlowID(fmt.Sprint(i))
			h.Flow(f, 0, -1, "", decide.GroupKey(fmt.Sprint("g", i%12)), time.Second, 0)
			h.Established(f, time.Millisecond)
			if i%5 == 0 {
				h.Timer(1)
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
	h.Named("client's own")
	flow(h, "f")
	if len(l.said) != 1 || !strings.HasPrefix(l.said[0], "reject f") {
		t.Errorf("done: %v, want a reject at once", l.said)
	}
	n, ok := h.Why("client's own")
	if !ok || n.Answer != "rejected" || n.Barred["x: not there"] == 0 || n.Barred["z: not there"] == 0 {
		t.Errorf("known of it: %+v, %v", n, ok)
	}
}

func TestFactsComeInOrder(t *testing.T) {
	d := &no{name: "x", server: 9}
	h, _ := host(d)
	flow(h, "f")
	n, _ := h.Why("f")
	s := n.Sent[0].Server
	h.Ended("f", decide.Unreachable, time.Millisecond, false)
	n, _ = h.Why("f")
	s2 := n.Sent[1].Server
	h.Established("f", time.Millisecond)
	h.Ended("f", decide.Reset, time.Second, true)
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
	if _, ok := h.Why(fmt.Sprint(3*notesKept - 1)); !ok {
		t.Error("the newest is not known")
	}
	if _, ok := h.Why("0"); ok {
		t.Error("the oldest is still known")
	}
}

func TestWithoutDecidersNothingChanges(t *testing.T) {
	for _, deciders := range [][]Decider{nil, {None2{}}} {
		h, l := host(deciders...)
		b := &log{}
		plain := decide.New(1, b)
		settle(plain)
		listThree(plain)
		for i := range 500 {
			f := decide.FlowID(fmt.Sprint(i))
			now := time.Duration(i) * 10 * time.Millisecond
			for _, m := range []Module{h, plain} {
				m.At(now)
				m.Flow(f, 0, -1, "", decide.GroupKey(fmt.Sprint(i%7)), 2*time.Second, 0)
				switch i % 5 {
				case 0:
					m.Ended(f, decide.Unreachable, time.Millisecond, false)
				case 1:
					m.Ended(f, decide.TimedOut, time.Second, true)
				default:
					m.Established(f, time.Millisecond)
				}
				if i%25 == 0 {
					m.Timer(1)
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
type None2 struct{ None }

func (None2) Name() string { return "none" }
