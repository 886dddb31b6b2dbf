package sockets

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/netfault"
)

const (
	longestLine = 4096
	writeWithin = 100 * time.Millisecond // a small line; a peer that reads nothing must not hold the world up
	readFirst   = 10 * time.Second
)

// standIn is one server on sockets: a door for each hall that balancers come from, as a network can be cut for one and
// not for the other; where each balancer has ways of its own, a door for each balancer.
type standIn struct {
	dr    *Drive
	id    simulation.ServerID
	doors []*door
}

type door struct {
	*netfault.Listener
	s    *standIn
	hall simulation.LocalityID
	by   simulation.BalancerID // who comes in here; nobody: all of the hall
}

const nobody simulation.BalancerID = -1

// ServerChanged brings a server's doors to what the world says of it.
func (dr *Drive) ServerChanged(id simulation.ServerID) {
	if dr.over {
		return
	}
	for len(dr.servers) <= int(id) {
		s := &standIn{dr: dr, id: simulation.ServerID(len(dr.servers))}
		// Not 127.0.0.1: connections that go out from there might take the port while the door is shut.
		at := fmt.Sprintf("127.77.%d.%d:0", int(s.id)/250, int(s.id)%250+1)
		if dr.apart == nil {
			for h := range dr.w.Localities {
				s.doors = append(s.doors, &door{netfault.NewListener(at), s, simulation.LocalityID(h), nobody})
			}
		} else {
			for _, b := range dr.w.Balancers {
				s.doors = append(s.doors, &door{netfault.NewListener(at), s, b.Locality, b.ID})
			}
		}
		dr.servers = append(dr.servers, s)
	}
	for _, d := range dr.servers[id].doors {
		if err := d.Transition(dr.ctx, dr.wants(d), d.accept); err != nil {
			dr.bad("stand-in server %s: %w", experiment.ServerName(id), err)
		}
	}
}

// door is where a balancer reaches a server.
func (dr *Drive) door(b simulation.BalancerID, s simulation.ServerID) *door {
	if dr.apart != nil {
		return dr.servers[s].doors[b]
	}
	return dr.servers[s].doors[dr.w.Balancers[b].Locality]
}

func (dr *Drive) wants(d *door) netfault.ListenerState {
	reach := dr.w.Reach(d.hall, d.s.id)
	switch {
	case reach == simulation.Unresponsive || d.by != nobody && dr.apart.Net.IsCut(BalancerName(d.by), ServerName(d.s.id)):
		return netfault.Unresponsive
	case reach == simulation.Refused:
		return netfault.Closed
	}
	return netfault.Open
}

func (s *standIn) close() {
	for _, d := range s.doors {
		d.Close()
	}
}

func (d *door) accept(l net.Listener) {
	netfault.Serve(l, func(c net.Conn) {
		// Close waits for all parts, so that none may begin once it has.
		d.s.dr.mu.Lock()
		over := d.s.dr.over
		if !over {
			d.s.dr.parts.Add(1)
		}
		d.s.dr.mu.Unlock()
		if over {
			_ = c.Close()
			return
		}
		defer d.s.dr.parts.Done()
		if d.by == nobody {
			d.serve(c, nil)
		} else {
			d.s.dr.led(d, c)
		}
	})
}

// served is one connection of a balancer to a stand-in.
type served struct {
	dr   *Drive
	conn net.Conn
	id   simulation.ConnID
	flow simulation.FlowID
	from simulation.LocalityID
	to   simulation.ServerID
	by   simulation.BalancerID
	done bool
	up   bool
	led  bool // over a way of its own, at whose near end the referee looks
}

// serve speaks the server's side of one connection. x is it where its beginning was seen on the way already.
func (d *door) serve(c net.Conn, x *served) {
	dr := d.s.dr
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, longestLine)
	_ = c.SetReadDeadline(time.Now().Add(readFirst))
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	id, fields, ok := openLine(line)
	if !ok {
		word := "SYNTAX"
		if line = strings.TrimSpace(line); line == "PING" || line == "STATS" {
			word = "NO"
			if line == "STATS" && dr.d.Experiment.Probes() {
				word = d.report()
			}
		}
		_, _ = fmt.Fprintf(c, "%s\r\n", word) // whoever asked so may be gone
		return
	}
	dr.enter()
	if x == nil {
		x = &served{dr: dr, from: d.hall, to: d.s.id}
		x.sent(id, fields)
	}
	x.conn = c
	if x.id != 0 {
		x.arrive()
	}
	dr.leave()
	if x.id == 0 {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		dr.mu.Lock()
		if s := dr.w.Servers[x.to]; x.up && !x.done && s.IsServing() && !dr.w.Network.IsBlocked(dr.hall(x.to), x.from) {
			x.write(line)
		}
		dr.mu.Unlock()
	}
	dr.enter()
	x.over(true)
	dr.leave()
}

// report answers a probe: load over capacity, with what waits. It is counted.
func (d *door) report() string {
	dr := d.s.dr
	dr.enter()
	defer dr.leave()
	dr.Tally.Probes++
	dr.Tally.ProbedAt[d.s.id] = append(dr.Tally.ProbedAt[d.s.id], dr.now())
	s := dr.w.Servers[d.s.id]
	if !s.IsServing() {
		return "NO"
	}
	return fmt.Sprintf("PONG x0=%.3f", s.Demand()/max(s.CurrentCapacity(), 1e-9)+s.QueueDelay())
}

// openLine takes the id and the names of an OPEN line.
func openLine(line string) (id string, fields map[string]string, ok bool) {
	p := strings.Fields(line)
	if len(p) != 4 || p[0] != "OPEN" {
		return "", nil, false
	}
	fields = map[string]string{}
	for _, f := range strings.Split(p[3], ",") {
		k, v, _ := strings.Cut(f, "=")
		fields[k] = v
	}
	return p[1], fields, true
}

func flowID(text string) (simulation.FlowID, bool) {
	v, err := strconv.ParseInt(text, 16, 64)
	return simulation.FlowID(v), err == nil
}

// sent books what a balancer sent: the line that opens a connection. A client that has gone meanwhile leaves the id at nought.
func (x *served) sent(id string, fields map[string]string) {
	dr := x.dr
	f, ours := flowID(id)
	cl := dr.w.Client(f)
	if !ours || cl == nil {
		if len(dr.procs) > 0 && !x.led || dr.over {
			return
		}
		if !x.led {
			f, _ = dr.guest(fields)
		}
	}
	x.flow = f
	if c := dr.flows[f]; c != nil && !x.led {
		x.by = c.to
	}
	if _, stands := fields["at"]; stands {
		if held, ok := dr.awaited[f]; ok {
			x.id, x.up = held, true
			return
		}
	}
	x.id = dr.w.NewConnID()
	now := dr.now()
	s := dr.w.Servers[x.to]
	dr.Tally.Connects++
	dr.Tally.ConnectAt = append(dr.Tally.ConnectAt, now)
	if s.Locality != x.from {
		dr.Tally.Crossings++
	}
	dr.see(invariants.Event{Kind: invariants.ConnectSent, Balancer: invariants.Balancer(x.by), Flow: invariants.Flow(f), Connect: invariants.Connect(x.id),
		Server: invariants.Server(x.to), Zone: int(s.Locality), Cell: int(s.Cell)})
}

// arrive: the line has come to the server.
func (x *served) arrive() {
	dr := x.dr
	cl := dr.w.Client(x.flow)
	if dr.over || cl == nil && x.led { // its client has gone while it was on its way
		x.id = 0
		return
	}
	dr.conns[x.id] = x
	if x.up {
		x.write(fmt.Sprintf("UP %016x\r\n", int64(x.flow)))
		return
	}
	s := dr.w.Servers[x.to]
	if s.StartedAt() != simulation.LongAgo && cl != nil {
		dr.see(invariants.Event{Kind: invariants.ConnectArrived, Balancer: invariants.Balancer(x.by), Flow: invariants.Flow(x.flow), Connect: invariants.Connect(x.id),
			Server: invariants.Server(x.to), StartedAt: s.StartedAt(), Load: cl.Load(), Capacity: s.SlowStartRate()})
	}
	dr.w.ArriveConnect(x.id, x.to, x.flow, x.from)
}

// over ends the connection's books; closed says that the balancer ended it.
func (x *served) over(closed bool) {
	if x.done {
		return
	}
	x.done = true
	dr := x.dr
	delete(dr.conns, x.id)
	if closed && !dr.over {
		dr.w.CloseConnect(x.id)
	}
	if !x.led {
		x.heard(true)
	}
}

// heard: the balancer knows that the connect is over.
func (x *served) heard(ran bool) {
	x.dr.see(invariants.Event{Kind: invariants.ConnectEnded, Balancer: invariants.Balancer(x.by), Flow: invariants.Flow(x.flow),
		Connect: invariants.Connect(x.id), MayHaveRun: ran})
}

func (x *served) write(line string) {
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := x.conn.Write([]byte(line)); err != nil {
		_ = x.conn.Close() // its reader ends the rest
	}
}

func (x *served) close(reset bool) {
	if t, ok := x.conn.(interface{ SetLinger(int) error }); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = x.conn.Close()
}

// Establish says that a connection stands, by the world's word.
func (dr *Drive) Establish(id simulation.ConnID) {
	x := dr.conns[id]
	if x == nil || dr.w.Network.IsBlocked(dr.hall(x.to), x.from) {
		return
	}
	x.up = true
	x.write(fmt.Sprintf("UP %d\r\n", id))
}

// EndConnect tells a balancer, by the world's word, that its connection to a server is refused or ends.
func (dr *Drive) EndConnect(id simulation.ConnID, how simulation.EndReason) {
	x := dr.conns[id]
	if x == nil || x.done {
		return
	}
	ran := true
	switch how {
	case simulation.Full:
		ran = false
		x.write("BUSY\r\n")
	case simulation.Failed:
		x.write("ERR it failed\r\n")
	case simulation.MoveRequested:
		if c := dr.flows[x.flow]; c != nil {
			c.sentAway = true
		}
		x.write("MOVE\r\n")
	case simulation.ServerStopped:
		x.write("BYE\r\n")
	}
	x.done = true
	delete(dr.conns, id)
	if !x.led {
		x.heard(ran)
	}
	x.close(how == simulation.Dropped)
}

// ReportDelay tells one connection of each balancer.
func (dr *Drive) ReportDelay(s simulation.ServerID, delay time.Duration) {
	told := map[simulation.BalancerID]*served{}
	for _, id := range dr.w.Servers[s].Connections() {
		if x := dr.conns[id]; x != nil && x.up && told[x.by] == nil && !dr.w.Network.IsBlocked(dr.hall(s), x.from) {
			told[x.by] = x
			x.write(fmt.Sprintf("LOAD %.1f\r\n", float64(delay)/float64(time.Millisecond)))
		}
	}
}

// guest takes in a client that the yard did not start.
func (dr *Drive) guest(fields map[string]string) (simulation.FlowID, *simulation.Client) {
	service := simulation.ServiceID(0)
	for i, s := range dr.w.Services {
		if s.Name == fields["c"] {
			service = simulation.ServiceID(i)
		}
	}
	group := simulation.NoGroup
	if n, err := strconv.Atoi(strings.TrimPrefix(fields["g"], "g-")); err == nil {
		group = simulation.GroupID(n)
	}
	return dr.w.AddGuest(service, group)
}

func (dr *Drive) hall(s simulation.ServerID) simulation.LocalityID { return dr.w.Servers[s].Locality }
