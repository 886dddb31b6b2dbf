package sockets

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/world"
	"yardwinch/internal/yard/experiment"
	"yardwinch/internal/yard/referee"
)

const (
	longestLine = 4096
	writeWithin = 100 * time.Millisecond // a small line; a peer that reads nothing must not hold the world up
	readFirst   = 10 * time.Second
)

// standIn is one server on sockets: a door for each hall that balancers come from, as a network can be cut for one and
// not for the other.
type standIn struct {
	dr    *Drive
	id    world.ServerID
	doors []*door
}

// doorState names what a new connection meets.
type doorState int

const (
	shut doorState = iota // refused
	open
	hole // nothing comes back
)

type door struct {
	s     *standIn
	hall  world.HallID
	addr  string
	state doorState
	l     net.Listener
	fd    int // of a hole
	fill  []net.Conn
}

// Changed brings a server's doors to what the world says of it.
func (dr *Drive) Changed(id world.ServerID) {
	if dr.over {
		return
	}
	for len(dr.servers) <= int(id) {
		s := &standIn{dr: dr, id: world.ServerID(len(dr.servers))}
		for h := range dr.w.Halls {
			s.doors = append(s.doors, &door{s: s, hall: world.HallID(h), fd: -1})
		}
		dr.servers = append(dr.servers, s)
	}
	for _, d := range dr.servers[id].doors {
		if err := d.turn(dr.wants(d)); err != nil {
			dr.bad("stand-in server %s: %w", experiment.ServerName(id), err)
		}
	}
}

func (dr *Drive) wants(d *door) doorState {
	switch dr.w.Knock(d.hall, d.s.id) {
	case world.Refused:
		return shut
	case world.Silence:
		return hole
	}
	return open
}

// turn makes every change of a door's state.
func (d *door) turn(to doorState) error {
	if to == d.state && d.addr != "" {
		return nil
	}
	d.end()
	d.state = to
	at := d.addr
	if at == "" {
		// Not 127.0.0.1: connections that go out from there might take the port while the door is shut.
		at = fmt.Sprintf("127.77.%d.%d:0", int(d.s.id)/250, int(d.s.id)%250+1)
	}
	switch {
	case to == open || d.addr == "":
		l, err := listen(at)
		if err != nil {
			return err
		}
		d.addr = l.Addr().String()
		if to != open {
			_ = l.Close()
			return d.turn(to)
		}
		d.l = l
		d.s.dr.parts.Go(func() { d.accept(l) })
	case to == hole:
		return d.dig()
	}
	return nil
}

// listen tries for a moment: a port that was just closed may not be free yet.
func listen(at string) (l net.Listener, err error) {
	for range 50 {
		if l, err = net.Listen("tcp", at); err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(2 * time.Millisecond)
	}
	return l, err
}

// dig makes the door a hole: the place for connections not yet accepted is full, so that the system drops what comes
// and says nothing, as a machine that is gone does.
func (d *door) dig() error {
	a, err := net.ResolveTCPAddr("tcp4", d.addr)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	d.fd = fd
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	sa := &syscall.SockaddrInet4{Port: a.Port}
	copy(sa.Addr[:], a.IP.To4())
	if err := syscall.Bind(fd, sa); err != nil {
		return os.NewSyscallError("bind", err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return os.NewSyscallError("listen", err)
	}
	for range 2 {
		c, err := net.DialTimeout("tcp", d.addr, 5*time.Millisecond)
		if err != nil {
			break // full
		}
		d.fill = append(d.fill, c)
	}
	return nil
}

func (d *door) end() {
	if d.l != nil {
		_ = d.l.Close()
		d.l = nil
	}
	if d.fd >= 0 {
		_ = syscall.Close(d.fd)
		d.fd = -1
	}
	for _, c := range d.fill {
		_ = c.Close()
	}
	d.fill = nil
}

func (s *standIn) close() {
	for _, d := range s.doors {
		d.end()
		d.state = shut
	}
}

func (d *door) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || d.s.dr.ctx.Err() != nil {
				return
			}
			time.Sleep(5 * time.Millisecond) // short of descriptors
			continue
		}
		d.s.dr.parts.Go(func() { d.serve(c) })
	}
}

// served is one connection of a balancer to a stand-in.
type served struct {
	dr   *Drive
	conn net.Conn
	id   world.ConnID
	flow world.FlowID
	from world.HallID
	to   world.ServerID
	by   world.BalancerID
	done bool
	up   bool
}

// serve speaks the server's side of one connection.
func (d *door) serve(c net.Conn) {
	dr := d.s.dr
	defer c.Close()
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
		}
		_, _ = fmt.Fprintf(c, "%s\r\n", word) // whoever asked so may be gone
		return
	}
	x := &served{dr: dr, conn: c, from: d.hall, to: d.s.id}
	dr.enter()
	x.begin(id, fields)
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
		if s := dr.w.Servers[x.to]; x.up && !x.done && s.Alive() && !dr.w.Net.Blocked(dr.hall(x.to), x.from) {
			x.write(line)
		}
		dr.mu.Unlock()
	}
	dr.enter()
	x.over(true)
	dr.leave()
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

func flowID(text string) (world.FlowID, bool) {
	v, err := strconv.ParseInt(text, 16, 64)
	return world.FlowID(v), err == nil
}

func (x *served) begin(id string, fields map[string]string) {
	dr := x.dr
	f, ours := flowID(id)
	cl := dr.w.Client(f)
	if !ours || cl == nil {
		if len(dr.procs) > 0 || dr.over {
			return // a client that has gone meanwhile
		}
		f, cl = dr.guest(fields)
	}
	x.flow = f
	if c := dr.flows[f]; c != nil {
		x.by = c.to
	}
	if _, stands := fields["at"]; stands {
		if held, ok := dr.awaited[f]; ok {
			x.id, x.up = held, true
			dr.conns[held] = x
			x.write("UP " + id + "\r\n")
			return
		}
	}
	x.id = dr.w.NextConn()
	dr.conns[x.id] = x
	now := dr.now()
	s := dr.w.Servers[x.to]
	dr.Tally.Connects++
	dr.Tally.ConnectAt = append(dr.Tally.ConnectAt, now)
	if s.Hall != x.from {
		dr.Tally.Crossings++
	}
	dr.see(referee.Event{Kind: referee.Sent, Balancer: referee.Balancer(x.by), Flow: referee.Flow(f), Connect: referee.Connect(x.id),
		Server: referee.Server(x.to), Zone: int(s.Hall), Cell: int(s.Cell)})
	if s.Since() != world.LongAgo {
		dr.see(referee.Event{Kind: referee.Arrived, Balancer: referee.Balancer(x.by), Flow: referee.Flow(f), Connect: referee.Connect(x.id),
			Server: referee.Server(x.to), Since: s.Since(), Load: cl.Load(), Takes: s.TakesNow()})
	}
	dr.w.Arrive(x.id, x.to, f, x.from)
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
		dr.w.Closed(x.id)
	}
	dr.see(referee.Event{Kind: referee.ConnectOver, Balancer: referee.Balancer(x.by), Flow: referee.Flow(x.flow),
		Connect: referee.Connect(x.id), Ran: true})
}

func (x *served) write(line string) {
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := x.conn.Write([]byte(line)); err != nil {
		_ = x.conn.Close() // its reader ends the rest
	}
}

func (x *served) close(reset bool) {
	if t, ok := x.conn.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = x.conn.Close()
}

// Up, Turn: the world's word on a connection.
func (dr *Drive) Up(id world.ConnID) {
	x := dr.conns[id]
	if x == nil || dr.w.Net.Blocked(dr.hall(x.to), x.from) {
		return
	}
	x.up = true
	x.write(fmt.Sprintf("UP %d\r\n", id))
}

func (dr *Drive) Turn(id world.ConnID, how world.Refusal) {
	x := dr.conns[id]
	if x == nil || x.done {
		return
	}
	ran := true
	switch how {
	case world.Full:
		ran = false
		x.write("BUSY\r\n")
	case world.Failed:
		x.write("ERR it failed\r\n")
	case world.Sent:
		if c := dr.flows[x.flow]; c != nil {
			c.sentAway = true
		}
		x.write("MOVE\r\n")
	case world.Closed:
		x.write("BYE\r\n")
	}
	x.done = true
	delete(dr.conns, id)
	dr.see(referee.Event{Kind: referee.ConnectOver, Balancer: referee.Balancer(x.by), Flow: referee.Flow(x.flow),
		Connect: referee.Connect(x.id), Ran: ran})
	x.close(how == world.Dropped)
}

// Late tells one connection of each balancer.
func (dr *Drive) Late(s world.ServerID, delay time.Duration) {
	told := map[world.BalancerID]*served{}
	for _, id := range dr.w.Servers[s].Connections() {
		if x := dr.conns[id]; x != nil && x.up && told[x.by] == nil && !dr.w.Net.Blocked(dr.hall(s), x.from) {
			told[x.by] = x
			x.write(fmt.Sprintf("LOAD %.1f\r\n", float64(delay)/float64(time.Millisecond)))
		}
	}
}

// guest takes in a client that the yard did not start.
func (dr *Drive) guest(fields map[string]string) (world.FlowID, *world.Client) {
	service := world.ServiceID(0)
	for i, s := range dr.w.Services {
		if s.Name == fields["c"] {
			service = world.ServiceID(i)
		}
	}
	group := world.NoGroup
	if n, err := strconv.Atoi(strings.TrimPrefix(fields["g"], "g-")); err == nil {
		group = world.GroupID(n)
	}
	return dr.w.Guest(service, group)
}

func (dr *Drive) hall(s world.ServerID) world.HallID { return dr.w.Servers[s].Hall }
