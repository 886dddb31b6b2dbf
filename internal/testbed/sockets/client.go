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
	lineInterval    = 2 * time.Second // between two lines sent by an established client
	lineTimeout     = time.Second
	connectTimeout  = 3 * time.Second
	lateAnswerWait  = answerTolerance + 10*time.Millisecond // an answer may be in transit when a client times out
	listenerTimeout = 50 * time.Millisecond
)

// clientState is the state of a client's connection.
type clientState int

const (
	connecting clientState = iota
	awaitingAnswer
	established
	ended
)

var errBalancerKilled = errors.New("balancer was killed")

// client is one flow: a simulated client's connection to a balancer. Its mutable fields are guarded by the driver's mutex.
type client struct {
	driver    *Driver
	flow      simulation.FlowID
	balancer  simulation.BalancerID
	address   string
	line      string
	deadline  time.Duration
	isInitial bool // established before the day begins

	state                    clientState
	conn                     net.Conn
	answers                  int
	isAccepted               bool // the checker was told that the flow is accepted
	hasLeft                  bool // the client itself ended the connection
	wasEstablished           bool
	serverRequestedMigration bool
}

// transition is the only place that changes a client's state.
func (c *client) transition(to clientState) {
	if to == ended && c.state != ended {
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
		_ = c.conn.Close() // unblocks the reading goroutine, which does the cleanup
	}
}

// OpenFlow opens a connection to a balancer. The client's timeout starts here, even if the machine is slow to connect.
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

// AdoptFlow opens a connection that has to be established before the day begins.
func (d *Driver) AdoptFlow(f simulation.FlowID, c *simulation.Client, b simulation.BalancerID, conn simulation.ConnID,
	s simulation.ServerID) {
	d.awaitingEstablished[f] = conn
	attempt := simulation.Attempt{Flow: f, Client: c, Balancer: b, Timeout: establishTimeout}
	d.startClient(attempt, ",at="+experiment.ServerName(s)).isInitial = true
}

// startClient starts a client's goroutine. The caller holds the driver's mutex and may set further fields: the goroutine locks the mutex
// before it reads them.
func (d *Driver) startClient(a simulation.Attempt, flags string) *client {
	c := &client{driver: d, flow: a.Flow, balancer: a.Balancer, deadline: d.now() + a.Timeout, line: d.openLine(a, flags)}
	if int(a.Balancer) < len(d.processes) {
		c.address = d.processes[a.Balancer].address
	}
	d.clients[a.Flow] = c
	d.workers.Go(c.run)
	return c
}

// openLine returns the line that a client sends to open a flow.
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

// LeaveFlow ends a client's connection. After a timeout the connection stays open for lateAnswerWait, so that an answer in transit is
// still observed.
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
	c.transition(ended)
	c.close()
}

// run opens a client's connection and reads from it until it ends.
func (c *client) run() {
	conn, writtenAt, err := c.open()
	if conn != nil {
		defer func() { _ = conn.Close() }()
	}
	if !c.handleOpened(conn, writtenAt, err) {
		return
	}
	done := make(chan struct{})
	defer close(done)
	lines := bufio.NewReaderSize(conn, maxLineBytes)
	for c.receiveNext(lines, done) {
	}
}

// open connects and writes the opening line. writtenAt is taken before the write, because the effects of the line may be observed before
// this goroutine is scheduled again.
func (c *client) open() (conn net.Conn, writtenAt time.Duration, err error) {
	conn, err = (&net.Dialer{Timeout: connectTimeout}).DialContext(c.driver.ctx, "tcp", c.address)
	writtenAt = c.driver.elapsed()
	if err == nil {
		_, err = conn.Write([]byte(c.line))
	}
	return conn, writtenAt, err
}

// handleOpened processes the result of opening a flow, and reports whether an answer has to be awaited.
func (c *client) handleOpened(conn net.Conn, writtenAt time.Duration, err error) bool {
	d := c.driver
	d.lockAtNow()
	defer d.unlock()
	if d.isOver {
		return false
	}
	if err == nil && !d.world.Balancers[c.balancer].IsUp {
		err = errBalancerKilled // the kernel still accepts connections for a process that is being killed
	}
	if err != nil || c.state == ended {
		c.handleOpenFailure(writtenAt, err)
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

// handleOpenFailure processes a flow that could not be opened, or whose client left while its line was being written. In the second
// case the balancer may have read the line, but need not answer it.
func (c *client) handleOpenFailure(writtenAt time.Duration, err error) {
	d := c.driver
	if err == nil && !c.isInitial {
		accepted := c.acceptedEvent()
		accepted.Deadline = max(accepted.Deadline, d.now()+1)
		d.observeAt(writtenAt, accepted)
		d.observe(c.event(invariants.ClientLeft))
	}
	switch {
	case c.state == ended:
	case c.isInitial:
		d.fail("open an initially established connection: %w", err)
	default:
		c.transition(ended)
		d.world.AnswerFlow(c.flow, simulation.NoBalancer, 0)
	}
}

// Effects and key scopes by their names in experiment files. Names that are absent ("free", "all") stand for the zero values.
var (
	effects   = map[string]invariants.Effect{"guarded": invariants.IdempotentByKey, "single_shot": invariants.NotIdempotent}
	keyScopes = map[string]invariants.KeyScope{"zone": invariants.ZoneServers, "cell": invariants.CellServers}
)

// acceptedEvent returns the event for a flow whose opening line was written in full.
func (c *client) acceptedEvent() invariants.Event {
	e := c.event(invariants.FlowAccepted)
	e.Deadline = c.deadline
	if modelled := c.driver.world.Client(c.flow); modelled != nil {
		service := c.driver.world.Services[modelled.Service]
		e.Effect, e.KeyScope, e.KeyWindow = effects[service.Effect], keyScopes[service.DeduplicationScope], service.DeduplicationWindow
	}
	return e
}

// receiveNext reads and handles one line, and reports whether the connection is still open.
func (c *client) receiveNext(lines *bufio.Reader, done <-chan struct{}) bool {
	d := c.driver
	line, err := lines.ReadString('\n')
	d.lockAtNow()
	defer d.unlock()
	if d.isOver {
		return false
	}
	if err != nil {
		c.handleConnectionEnd()
		return false
	}
	before := c.state
	c.receive(strings.TrimRight(line, "\r\n"))
	if before != established && c.state == established {
		d.workers.Go(func() { c.sendLines(done) })
	}
	return true
}

// sendLines sends a line every lineInterval until the connection ends.
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
			_ = c.conn.SetWriteDeadline(time.Now().Add(lineTimeout)) // if it fails, so does the write
			if _, err := fmt.Fprintf(c.conn, "T %d\r\n", n); err != nil {
				return // the reading goroutine notices the end, too
			}
		}
	}
}

// receive handles one line from the balancer.
func (c *client) receive(line string) {
	reply, argument, _ := strings.Cut(line, " ")
	switch {
	case c.state == established:
		if reply == "MOVE" {
			c.migrate()
		}
	case c.wasEstablished: // the client has just left: the line is not an answer to its flow
	case c.isInitial:
		c.receiveInitial(reply, line)
	case !c.driver.world.Balancers[c.balancer].IsUp: // sent before the balancer was killed, received afterwards
		c.transition(ended)
		c.driver.world.BreakFlow(c.flow, simulation.Cut)
	default:
		c.receiveAnswer(reply, argument)
	}
}

// migrate handles a balancer's request to reconnect. Only requests that the balancer itself decided on are counted as migrations: not those
// that it relays from a server, nor those of its shutdown.
func (c *client) migrate() {
	d := c.driver
	isBalancerUp := int(c.balancer) >= len(d.processes) || d.processes[c.balancer].isUp
	if !c.serverRequestedMigration && isBalancerUp {
		d.Counts.Migrations++
		d.Counts.MigratedAt = append(d.Counts.MigratedAt, d.now())
	}
	c.transition(ended)
	d.world.BreakFlow(c.flow, simulation.Migrated)
}

func (c *client) receiveInitial(reply, line string) {
	delete(c.driver.awaitingEstablished, c.flow)
	if reply != "UP" {
		c.driver.fail("an initially established connection was answered %q", line)
	}
	c.transition(established)
}

// receiveAnswer reports each answer to the checker, but only the first one to the world.
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
		ms, _ := strconv.ParseFloat(argument, 64) // without a number, the retry delay is 0
		retryAfter = time.Duration(ms * float64(time.Millisecond))
	}
	d.world.AnswerFlow(c.flow, answer, retryAfter)
}

// handleConnectionEnd processes a connection that was closed or failed.
func (c *client) handleConnectionEnd() {
	d, before := c.driver, c.state
	c.transition(ended)
	isUnanswered := before == awaitingAnswer && c.answers == 0
	switch {
	case c.hasLeft:
	case before == established:
		d.world.BreakFlow(c.flow, simulation.Cut)
	case isUnanswered && d.balancersAreExternal && !isListening(d.ctx, c.address):
		d.ObserveBalancer(c.balancer, invariants.BalancerDied) // the rules apply to running balancers only
		d.world.BreakFlow(c.flow, simulation.Cut)
	case isUnanswered && !d.isProcessUp(c.balancer):
		// If the process is up, the checker reports the missing answer at the flow's deadline, unless it observes the exit of the process before.
		d.world.BreakFlow(c.flow, simulation.Cut)
	}
}

func (d *Driver) isProcessUp(b simulation.BalancerID) bool {
	return int(b) < len(d.processes) && d.processes[b].isUp
}

// isListening reports whether a process listens on a local address.
func isListening(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: listenerTimeout}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}
