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
	NotStarted ClientState = iota
	Attempting             // a try is out
	Connected              // its connection stands
	Pausing
	Finished
)

// Client is one that wants one long-lived connection for a span of time, however many tries that takes.
type Client struct {
	ID ClientID
	Arrival
	w               *World
	state           ClientState
	flow            FlowID
	failedInARow    int // tries in a row that came to nothing
	stateChanges    int // changes of state; what was noted for an earlier one is void
	load            float64
	random          *rand.Rand
	server          *Server
	conn            *conn
	attemptedAt     time.Duration
	until           time.Duration
	obeysRetryAfter bool
	place           int
	balancer        BalancerID
	Retried         int
	wasEstablished  bool
}

// Load is what the client asks for now.
func (c *Client) Load() float64 { return c.load }

// Server is the server on which its connection stands, if one does.
func (c *Client) Server() (*Server, bool) { return c.server, c.server != nil }

// State is where it stands.
func (c *Client) State() ClientState { return c.state }

// Flow is its last try.
func (c *Client) Flow() FlowID { return c.flow }

// AttemptedAt is when its last try began.
func (c *Client) AttemptedAt() time.Duration { return c.attemptedAt }
func (c *Client) service() *Service          { return &c.w.Services[c.Service] }

// transition makes every change of a client's state.
func (c *Client) transition(to ClientState) {
	c.stateChanges++
	c.state = to
	if to == Finished {
		w := c.w
		last := w.clients[len(w.clients)-1]
		w.clients[c.place], last.place = last, c.place
		w.clients = w.clients[:len(w.clients)-1]
	}
}

// later does something unless the client's state changes first.
func (c *Client) later(d time.Duration, do func()) {
	turns := c.stateChanges
	c.w.Schedule.After(d, Arrive, func() {
		if c.stateChanges == turns {
			do()
		}
	})
}

// establishInitially begins the day with a connection that stands: its server is drawn by what servers can do, as chance alone
// would have left it.
func (w *World) establishInitially(c *Client) {
	sums, all := make([]float64, len(w.Servers)), 0.0
	for i, s := range w.Servers {
		if s.IsServing() && s.startedAt == LongAgo {
			all += s.FullCapacity() * (1 + (w.localWeight-1)*indicator(s.Locality == c.Locality))
		}
		sums[i] = all
	}
	to, ok := w.chooseBalancer(c)
	if all == 0 || !ok {
		c.attempt()
		return
	}
	s := w.Servers[pickWeighted(c.random, sums)]
	if h, ok := w.Driver.(FlowAdopter); ok && len(s.conns) < s.MaxConnections {
		c.newFlow()
		c.balancer = to
		k := &conn{id: w.NewConnID(), client: c, balancerLocality: w.Balancers[to].Locality, stage: callingStore, place: len(s.conns)}
		s.settle()
		s.conns = append(s.conns, k)
		s.connByID[k.id], w.conns[k.id] = k, s
		h.AdoptFlow(c.flow, c, to, k.id, s.ID)
		c.transition(Connected)
		s.establish(k)
		return
	}
	c.attempt()
}

// FlowAdopter is a carrier that can begin with connections that stand.
type FlowAdopter interface {
	AdoptFlow(f FlowID, c *Client, b BalancerID, conn ConnID, s ServerID)
}

func indicator(b bool) float64 {
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

// chooseBalancer chooses a balancer for a client: one of its hall that the front believes alive, or of any other hall.
func (w *World) chooseBalancer(c *Client) (BalancerID, bool) {
	var near, far []BalancerID
	for _, b := range w.Balancers {
		if b.believedUp && b.Locality == c.Locality {
			near = append(near, b.ID)
		} else if b.believedUp {
			far = append(far, b.ID)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return 0, false
	}
	return near[c.random.IntN(len(near))], true
}

// attempt sends one try.
func (c *Client) attempt() {
	w, s := c.w, c.service()
	if c.state == Finished {
		return
	}
	c.transition(Attempting)
	to, ok := w.chooseBalancer(c)
	c.newFlow()
	c.balancer, c.attemptedAt = to, w.Schedule.now
	w.Totals.Attempts++
	w.Totals.AttemptedAt = append(w.Totals.AttemptedAt, w.Schedule.now)
	if c.failedInARow > 0 {
		w.Totals.Retries++
	}
	if !ok {
		w.AnswerFlow(c.flow, NoBalancer, 0)
		return
	}
	c.later(s.Timeout, func() {
		w.Totals.TimedOut++
		w.Driver.LeaveFlow(c.endFlow())
		c.scheduleRetry(0)
	})
	w.Driver.OpenFlow(Attempt{Flow: c.flow, Client: c, Balancer: to, Timeout: s.Timeout, IsRetry: c.failedInARow > 0, IsReturning: c.Retried > 0})
}

// endFlow ends the flow in hand.
func (c *Client) endFlow() FlowID {
	f := c.flow
	delete(c.w.flows, f)
	c.flow = 0
	return f
}

// AnswerFlow tells the client of a flow its one final answer.
func (w *World) AnswerFlow(f FlowID, a Answer, after time.Duration) {
	c := w.flows[f]
	if c == nil || c.state != Attempting {
		return
	}
	switch a {
	case Established:
		w.Totals.Established++
		w.Totals.Setups = append(w.Totals.Setups, w.Schedule.now-c.attemptedAt)
		w.Totals.EstablishedAt = append(w.Totals.EstablishedAt, w.Schedule.now)
		c.failedInARow = 0
		if !c.wasEstablished {
			c.wasEstablished = true
			w.Totals.FirstEstablished = append(w.Totals.FirstEstablished, w.Schedule.now-c.At)
		}
		c.transition(Connected)
		c.watchForSilence()
	default:
		switch a {
		case Rejected:
			w.Totals.Rejected++
			w.Totals.RejectedAt = append(w.Totals.RejectedAt, w.Schedule.now)
		case Aborted:
			w.Totals.Aborted++
		case NoBalancer:
			w.Totals.NoBalancer++
		}
		c.endFlow()
		if !c.obeysRetryAfter {
			after = 0
		}
		c.scheduleRetry(after)
	}
}

// scheduleRetry waits for the next try by the client's habit, and longer after many.
func (c *Client) scheduleRetry(told time.Duration) {
	s := c.service()
	c.transition(Pausing)
	c.failedInARow++
	c.Retried++
	wait := time.Duration(0)
	switch {
	case s.Retry == NeverRetry:
		return // it stays away; what it wanted stays unserved
	case c.failedInARow > s.RetriesInARow:
		wait = UniformDuration(c.random, time.Second, 3*time.Second)
	case s.Retry == RetryAfterFixedDelay:
		wait = s.RetryDelay
	case s.Retry == RetryWithBackoff:
		wait = time.Duration(float64(s.RetryDelay) * math.Pow(2, float64(c.failedInARow-1)) * (0.5 + c.random.Float64()))
	}
	c.later(max(wait, told, time.Millisecond), c.attempt)
}

// BreakFlow ends a standing connection for its client, not by its own will. A moved client comes again sooner.
func (w *World) BreakFlow(f FlowID, how Ending) {
	c := w.flows[f]
	if c == nil {
		return
	}
	c.endFlow()
	if c.state == Attempting {
		c.scheduleRetry(0)
		return
	}
	if c.state != Connected {
		return
	}
	if how == Migrated {
		w.Totals.Migrated++
	} else {
		w.Totals.Cut++
	}
	c.scheduleReturn(c.service().ReturnMin, c.service().ReturnMax)
}

func (c *Client) scheduleReturn(least, most time.Duration) {
	c.transition(Pausing)
	c.Retried++
	c.later(UniformDuration(c.random, least, most), c.attempt)
}

// watchForSilence lets a client whose server says nothing any more give up its connection.
func (c *Client) watchForSilence() {
	s := c.service()
	if s.SilenceNoticed <= 0 {
		return
	}
	quietSince := time.Duration(-1)
	var look func()
	look = func() {
		k := c.conn
		quiet := k == nil || !c.server.IsServing() || c.w.Network.IsBlocked(k.balancerLocality, c.server.Locality) || c.w.Network.IsBlocked(c.server.Locality, k.balancerLocality)
		if !quiet {
			quietSince = -1
		} else if quietSince < 0 {
			quietSince = c.w.Schedule.now
		} else if c.w.Schedule.now-quietSince >= s.SilenceNoticed {
			c.w.Driver.LeaveFlow(c.endFlow())
			c.w.Totals.Cut++
			c.scheduleReturn(s.ReturnMin, s.ReturnMax)
			return
		}
		c.later(time.Second, look)
	}
	c.later(time.Second, look)
}

// leave: the client wants nothing more.
func (c *Client) leave() {
	if c.state == Finished {
		return
	}
	open := c.state == Connected || c.state == Attempting
	c.countNeverEstablished()
	c.transition(Finished)
	if open && c.flow != 0 {
		c.w.Driver.LeaveFlow(c.endFlow())
	}
}

// EstablishedClients counts clients that hold a connection.
func (w *World) EstablishedClients() (n int) {
	for _, c := range w.clients {
		if c.state == Connected {
			n++
		}
	}
	return n
}

// AddGuest takes in a client of somebody else's, that a server is to serve and nobody counts.
func (w *World) AddGuest(s ServiceID, g GroupID) (FlowID, *Client) {
	c := &Client{ID: -1, Arrival: Arrival{Service: s, Customer: -1, Group: g, Load: w.meanLoad}, w: w, load: w.meanLoad}
	c.newFlow()
	return c.flow, c
}

// countNeverEstablished counts a client that goes, or is left at the end, without ever having had its connection: how long it waited is
// part of what a load saw, or a balancer that answers nobody would look fast.
func (c *Client) countNeverEstablished() {
	if !c.wasEstablished && !c.IsEstablished {
		c.wasEstablished = true
		c.w.Totals.NeverEstablished = append(c.w.Totals.NeverEstablished, c.w.Schedule.now-c.At)
	}
}
