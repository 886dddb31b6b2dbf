package sockets

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

const (
	maxLineBytes     = 4096
	writeTimeout     = 100 * time.Millisecond // of a short line: a peer that reads nothing must not hold the world up
	firstLineTimeout = 10 * time.Second
	openLineWords    = 4
)

// connection is one connection of a balancer to a stand-in server. What changes of it is guarded by the driver's mutex.
type connection struct {
	driver           *Driver
	balancer         simulation.BalancerID
	balancerLocality simulation.LocalityID
	server           simulation.ServerID
	isForwarded      bool // over a path of its own, at whose near end it is observed

	conn          net.Conn
	id            simulation.ConnID // 0 until it is sent, and where its client has left
	flow          simulation.FlowID
	isEstablished bool
	isOver        bool
}

// serve is the server's side of one connection. c is it where it is forwarded, and was observed on the way already; else nil.
func (l *serverListener) serve(conn net.Conn, c *connection) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewReaderSize(conn, maxLineBytes)
	_ = conn.SetReadDeadline(time.Now().Add(firstLineTimeout)) // it fails as the read does
	line, err := lines.ReadString('\n')
	if err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	id, fields, isOpen := parseOpenLine(line)
	if !isOpen {
		_, _ = fmt.Fprintf(conn, "%s\r\n", l.answerOther(strings.TrimSpace(line))) // whoever asked may be gone
		return
	}
	if c == nil {
		c = &connection{driver: l.server.driver, balancerLocality: l.locality, server: l.server.id}
	}
	if c.opened(conn, id, fields) {
		c.echoUntilEnd(lines)
	}
}

// opened takes the opening line, and reports whether the connection goes on.
func (c *connection) opened(conn net.Conn, id string, fields map[string]string) bool {
	c.driver.lockAtNow()
	defer c.driver.unlock()
	if !c.isForwarded {
		c.sent(id, fields)
	}
	c.conn = conn
	if c.id != 0 {
		c.arrive()
	}
	return c.id != 0
}

// echoUntilEnd sends lines back to the client.
func (c *connection) echoUntilEnd(lines *bufio.Reader) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			break
		}
		c.echo(line)
	}
	c.driver.lockAtNow()
	defer c.driver.unlock()
	c.finish()
}

func (c *connection) echo(line string) {
	d := c.driver
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.world.Servers[c.server]
	if c.isEstablished && !c.isOver && s.IsServing() && !d.world.Network.IsBlocked(s.Locality, c.balancerLocality) {
		c.write(line)
	}
}

// parseOpenLine takes the id and the fields of an OPEN line.
func parseOpenLine(line string) (id string, fields map[string]string, ok bool) {
	words := strings.Fields(line)
	if len(words) != openLineWords || words[0] != "OPEN" {
		return "", nil, false
	}
	fields = map[string]string{}
	for _, field := range strings.Split(words[3], ",") {
		key, value, _ := strings.Cut(field, "=")
		fields[key] = value
	}
	return words[1], fields, true
}

func parseFlowID(text string) (simulation.FlowID, bool) {
	id, err := strconv.ParseInt(text, 16, 64)
	return simulation.FlowID(id), err == nil
}

// sent takes what a balancer sent: the line that opens a connection. Where its client has left meanwhile, the connection gets no id.
func (c *connection) sent(id string, fields map[string]string) {
	d := c.driver
	flow, ok := c.flowOf(id, fields)
	if !ok {
		return
	}
	c.flow = flow
	if client := d.clients[flow]; client != nil && !c.isForwarded {
		c.balancer = client.balancer
	}
	if _, isInitial := fields["at"]; isInitial {
		if conn, ok := d.awaitingEstablished[flow]; ok {
			c.id, c.isEstablished = conn, true
			return
		}
	}
	c.id = d.world.NewConnID()
	c.countConnect()
}

// flowOf finds the flow of an opening line. One of a client that the testbed did not start is a guest's.
func (c *connection) flowOf(id string, fields map[string]string) (flow simulation.FlowID, ok bool) {
	d := c.driver
	flow, isOurs := parseFlowID(id)
	if isOurs && d.world.Client(flow) != nil {
		return flow, true
	}
	if len(d.processes) > 0 && !c.isForwarded || d.isOver {
		return 0, false
	}
	if !c.isForwarded {
		return d.addGuest(fields), true
	}
	return flow, true
}

func (c *connection) countConnect() {
	d := c.driver
	s := d.world.Servers[c.server]
	d.Tally.Connects++
	d.Tally.ConnectedAt = append(d.Tally.ConnectedAt, d.now())
	if s.Locality != c.balancerLocality {
		d.Tally.Crossings++
	}
	e := c.event(invariants.ConnectSent)
	e.Zone, e.Cell = int(s.Locality), int(s.Cell)
	d.observe(e)
}

func (c *connection) event(kind invariants.Kind) invariants.Event {
	return invariants.Event{Kind: kind, Balancer: invariants.Balancer(c.balancer), Flow: invariants.Flow(c.flow),
		Connect: invariants.Connect(c.id), Server: invariants.Server(c.server)}
}

// arrive notes that the opening line has arrived at the server.
func (c *connection) arrive() {
	d := c.driver
	client := d.world.Client(c.flow)
	if d.isOver || client == nil && c.isForwarded { // its client left while the line was on its way
		c.id = 0
		return
	}
	d.connections[c.id] = c
	if c.isEstablished {
		c.write(fmt.Sprintf("UP %016x\r\n", int64(c.flow)))
		return
	}
	s := d.world.Servers[c.server]
	if s.StartedAt() != simulation.LongAgo && client != nil {
		e := c.event(invariants.ConnectArrived)
		e.StartedAt, e.Load, e.Capacity = s.StartedAt(), client.Load(), s.SlowStartRate()
		d.observe(e)
	}
	d.world.ArriveConnect(c.id, c.server, c.flow, c.balancerLocality)
}

// finish notes that the balancer ended the connection.
func (c *connection) finish() {
	if c.isOver {
		return
	}
	c.isOver = true
	d := c.driver
	delete(d.connections, c.id)
	if !d.isOver {
		d.world.CloseConnect(c.id)
	}
	if !c.isForwarded {
		c.observeEnd(true)
	}
}

// observeEnd tells the checker that the balancer knows of the connect's end.
func (c *connection) observeEnd(mayHaveRun bool) {
	e := c.event(invariants.ConnectEnded)
	e.MayHaveRun = mayHaveRun
	c.driver.observe(e)
}

func (c *connection) write(line string) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // it fails as the write does
	if _, err := c.conn.Write([]byte(line)); err != nil {
		_ = c.conn.Close() // its reader ends the rest
	}
}

func (c *connection) close(isReset bool) {
	if conn, ok := c.conn.(interface{ SetLinger(int) error }); ok && isReset {
		_ = conn.SetLinger(0) // it fails on a connection that has ended
	}
	_ = c.conn.Close()
}

// Establish tells a balancer, for the world, that its connection is established.
func (d *Driver) Establish(id simulation.ConnID) {
	c := d.connections[id]
	if c == nil || d.world.Network.IsBlocked(d.localityOf(c.server), c.balancerLocality) {
		return
	}
	c.isEstablished = true
	c.write(fmt.Sprintf("UP %d\r\n", id))
}

// lastLines tell a balancer why its connection ends.
var lastLines = map[simulation.EndReason]string{simulation.Full: "BUSY\r\n", simulation.Failed: "ERR it failed\r\n",
	simulation.MoveRequested: "MOVE\r\n", simulation.ServerStopped: "BYE\r\n"}

// EndConnect tells a balancer, for the world, that its connection is rejected or ends.
func (d *Driver) EndConnect(id simulation.ConnID, reason simulation.EndReason) {
	c := d.connections[id]
	if c == nil || c.isOver {
		return
	}
	if client := d.clients[c.flow]; client != nil && reason == simulation.MoveRequested {
		client.wasMovedByServer = true
	}
	if line := lastLines[reason]; line != "" {
		c.write(line)
	}
	c.isOver = true
	delete(d.connections, id)
	if !c.isForwarded {
		c.observeEnd(reason != simulation.Full)
	}
	c.close(reason == simulation.Dropped)
}

// ReportDelay tells each balancer on one of its connections how long a server's messages take.
func (d *Driver) ReportDelay(s simulation.ServerID, delay time.Duration) {
	reported := map[simulation.BalancerID]bool{}
	for _, id := range d.world.Servers[s].Connections() {
		c := d.connections[id]
		if c == nil || !c.isEstablished || reported[c.balancer] || d.world.Network.IsBlocked(d.localityOf(s), c.balancerLocality) {
			continue
		}
		reported[c.balancer] = true
		c.write(fmt.Sprintf("LOAD %.1f\r\n", float64(delay)/float64(time.Millisecond)))
	}
}

// addGuest adds a client that the testbed did not start, with the service and group of its line.
func (d *Driver) addGuest(fields map[string]string) simulation.FlowID {
	service := simulation.ServiceID(0)
	for i, s := range d.world.Services {
		if s.Name == fields["c"] {
			service = simulation.ServiceID(i)
		}
	}
	group := simulation.NoGroup
	if number, err := strconv.Atoi(strings.TrimPrefix(fields["g"], "g-")); err == nil {
		group = simulation.GroupID(number)
	}
	flow, _ := d.world.AddGuest(service, group)
	return flow
}

func (d *Driver) localityOf(s simulation.ServerID) simulation.LocalityID {
	return d.world.Servers[s].Locality
}
