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

const (
	lineInterval    = 2 * time.Second // between the lines of an established client
	lineTimeout     = time.Second
	connectTimeout  = 3 * time.Second
	lateAnswerWait  = answerTolerance + 10*time.Millisecond // for an answer that is on its way when a client gives up
	listenerTimeout = 50 * time.Millisecond
)

// clientState is the state of a client's connection.
type clientState int

const (
	connecting clientState = iota
	awaitingAnswer
	established
	over
)

var errBalancerKilled = errors.New("its balancer was killed")

// client is one attempt of a client on a socket. What changes of it is guarded by the driver's mutex.
type client struct {
	driver    *Driver
	flow      simulation.FlowID
	balancer  simulation.BalancerID
	address   string
	line      string
	deadline  time.Duration
	isInitial bool // it is established when the day begins

	state            clientState
	conn             net.Conn
	answers          int
	isAccepted       bool // as the checker has it
	hasLeft          bool // by its own will
	wasEstablished   bool
	wasMovedByServer bool
}

// transition makes every change of a client's state.
func (c *client) transition(to clientState) {
	if to == over && c.state != over {
		if c.state == established {
			c.driver.observe(c.event(invariants.FlowEnded))
		}
		delete(c.driver.clients, c.flow)
	}
	c.state = to
	c.wasEstablished = c.wasEstablished || to == established
}

func (c *client) event(kind invariants.Kind) invariants.Event {
	return invariants.Event{Kind: kind, Balancer: invariants.Balancer(c.balancer), Flow: invariants.Flow(c.flow)}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // its reader sees the end
	}
}

// OpenFlow opens a connection at a balancer. Its time counts from here, whatever keeps the machine from connecting.
func (d *Driver) OpenFlow(a simulation.Attempt) {
	if d.isOver {
		return
	}
	flags := ""
	if a.IsRetry {
		flags += ",r=1"
	}
	if a.IsReturning {
		flags += ",again=1"
	}
	d.startClient(a, flags)
}

// AdoptFlow opens a connection that is established when the day begins.
func (d *Driver) AdoptFlow(f simulation.FlowID, c *simulation.Client, b simulation.BalancerID, conn simulation.ConnID,
	s simulation.ServerID) {
	d.awaitingEstablished[f] = conn
	attempt := simulation.Attempt{Flow: f, Client: c, Balancer: b, Timeout: establishWithin}
	d.startClient(attempt, ",at="+experiment.ServerName(s)).isInitial = true
}

// startClient starts a client's goroutine, which waits for the driver's mutex before it reads what the caller still sets.
func (d *Driver) startClient(a simulation.Attempt, flags string) *client {
	c := &client{driver: d, flow: a.Flow, balancer: a.Balancer, deadline: d.now() + a.Timeout, line: d.openLine(a, flags)}
	if int(a.Balancer) < len(d.processes) {
		c.address = d.processes[a.Balancer].address
	}
	d.clients[a.Flow] = c
	d.workers.Go(c.run)
	return c
}

// openLine is the line with which a client opens a flow.
func (d *Driver) openLine(a simulation.Attempt, flags string) string {
	fields := "c=" + d.world.Services[a.Client.Service].Name
	if a.Client.Customer >= 0 {
		fields += ",t=" + d.world.Customers[a.Client.Customer].Name
	}
	fields += ",d=" + strconv.FormatInt(a.Timeout.Milliseconds(), 10)
	if a.Client.Group != simulation.NoGroup {
		fields += ",g=" + experiment.GroupName(a.Client.Group)
	}
	return fmt.Sprintf("OPEN %016x c%d %s%s\r\n", int64(a.Flow), int(a.Client.ID), fields, flags)
}

// LeaveFlow ends a client's connection. One whose time has run out stays a moment longer, so that an answer on its way is seen.
func (d *Driver) LeaveFlow(f simulation.FlowID) {
	c := d.clients[f]
	if c == nil {
		return
	}
	c.hasLeft = true
	if c.isAccepted {
		d.observe(c.event(invariants.ClientLeft))
	}
	if c.state == awaitingAnswer && d.now() >= c.deadline {
		conn := c.conn
		time.AfterFunc(lateAnswerWait, func() { _ = conn.Close() })
		return
	}
	c.transition(over)
	c.close()
}

// run is a client's connection from its opening to its end.
func (c *client) run() {
	conn, writtenAt, err := c.open()
	if conn != nil {
		defer func() { _ = conn.Close() }()
	}
	if !c.opened(conn, writtenAt, err) {
		return
	}
	done := make(chan struct{})
	defer close(done)
	lines := bufio.NewReaderSize(conn, maxLineBytes)
	for c.receiveNext(lines, done) {
	}
}

// open connects and writes the opening line. writtenAt is the time before it was written, as what it causes may be seen sooner than this
// goroutine goes on.
func (c *client) open() (conn net.Conn, writtenAt time.Duration, err error) {
	conn, err = (&net.Dialer{Timeout: connectTimeout}).DialContext(c.driver.ctx, "tcp", c.address)
	writtenAt = c.driver.elapsed()
	if err == nil {
		_, err = conn.Write([]byte(c.line))
	}
	return conn, writtenAt, err
}

// opened notes how the opening went, and reports whether there is an answer to wait for.
func (c *client) opened(conn net.Conn, writtenAt time.Duration, err error) bool {
	d := c.driver
	d.lockAtNow()
	defer d.unlock()
	if d.isOver {
		return false
	}
	if err == nil && !d.world.Balancers[c.balancer].IsUp {
		err = errBalancerKilled // the system still takes connections for a process that is being killed
	}
	if err != nil || c.state == over {
		c.openFailed(writtenAt, err)
		return false
	}
	c.conn = conn
	c.transition(awaitingAnswer)
	if !c.isInitial {
		c.isAccepted = true
		d.observeAt(writtenAt, c.acceptedEvent())
	}
	return true
}

// openFailed notes that a client could not open its flow, or left as its line was written: then the balancer may have read it, and owes it
// nothing.
func (c *client) openFailed(writtenAt time.Duration, err error) {
	d := c.driver
	if err == nil && !c.isInitial {
		accepted := c.acceptedEvent()
		accepted.Deadline = max(accepted.Deadline, d.now()+1)
		d.observeAt(writtenAt, accepted)
		d.observe(c.event(invariants.ClientLeft))
	}
	switch {
	case c.state == over:
	case c.isInitial:
		d.fail("a connection that stands at the beginning: %w", err)
	default:
		c.transition(over)
		d.world.AnswerFlow(c.flow, simulation.NoBalancer, 0)
	}
}

// The words of settings for effects and scopes that are not the least.
var (
	effects   = map[string]invariants.Effect{"guarded": invariants.IdempotentByKey, "single_shot": invariants.NotIdempotent}
	keyScopes = map[string]invariants.KeyScope{"zone": invariants.ZoneServers, "cell": invariants.CellServers}
)

// acceptedEvent is what the checker is told of a line that was written in full.
func (c *client) acceptedEvent() invariants.Event {
	e := c.event(invariants.FlowAccepted)
	e.Deadline = c.deadline
	if modelled := c.driver.world.Client(c.flow); modelled != nil {
		service := c.driver.world.Services[modelled.Service]
		e.Effect, e.KeyScope, e.KeyWindow = effects[service.Effect], keyScopes[service.Group], service.Window
	}
	return e
}

// receiveNext reads a line and reports whether the connection goes on.
func (c *client) receiveNext(lines *bufio.Reader, done <-chan struct{}) bool {
	d := c.driver
	line, err := lines.ReadString('\n')
	d.lockAtNow()
	defer d.unlock()
	if d.isOver {
		return false
	}
	if err != nil {
		c.connectionEnded()
		return false
	}
	before := c.state
	c.receive(strings.TrimRight(line, "\r\n"))
	if before != established && c.state == established {
		d.workers.Go(func() { c.sendLines(done) })
	}
	return true
}

// sendLines sends a line now and then while the connection is established.
func (c *client) sendLines(done <-chan struct{}) {
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-c.driver.ctx.Done():
			return
		case <-ticker.C:
			_ = c.conn.SetWriteDeadline(time.Now().Add(lineTimeout)) // it fails as the write does
			if _, err := fmt.Fprintf(c.conn, "T %d\r\n", n); err != nil {
				return // the reader sees the end
			}
		}
	}
}

// receive takes one line of the balancer.
func (c *client) receive(line string) {
	reply, argument, _ := strings.Cut(line, " ")
	switch {
	case c.state == established:
		if reply == "MOVE" {
			c.migrate()
		}
	case c.wasEstablished: // it has just left: the line is no answer
	case c.isInitial:
		c.receiveInitial(reply, line)
	case !c.driver.world.Balancers[c.balancer].IsUp: // sent before its balancer was killed, and received after: what it held is void
		c.transition(over)
		c.driver.world.BreakFlow(c.flow, simulation.Cut)
	default:
		c.receiveAnswer(reply, argument)
	}
}

// migrate takes a balancer's request to reconnect, which may be passed on from a server or be part of a shutdown.
func (c *client) migrate() {
	d := c.driver
	isBalancerUp := int(c.balancer) >= len(d.processes) || d.processes[c.balancer].isUp
	if !c.wasMovedByServer && isBalancerUp {
		d.Tally.Migrations++
		d.Tally.MigratedAt = append(d.Tally.MigratedAt, d.now())
	}
	c.transition(over)
	d.world.BreakFlow(c.flow, simulation.Migrated)
}

func (c *client) receiveInitial(reply, line string) {
	delete(c.driver.awaitingEstablished, c.flow)
	if reply != "UP" {
		c.driver.fail("a connection that stands at the beginning was answered %q", line)
	}
	c.transition(established)
}

// receiveAnswer tells the checker each answer, and the world the first one.
func (c *client) receiveAnswer(reply, argument string) {
	d := c.driver
	c.answers++
	answer, observed := simulation.Aborted, invariants.Aborted
	switch reply {
	case "UP":
		answer, observed = simulation.Established, invariants.Established
	case "BUSY":
		answer, observed = simulation.Rejected, invariants.Rejected
	}
	e := c.event(invariants.FlowAnswered)
	e.Answer = observed
	d.observe(e)
	if c.state != awaitingAnswer || c.answers > 1 {
		return
	}
	retryAfter := time.Duration(0)
	switch answer {
	case simulation.Established:
		c.transition(established)
	case simulation.Rejected:
		ms, _ := strconv.ParseFloat(argument, 64) // without a number there is no time to wait
		retryAfter = time.Duration(ms * float64(time.Millisecond))
	}
	d.world.AnswerFlow(c.flow, answer, retryAfter)
}

// connectionEnded notes the end of a connection.
func (c *client) connectionEnded() {
	d, before := c.driver, c.state
	c.transition(over)
	isUnanswered := before == awaitingAnswer && c.answers == 0
	switch {
	case c.hasLeft:
	case before == established:
		d.world.BreakFlow(c.flow, simulation.Cut)
	case isUnanswered && d.balancersAreExternal && !isListening(d.ctx, c.address):
		d.ObserveBalancer(c.balancer, invariants.BalancerDied) // a rule binds a balancer that runs
		d.world.BreakFlow(c.flow, simulation.Cut)
	case isUnanswered && !d.isProcessUp(c.balancer): // else the flow is lost, unless the balancer's end is about to be observed
		d.world.BreakFlow(c.flow, simulation.Cut)
	}
}

func (d *Driver) isProcessUp(b simulation.BalancerID) bool {
	return int(b) < len(d.processes) && d.processes[b].isUp
}

// isListening reports whether anybody listens at an address on this machine.
func isListening(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: listenerTimeout}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}
