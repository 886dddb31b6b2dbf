package sockets

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

const lineEvery = 2 * time.Second

// clientState names where a client's connection stands.
type clientState int

const (
	coming clientState = iota // not connected yet
	asking                    // its line is out
	holds
	gone
)

var errDead = errors.New("its balancer was killed")

// client is one try of a client on a socket; only turn changes its state, under the drive's lock.
type client struct {
	dr      *Drive
	flow    simulation.FlowID
	to      simulation.BalancerID
	addr    string
	line    string
	due     time.Duration
	conn    net.Conn
	state   clientState
	answers int
	held    bool // stands when the day begins
	left    bool // by its own will
	taken   bool
	stood   bool // it held its connection at some time

	sentAway bool // its server asked it to go
}

func (c *client) turn(to clientState) {
	if to == gone && c.state != gone {
		if c.state == holds {
			c.dr.see(invariants.Event{Kind: invariants.FlowEnded, Balancer: invariants.Balancer(c.to), Flow: invariants.Flow(c.flow)})
		}
		delete(c.dr.flows, c.flow)
	}
	c.state = to
	c.stood = c.stood || to == holds
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func (dr *Drive) begin(f simulation.FlowID, v *simulation.Client, b simulation.BalancerID, left time.Duration, more string) *client {
	fields := "c=" + dr.w.Services[v.Service].Name
	if v.Customer >= 0 {
		fields += ",t=" + dr.w.Customers[v.Customer].Name
	}
	fields += ",d=" + strconv.FormatInt(left.Milliseconds(), 10)
	if v.Group != simulation.NoGroup {
		fields += ",g=" + experiment.GroupName(v.Group)
	}
	c := &client{dr: dr, flow: f, to: b, due: dr.now() + left, line: fmt.Sprintf("OPEN %016x c%d %s%s\r\n", int64(f), int(v.ID), fields, more)}
	if int(b) < len(dr.procs) {
		c.addr = dr.procs[b].addr
	}
	dr.flows[f] = c
	dr.parts.Go(c.run)
	return c
}

// OpenFlow opens a connection at a balancer. What it takes is counted from here, whatever keeps the machine from connecting.
func (dr *Drive) OpenFlow(a simulation.Attempt) {
	if dr.over {
		return
	}
	more := ""
	if a.IsRetry {
		more += ",r=1"
	}
	if a.IsReturning {
		more += ",again=1"
	}
	dr.begin(a.Flow, a.Client, a.Balancer, a.Timeout, more)
}

// AdoptFlow brings up one that stands when the day begins.
func (dr *Drive) AdoptFlow(f simulation.FlowID, v *simulation.Client, b simulation.BalancerID, conn simulation.ConnID, s simulation.ServerID) {
	dr.awaited[f] = conn
	dr.begin(f, v, b, standWithin, ",at="+experiment.ServerName(s)).held = true
}

// LeaveFlow ends a client's connection. One that waited its time out stays a moment longer, so that an answer that is
// on its way is seen.
func (dr *Drive) LeaveFlow(f simulation.FlowID) {
	c := dr.flows[f]
	if c == nil {
		return
	}
	c.left = true
	if c.taken {
		dr.see(invariants.Event{Kind: invariants.ClientLeft, Balancer: invariants.Balancer(c.to), Flow: invariants.Flow(f)})
	}
	if c.state == asking && dr.now() >= c.due {
		conn := c.conn
		time.AfterFunc(answerSlack+10*time.Millisecond, func() { _ = conn.Close() })
		return
	}
	c.turn(gone)
	c.close()
}

// run is the client's connection from its opening to its end.
func (c *client) run() {
	dr := c.dr
	d := net.Dialer{Timeout: 3 * time.Second}
	conn, err := d.DialContext(dr.ctx, "tcp", c.addr)
	wrote := dr.elapsed() // before it is: what it causes may be seen sooner than this goroutine goes on
	if err == nil {
		_, err = conn.Write([]byte(c.line))
	}
	dr.enter()
	if conn != nil {
		defer func() { _ = conn.Close() }()
	}
	if dr.over {
		dr.leave()
		return
	}
	if b := dr.w.Balancers[c.to]; err == nil && !b.IsUp {
		err = errDead // a process that is being killed still lets the system take connections for it
	}
	if err != nil || c.state == gone {
		if err == nil && !c.held { // it went as its line was written: the balancer may have read it, and owes it nothing
			now := dr.now()
			taken := c.takenEvent()
			taken.Deadline = max(taken.Deadline, now+1)
			dr.seeAt(wrote, taken)
			dr.see(invariants.Event{Kind: invariants.ClientLeft, Balancer: invariants.Balancer(c.to), Flow: invariants.Flow(c.flow)})
		}
		if c.state != gone && c.held {
			dr.bad("a connection that stands at the beginning: %w", err)
		} else if c.state != gone {
			c.turn(gone)
			dr.w.AnswerFlow(c.flow, simulation.NoBalancer, 0)
		}
		dr.leave()
		return
	}
	c.conn = conn
	c.turn(asking)
	if !c.held {
		c.taken = true
		dr.seeAt(wrote, c.takenEvent())
	}
	dr.leave()
	stop := make(chan struct{})
	defer close(stop)
	r := bufio.NewReaderSize(conn, longestLine)
	for {
		line, err := r.ReadString('\n')
		dr.enter()
		if err != nil || dr.over {
			if !dr.over {
				c.ended()
			}
			dr.leave()
			return
		}
		stands := c.state == holds
		c.hear(strings.TrimRight(line, "\r\n"))
		if !stands && c.state == holds {
			dr.parts.Go(func() { c.talk(stop) })
		}
		dr.leave()
	}
}

// takenEvent is what the referee hears of a line that was written whole.
func (c *client) takenEvent() invariants.Event {
	e := invariants.Event{Kind: invariants.FlowAccepted, Balancer: invariants.Balancer(c.to), Flow: invariants.Flow(c.flow), Deadline: c.due}
	if v := c.dr.w.Client(c.flow); v != nil {
		s := c.dr.w.Services[v.Service]
		e.Effect = map[string]invariants.Effect{"guarded": invariants.IdempotentByKey, "single_shot": invariants.NotIdempotent}[s.Effect]
		e.KeyScope = map[string]invariants.KeyScope{"zone": invariants.ZoneServers, "cell": invariants.CellServers}[s.Group]
		e.KeyWindow = s.Window
	}
	return e
}

// talk sends a line now and then while the connection stands.
func (c *client) talk(stop chan struct{}) {
	t := time.NewTicker(lineEvery)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-c.dr.ctx.Done():
			return
		case <-t.C:
			_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := fmt.Fprintf(c.conn, "T %d\r\n", n); err != nil {
				return // the reader sees the end
			}
		}
	}
}

// hear takes one line of the balancer.
func (c *client) hear(line string) {
	dr := c.dr
	word, rest, _ := strings.Cut(line, " ")
	if c.state == holds {
		if word == "MOVE" {
			if !c.sentAway && (int(c.to) >= len(dr.procs) || dr.procs[c.to].up) { // else the server's doing, or a stop's
				dr.Tally.Moves++
				dr.Tally.MovedAt = append(dr.Tally.MovedAt, dr.now())
			}
			c.turn(gone)
			dr.w.BreakFlow(c.flow, simulation.Migrated)
		}
		return
	}
	if c.stood { // it has just left: what came meanwhile is talk, no answer
		return
	}
	if c.held {
		delete(dr.awaited, c.flow)
		if word != "UP" {
			dr.bad("a connection that stands at the beginning was answered %q", line)
		}
		c.turn(holds)
		return
	}
	if !dr.w.Balancers[c.to].IsUp { // said before its balancer was killed, and heard after: what it held is void
		c.turn(gone)
		dr.w.BreakFlow(c.flow, simulation.Cut)
		return
	}
	c.answers++
	e := invariants.Event{Kind: invariants.FlowAnswered, Balancer: invariants.Balancer(c.to), Flow: invariants.Flow(c.flow), Answer: invariants.Aborted}
	switch word {
	case "UP":
		e.Answer = invariants.Established
	case "BUSY":
		e.Answer = invariants.Rejected
	}
	dr.see(e)
	if c.state != asking || c.answers > 1 {
		return // the referee says the rest
	}
	switch word {
	case "UP":
		c.turn(holds)
		dr.w.AnswerFlow(c.flow, simulation.Established, 0)
	case "BUSY":
		ms, _ := strconv.ParseFloat(rest, 64) // none is no time to wait
		dr.w.AnswerFlow(c.flow, simulation.Rejected, time.Duration(ms*float64(time.Millisecond)))
	default:
		dr.w.AnswerFlow(c.flow, simulation.Aborted, 0)
	}
}

// runs tells whether anybody listens at an address on this machine.
func runs(addr string) bool {
	c, err := (&net.Dialer{Timeout: 50 * time.Millisecond}).DialContext(context.Background(), "tcp", addr)
	if c != nil {
		_ = c.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// ended: the connection has come to its end.
func (c *client) ended() {
	dr := c.dr
	was := c.state
	c.turn(gone)
	switch {
	case was == holds && !c.left:
		dr.w.BreakFlow(c.flow, simulation.Cut)
	case was == asking && c.answers == 0 && !c.left && dr.others && !runs(c.addr):
		dr.see(invariants.Event{Kind: invariants.BalancerDied, Balancer: invariants.Balancer(c.to)}) // a rule binds a balancer that runs
		dr.w.BreakFlow(c.flow, simulation.Cut)
	case was == asking && c.answers == 0 && !c.left:
		if p := dr.procs; int(c.to) < len(p) && p[c.to].up {
			// Ended with no answer by a balancer that lives: a lost flow, unless its death is about to be heard of.
			return
		}
		dr.w.BreakFlow(c.flow, simulation.Cut)
	}
}
