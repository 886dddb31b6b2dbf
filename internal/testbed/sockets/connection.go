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
	maxLineBytes       = 4096
	writeTimeout       = 100 * time.Millisecond // of a short line: a peer that does not read must not block the simulation
	firstLineTimeout   = 10 * time.Second
	openLineFieldCount = 4
)

// connection is one connection of a balancer to a stand-in server. Its mutable fields are guarded by the driver's mutex.
type connection struct {
	driver           *Driver
	balancer         simulation.BalancerID
	balancerLocality simulation.LocalityID
	server           simulation.ServerID
	isForwarded      bool // goes through an emulated network path, and is observed at the balancer's end of it

	conn          net.Conn
	id            simulation.ConnID // 0 until the opening line is sent, and if the client has left
	flow          simulation.FlowID
	isEstablished bool
	isOver        bool
}

// serve runs the server's side of one connection. c is nil unless the connection is forwarded: then a pathObserver registers it.
func (l *serverListener) serve(conn net.Conn, c *connection) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewReaderSize(conn, maxLineBytes)
	_ = conn.SetReadDeadline(time.Now().Add(firstLineTimeout)) // if it fails, so does the read
	line, err := lines.ReadString('\n')
	if err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	id, fields, isOpen := parseOpenLine(line)
	if !isOpen {
		_, _ = fmt.Fprintf(conn, "%s\r\n", l.answerOther(strings.TrimSpace(line))) // the peer may have disconnected
		return
	}
	if c == nil {
		c = &connection{driver: l.server.driver, balancerLocality: l.locality, server: l.server.id}
	}
	if c.handleOpenLine(conn, id, fields) {
		c.echoUntilEnd(lines)
	}
}

// handleOpenLine processes the opening line, and reports whether the connection stays open.
func (c *connection) handleOpenLine(conn net.Conn, id string, fields map[string]string) bool {
	c.driver.lockAtNow()
	defer c.driver.unlock()
	if !c.isForwarded {
		c.registerConnect(id, fields)
	}
	c.conn = conn
	if c.id != 0 {
		c.handleArrival()
	}
	return c.id != 0
}

// echoUntilEnd sends the client's lines back until the balancer closes the connection.
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

// parseOpenLine returns the id and the fields of an OPEN line.
func parseOpenLine(line string) (id string, fields map[string]string, ok bool) {
	words := strings.Fields(line)
	if len(words) != openLineFieldCount || words[0] != "OPEN" {
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

// registerConnect assigns the connection to its flow and gives it an id when the balancer has sent the opening line. If the client has
// left meanwhile, the connection gets no id.
func (c *connection) registerConnect(id string, fields map[string]string) {
	d := c.driver
	flow, ok := c.findFlow(id, fields)
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
	c.recordConnect()
}

// findFlow returns the flow of an opening line. If its client is not in the world, there are three cases: over an emulated path the client
// has left, and the flow is still returned; if the testbed runs no balancers, the client is added as an external one; otherwise the line
// is ignored.
func (c *connection) findFlow(id string, fields map[string]string) (flow simulation.FlowID, ok bool) {
	d := c.driver
	flow, isNumber := parseFlowID(id)
	if isNumber && d.world.Client(flow) != nil {
		return flow, true
	}
	if len(d.processes) > 0 && !c.isForwarded || d.isOver {
		return 0, false
	}
	if !c.isForwarded {
		return d.addExternalClient(fields), true
	}
	return flow, true
}

func (c *connection) recordConnect() {
	d := c.driver
	s := d.world.Servers[c.server]
	d.Counts.Connects++
	d.Counts.ConnectedAt = append(d.Counts.ConnectedAt, d.now())
	if s.Locality != c.balancerLocality {
		d.Counts.Crossings++
	}
	e := c.event(invariants.ConnectSent)
	e.Zone, e.Cell = int(s.Locality), int(s.Cell)
	d.observe(e)
}

func (c *connection) event(kind invariants.Kind) invariants.Event {
	return invariants.Event{Kind: kind, Balancer: invariants.Balancer(c.balancer), Flow: invariants.Flow(c.flow),
		Connect: invariants.Connect(c.id), Server: invariants.Server(c.server)}
}

// handleArrival processes the arrival of the opening line at the server.
func (c *connection) handleArrival() {
	d := c.driver
	client := d.world.Client(c.flow)
	if d.isOver || client == nil && c.isForwarded { // the client left while the line was in transit
		c.id = 0
		return
	}
	d.connections[c.id] = c
	if c.isEstablished {
		c.write(fmt.Sprintf("UP %016x\r\n", int64(c.flow))) // as in Establish, nothing reads the argument
		return
	}
	s := d.world.Servers[c.server]
	if s.StartedAt() != simulation.LongAgo && client != nil {
		e := c.event(invariants.ConnectArrived)
		e.StartedAt, e.Load, e.Capacity = s.StartedAt(), client.Load(), s.SlowStartRate()
		d.observe(e)
	}
	d.world.DeliverConnect(c.id, c.server, c.flow, c.balancerLocality)
}

// finish cleans up after the balancer has closed the connection.
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

// observeEnd reports to the checker that the connect has ended as seen by the balancer.
func (c *connection) observeEnd(mayHaveRun bool) {
	e := c.event(invariants.ConnectEnded)
	e.MayHaveRun = mayHaveRun
	c.driver.observe(e)
}

func (c *connection) write(line string) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // if it fails, so does the write
	if _, err := c.conn.Write([]byte(line)); err != nil {
		_ = c.conn.Close() // unblocks the reading goroutine, which does the cleanup
	}
}

func (c *connection) close(isReset bool) {
	if conn, ok := c.conn.(interface{ SetLinger(int) error }); ok && isReset {
		_ = conn.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.conn.Close()
}

// Establish implements simulation.Driver: it tells a balancer that its connection is established.
func (d *Driver) Establish(id simulation.ConnID) {
	c := d.connections[id]
	if c == nil || d.world.Network.IsBlocked(d.localityOf(c.server), c.balancerLocality) {
		return
	}
	c.isEstablished = true
	c.write(fmt.Sprintf("UP %d\r\n", id)) // balancers relay the argument, and the testbed's clients ignore it
}

// closingLines are sent to a balancer before its connection is closed. For a reason that is not listed, no line is sent.
var closingLines = map[simulation.EndReason]string{simulation.Full: "BUSY\r\n", simulation.Failed: "ERR it failed\r\n",
	simulation.MigrationRequested: "MOVE\r\n", simulation.ServerStopped: "BYE\r\n"}

// EndConnect implements simulation.Driver: it tells a balancer that its connection is rejected or ends.
func (d *Driver) EndConnect(id simulation.ConnID, reason simulation.EndReason) {
	c := d.connections[id]
	if c == nil || c.isOver {
		return
	}
	if client := d.clients[c.flow]; client != nil && reason == simulation.MigrationRequested {
		client.serverRequestedMigration = true
	}
	if line := closingLines[reason]; line != "" {
		c.write(line)
	}
	c.isOver = true
	delete(d.connections, id)
	if !c.isForwarded {
		c.observeEnd(reason != simulation.Full)
	}
	c.close(reason == simulation.Dropped)
}

// ReportDelay sends a server's message delay to each balancer, over one of the balancer's established connections.
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

// addExternalClient adds a client that the testbed did not start, with the service and group named in its opening line.
func (d *Driver) addExternalClient(fields map[string]string) simulation.FlowID {
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
	flow, _ := d.world.AddExternalClient(service, group)
	return flow
}

func (d *Driver) localityOf(s simulation.ServerID) simulation.LocalityID {
	return d.world.Servers[s].Locality
}
