package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// ClientState names where a client stands.
type ClientState int

// States of a client.
const (
	Coming ClientState = iota
	Asking             // a try is out
	Held               // its connection stands
	Pausing
	Done
)

// Client is one that wants one long-lived connection for a span of time, however many tries that takes.
type Client struct {
	ID ClientID
	Visit
	w       *World
	state   ClientState
	flow    FlowID
	tried   int // tries in a row that came to nothing
	turns   int // changes of state; what was noted for an earlier one is void
	load    float64
	chance  *rand.Rand
	at      *Server
	atConn  *conn
	asked   time.Duration
	until   time.Duration
	obeys   bool
	place   int
	to      BalancerID
	Retried int
	wasUp   bool
}

// Load is what the client asks for now.
func (c *Client) Load() float64 { return c.load }

// On is the server on which its connection stands, if one does.
func (c *Client) On() (*Server, bool) { return c.at, c.at != nil }

// State is where it stands.
func (c *Client) State() ClientState { return c.state }

// Flow is its last try.
func (c *Client) Flow() FlowID { return c.flow }

// Asked is when its last try began.
func (c *Client) Asked() time.Duration { return c.asked }
func (c *Client) service() *Service    { return &c.w.Services[c.Service] }

// turn makes every change of a client's state.
func (c *Client) turn(to ClientState) {
	c.turns++
	c.state = to
	if to == Done {
		w := c.w
		last := w.clients[len(w.clients)-1]
		w.clients[c.place], last.place = last, c.place
		w.clients = w.clients[:len(w.clients)-1]
	}
}

// later does something unless the client's state changes first.
func (c *Client) later(d time.Duration, do func()) {
	turns := c.turns
	c.w.Agenda.After(d, Arrive, func() {
		if c.turns == turns {
			do()
		}
	})
}

// stand begins the day with a connection that stands: its server is drawn by what servers can do, as chance alone
// would have left it.
func (w *World) stand(c *Client) {
	sums, all := make([]float64, len(w.Servers)), 0.0
	for i, s := range w.Servers {
		if s.Alive() && s.since == LongAgo {
			all += s.Full() * (1 + (w.homeWeight-1)*b2f(s.Hall == c.Hall))
		}
		sums[i] = all
	}
	to, ok := w.front(c)
	if all == 0 || !ok {
		c.ask()
		return
	}
	s := w.Servers[pickBy(c.chance, sums)]
	if h, ok := w.Carrier.(Handover); ok && len(s.conns) < s.Cap {
		c.newFlow()
		c.to = to
		k := &conn{id: w.NextConn(), client: c, from: w.Balancers[to].Hall, stage: storing, place: len(s.conns)}
		s.settle()
		s.conns = append(s.conns, k)
		s.held[k.id], w.conns[k.id] = k, s
		h.Held(c.flow, c, to, k.id, s.ID)
		c.turn(Held)
		s.stand(k)
		return
	}
	c.ask()
}

// Handover is a carrier that can begin with connections that stand.
type Handover interface {
	Held(f FlowID, c *Client, b BalancerID, conn ConnID, s ServerID)
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (c *Client) newFlow() {
	c.w.lastFlow++
	c.flow = c.w.lastFlow
	c.w.flows[c.flow] = c
}

// front chooses a balancer for a client: one of its hall that the front believes alive, or of any other hall.
func (w *World) front(c *Client) (BalancerID, bool) {
	var near, far []BalancerID
	for _, b := range w.Balancers {
		if b.believed && b.Hall == c.Hall {
			near = append(near, b.ID)
		} else if b.believed {
			far = append(far, b.ID)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return 0, false
	}
	return near[c.chance.IntN(len(near))], true
}

// ask sends one try.
func (c *Client) ask() {
	w, s := c.w, c.service()
	if c.state == Done {
		return
	}
	c.turn(Asking)
	to, ok := w.front(c)
	c.newFlow()
	c.to, c.asked = to, w.Agenda.now
	w.Totals.Tries++
	w.Totals.TriedAt = append(w.Totals.TriedAt, w.Agenda.now)
	if c.tried > 0 {
		w.Totals.Retries++
	}
	if !ok {
		w.Answered(c.flow, Nobody, 0)
		return
	}
	c.later(s.Timeout, func() {
		w.Totals.GaveUp++
		w.Carrier.Leave(c.drop())
		c.fail(0)
	})
	w.Carrier.Ask(c.flow, c, to, s.Timeout, c.tried > 0, c.Retried > 0)
}

// drop ends the flow in hand.
func (c *Client) drop() FlowID {
	f := c.flow
	delete(c.w.flows, f)
	c.flow = 0
	return f
}

// Answered tells the client of a flow its one final answer.
func (w *World) Answered(f FlowID, a Answer, after time.Duration) {
	c := w.flows[f]
	if c == nil || c.state != Asking {
		return
	}
	switch a {
	case Established:
		w.Totals.Established++
		w.Totals.Setups = append(w.Totals.Setups, w.Agenda.now-c.asked)
		w.Totals.SetupAt = append(w.Totals.SetupAt, w.Agenda.now)
		c.tried = 0
		if !c.wasUp {
			c.wasUp = true
			w.Totals.FirstUp = append(w.Totals.FirstUp, w.Agenda.now-c.At)
		}
		c.turn(Held)
		c.watchSilence()
	default:
		switch a {
		case Rejected:
			w.Totals.Rejected++
			w.Totals.RejectedAt = append(w.Totals.RejectedAt, w.Agenda.now)
		case Aborted:
			w.Totals.Aborted++
		case Nobody:
			w.Totals.Nobody++
		}
		c.drop()
		if !c.obeys {
			after = 0
		}
		c.fail(after)
	}
}

// fail waits for the next try by the client's habit, and longer after many.
func (c *Client) fail(told time.Duration) {
	s := c.service()
	c.turn(Pausing)
	c.tried++
	c.Retried++
	wait := time.Duration(0)
	switch {
	case s.Habit == Never:
		return // it stays away; what it wanted stays unserved
	case c.tried > s.RetriesInARow:
		wait = BetweenTimes(c.chance, time.Second, 3*time.Second)
	case s.Habit == Fixed:
		wait = s.Wait
	case s.Habit == Backoff:
		wait = time.Duration(float64(s.Wait) * math.Pow(2, float64(c.tried-1)) * (0.5 + c.chance.Float64()))
	}
	c.later(max(wait, told, time.Millisecond), c.ask)
}

// Broken ends a standing connection for its client, not by its own will. A moved client comes again sooner.
func (w *World) Broken(f FlowID, how Ending) {
	c := w.flows[f]
	if c == nil {
		return
	}
	c.drop()
	if c.state == Asking {
		c.fail(0)
		return
	}
	if c.state != Held {
		return
	}
	if how == Moved {
		w.Totals.Moved++
	} else {
		w.Totals.Cut++
	}
	c.comeBack(c.service().ReturnMin, c.service().ReturnMax)
}

func (c *Client) comeBack(least, most time.Duration) {
	c.turn(Pausing)
	c.Retried++
	c.later(BetweenTimes(c.chance, least, most), c.ask)
}

// watchSilence lets a client whose server says nothing any more give up its connection.
func (c *Client) watchSilence() {
	s := c.service()
	if s.SilenceNoticed <= 0 {
		return
	}
	quietSince := time.Duration(-1)
	var look func()
	look = func() {
		k := c.atConn
		quiet := k == nil || !c.at.Alive() || c.w.Net.Blocked(k.from, c.at.Hall) || c.w.Net.Blocked(c.at.Hall, k.from)
		if !quiet {
			quietSince = -1
		} else if quietSince < 0 {
			quietSince = c.w.Agenda.now
		} else if c.w.Agenda.now-quietSince >= s.SilenceNoticed {
			c.w.Carrier.Leave(c.drop())
			c.w.Totals.Cut++
			c.comeBack(s.ReturnMin, s.ReturnMax)
			return
		}
		c.later(time.Second, look)
	}
	c.later(time.Second, look)
}

// leave: the client wants nothing more.
func (c *Client) leave() {
	if c.state == Done {
		return
	}
	open := c.state == Held || c.state == Asking
	c.book()
	c.turn(Done)
	if open && c.flow != 0 {
		c.w.Carrier.Leave(c.drop())
	}
}

// Standing counts clients that hold a connection.
func (w *World) Standing() (n int) {
	for _, c := range w.clients {
		if c.state == Held {
			n++
		}
	}
	return n
}

// Guest takes in a client of somebody else's, that a server is to serve and nobody counts.
func (w *World) Guest(s ServiceID, g GroupID) (FlowID, *Client) {
	c := &Client{ID: -1, Visit: Visit{Service: s, Customer: -1, Group: g, Load: w.meanLoad}, w: w, load: w.meanLoad}
	c.newFlow()
	return c.flow, c
}

// book counts a client that goes, or is left at the end, without ever having had its connection: how long it waited is
// part of what a load saw, or a balancer that answers nobody would look fast.
func (c *Client) book() {
	if !c.wasUp && !c.Standing {
		c.wasUp = true
		c.w.Totals.NeverUp = append(c.w.Totals.NeverUp, c.w.Agenda.now-c.At)
	}
}
