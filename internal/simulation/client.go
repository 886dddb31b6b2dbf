package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// ClientState is the state of a client.
type ClientState int

// States of a client.
const (
	NotStarted ClientState = iota // it has not made its first attempt
	Attempting                    // it awaits the answer to an attempt
	Connected                     // its connection is established
	Pausing                       // it waits before its next attempt
	Finished                      // it has left
)

const (
	minRetryDelay   = time.Millisecond
	silenceInterval = time.Second // between a client's checks that its server responds
)

// retryPause is the pause of a client after more than Service.RetriesInARow failures in a row.
var retryPause = Interval{time.Second, 3 * time.Second}

// Client wants one long-lived connection for its lifetime, and makes as many attempts as that takes.
type Client struct {
	ID ClientID
	Arrival

	w               *World
	random          *rand.Rand
	obeysRetryAfter bool
	leavesAt        time.Duration
	index           int // in World.clients
	load            float64

	state         ClientState
	stateChanges  int // number of transitions; actions scheduled before the latest one don't run
	flow          FlowID
	attemptedAt   time.Duration
	failedInARow  int // failed attempts since the last established one
	laterAttempts int // attempts after the first: retries, and reconnects after a lost connection
	hadConnection bool
	server        *Server // nil where no connection is established
	conn          *conn
}

// Load is the work per second that the client asks for now.
func (c *Client) Load() float64 { return c.load }

func (c *Client) service() *Service { return &c.w.Services[c.Service] }

// transition changes the client's state. All state changes go through it.
func (c *Client) transition(to ClientState) {
	c.stateChanges++
	c.state = to
	if to == Finished {
		c.w.removeClient(c)
	}
}

// removeClient removes a client by moving the last one to its index.
func (w *World) removeClient(c *Client) {
	last := w.clients[len(w.clients)-1]
	w.clients[c.index], last.index = last, c.index
	w.clients = w.clients[:len(w.clients)-1]
}

// afterInState schedules an action that is skipped if the client's state changes first.
func (c *Client) afterInState(delay time.Duration, do func()) {
	scheduledIn := c.stateChanges
	c.w.Schedule.After(delay, Arrive, func() {
		if c.stateChanges == scheduledIn {
			do()
		}
	})
}

// FlowAdopter is a driver that can take over flows that are established when the day begins.
type FlowAdopter interface {
	AdoptFlow(f FlowID, c *Client, b BalancerID, conn ConnID, s ServerID)
}

// establishInitially gives a client an established connection when the day begins. Its server is drawn at random, weighted by capacity and
// locality as in initialWeights. The client makes an ordinary attempt where the driver can't adopt flows, the drawn server is full, or no
// server or balancer is available.
func (w *World) establishInitially(c *Client) {
	sums := w.initialWeights(c)
	b, hasBalancer := w.chooseBalancer(c)
	if sums[len(sums)-1] == 0 || !hasBalancer {
		c.attempt()
		return
	}
	s := w.Servers[pickWeighted(c.random, sums)]
	adopter, canAdopt := w.Driver.(FlowAdopter)
	if !canAdopt || len(s.conns) >= s.MaxConnections {
		c.attempt()
		return
	}
	c.newFlow()
	k := &conn{id: w.NewConnID(), client: c, balancerLocality: w.Balancers[b].Locality, stage: callingStore}
	s.settle()
	s.add(k)
	adopter.AdoptFlow(c.flow, c, b, k.id, s.ID)
	c.transition(Connected)
	s.establish(k)
}

// initialWeights returns the running sums of the servers' weights. A weight is the server's capacity, times localWeight in the client's
// locality; it is 0 for a server that is not serving or has started during the day.
func (w *World) initialWeights(c *Client) []float64 {
	sums, sum := make([]float64, len(w.Servers)), 0.0
	for i, s := range w.Servers {
		if s.IsServing() && s.startedAt == LongAgo {
			sum += s.FullCapacity() * (1 + (w.localWeight-1)*indicator(s.Locality == c.Locality))
		}
		sums[i] = sum
	}
	return sums
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

// endFlow removes the flow of the last attempt and returns its ID.
func (c *Client) endFlow() FlowID {
	f := c.flow
	delete(c.w.flows, f)
	c.flow = 0
	return f
}

// chooseBalancer draws a balancer for a client among those that the front considers up: one in its locality, or any other where there is
// none.
func (w *World) chooseBalancer(c *Client) (b BalancerID, ok bool) {
	var near, far []BalancerID
	for _, b := range w.Balancers {
		if b.frontSeesUp && b.Locality == c.Locality {
			near = append(near, b.ID)
		} else if b.frontSeesUp {
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

// attempt opens a flow at a balancer and starts the client's timeout.
func (c *Client) attempt() {
	if c.state == Finished {
		return
	}
	w, service := c.w, c.service()
	c.transition(Attempting)
	b, hasBalancer := w.chooseBalancer(c)
	c.newFlow()
	c.attemptedAt = w.Schedule.now
	w.Totals.countAttempt(w.Schedule.now, c.failedInARow > 0)
	if !hasBalancer {
		w.AnswerFlow(c.flow, NoBalancer, 0)
		return
	}
	c.afterInState(service.Timeout, func() {
		w.Totals.TimedOut++
		w.Driver.LeaveFlow(c.endFlow())
		c.scheduleRetry(0)
	})
	w.Driver.OpenFlow(Attempt{
		Flow:        c.flow,
		Client:      c,
		Balancer:    b,
		Timeout:     service.Timeout,
		IsRetry:     c.failedInARow > 0,
		IsReturning: c.laterAttempts > 0,
	})
}

// AnswerFlow gives the client of a flow its final answer.
func (w *World) AnswerFlow(f FlowID, a Answer, retryAfter time.Duration) {
	c := w.flows[f]
	if c == nil || c.state != Attempting {
		return
	}
	w.Totals.countAnswer(a, w.Schedule.now)
	if a == Established {
		c.connected()
		return
	}
	c.endFlow()
	if !c.obeysRetryAfter {
		retryAfter = 0
	}
	c.scheduleRetry(retryAfter)
}

func (c *Client) connected() {
	now := c.w.Schedule.now
	c.w.Totals.Setups = append(c.w.Totals.Setups, now-c.attemptedAt)
	c.failedInARow = 0
	if !c.hadConnection {
		c.hadConnection = true
		c.w.Totals.FirstEstablished = append(c.w.Totals.FirstEstablished, now-c.At)
	}
	c.transition(Connected)
	c.watchForSilence()
}

// scheduleRetry schedules the next attempt after a failed one, by the service's retry policy.
func (c *Client) scheduleRetry(retryAfter time.Duration) {
	c.transition(Pausing)
	c.failedInARow++
	c.laterAttempts++
	if c.service().Retry == NeverRetry {
		return // its requested value stays unserved
	}
	c.afterInState(max(c.retryDelay(), retryAfter, minRetryDelay), c.attempt)
}

func (c *Client) retryDelay() time.Duration {
	service := c.service()
	switch {
	case c.failedInARow > service.RetriesInARow:
		return retryPause.Draw(c.random)
	case service.Retry == RetryAfterFixedDelay:
		return service.RetryDelay
	case service.Retry == RetryWithBackoff:
		jitter := 0.5 + c.random.Float64()
		return time.Duration(float64(service.RetryDelay) * math.Pow(2, float64(c.failedInARow-1)) * jitter)
	}
	return 0
}

// BreakFlow ends a client's flow that the client did not end itself. The client reconnects after a pause.
func (w *World) BreakFlow(f FlowID, how Ending) {
	c := w.flows[f]
	if c == nil {
		return
	}
	c.endFlow()
	switch c.state {
	case Attempting:
		c.scheduleRetry(0)
	case Connected:
		if how == Migrated {
			w.Totals.Migrated++
		} else {
			w.Totals.Cut++
		}
		c.scheduleReturn()
	}
}

// scheduleReturn schedules the next attempt of a client that lost its connection.
func (c *Client) scheduleReturn() {
	c.transition(Pausing)
	c.laterAttempts++
	c.afterInState(c.service().ReconnectDelay.Draw(c.random), c.attempt)
}

// watchForSilence makes a client close its connection and reconnect when its server has not responded for Service.SilenceTimeout.
func (c *Client) watchForSilence() {
	limit := c.service().SilenceTimeout
	if limit <= 0 {
		return
	}
	const notSilent = time.Duration(-1)
	silentSince := notSilent
	var check func()
	check = func() {
		now := c.w.Schedule.now
		switch {
		case !c.isSilent():
			silentSince = notSilent
		case silentSince == notSilent:
			silentSince = now
		case now-silentSince >= limit:
			c.w.Driver.LeaveFlow(c.endFlow())
			c.w.Totals.Cut++
			c.scheduleReturn()
			return
		}
		c.afterInState(silenceInterval, check)
	}
	c.afterInState(silenceInterval, check)
}

func (c *Client) isSilent() bool {
	return c.conn == nil || !c.server.IsServing() || c.w.Network.isPartitioned(c.conn.balancerLocality, c.server.Locality)
}

// leave ends the client and its flow.
func (c *Client) leave() {
	if c.state == Finished {
		return
	}
	isOpen := c.state == Connected || c.state == Attempting
	c.countNeverEstablished()
	c.transition(Finished)
	if isOpen && c.flow != 0 {
		c.w.Driver.LeaveFlow(c.endFlow())
	}
}

// countNeverEstablished records the wait of a client that leaves, or remains at the end of the day, without having had a connection.
// Without these waits, a balancer that establishes nothing would look fast.
func (c *Client) countNeverEstablished() {
	if !c.hadConnection && !c.IsEstablished {
		c.hadConnection = true // so that it is counted once
		c.w.Totals.NeverEstablished = append(c.w.Totals.NeverEstablished, c.w.Schedule.now-c.At)
	}
}

// AddExternalClient adds a client from outside the model, which a server serves and the totals don't count. It returns the client's
// flow.
func (w *World) AddExternalClient(s ServiceID, g GroupID) (FlowID, *Client) {
	c := &Client{ID: -1, Arrival: Arrival{Service: s, Customer: -1, Group: g, Load: w.meanLoad}, w: w, load: w.meanLoad}
	c.newFlow()
	return c.flow, c
}
