package sockets

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/netfault"
)

// Isolation gives each balancer network paths, options and a directory of its own, so that faults can strike between them. Its functions
// are called with the driver locked.
type Isolation struct {
	Network        *netfault.Network
	ControlAddress func(simulation.BalancerID) string // where a balancer takes the operators' calls
	// Launch changes how a process is started, and returns the program with its arguments.
	Launch  func(b simulation.BalancerID, incarnation int, command *exec.Cmd) (program []string, err error)
	Ended   func(simulation.BalancerID, error) // a process ended that nobody ended
	Observe func(invariants.Event)             // gets each event that the checker gets
}

// Isolate is called before Open.
func (d *Driver) Isolate(isolation *Isolation) { d.isolation = isolation }

// Endpoints of network paths, beside balancers and servers.
const (
	Discovery netfault.Endpoint = "discovery" // of all balancers
	Operator  netfault.Endpoint = "operator"  // who calls the balancers
)

// BalancerName is a balancer's endpoint.
func BalancerName(b simulation.BalancerID) netfault.Endpoint {
	return netfault.Endpoint("b" + strconv.Itoa(int(b)))
}

// ServerName is a server's endpoint.
func ServerName(s simulation.ServerID) netfault.Endpoint {
	return netfault.Endpoint(experiment.ServerName(s))
}

// Do does something to the world and the processes between two events, unless the run is over.
func (d *Driver) Do(do func()) {
	d.lockAtNow()
	defer d.unlock()
	if !d.isOver {
		do()
	}
}

// Elapsed is the time of the run, for callers inside of Do and of the functions of Isolation.
func (d *Driver) Elapsed() time.Duration { return d.now() }

// Address is where a balancer serves clients.
func (d *Driver) Address(b simulation.BalancerID) string { return d.processes[b].address }

// Process is the id of a balancer's process; 0 where none runs.
func (d *Driver) Process(b simulation.BalancerID) int {
	if p := d.processes[b]; p.command != nil && p.command.Process != nil && p.isUp {
		return p.command.Process.Pid
	}
	return 0
}

// UpdateListeners brings what new connections meet to what the network's paths are now.
func (d *Driver) UpdateListeners() {
	for s := range d.servers {
		d.ServerChanged(simulation.ServerID(s))
	}
	for _, discovery := range d.discoveries {
		if err := discovery.updateListener(); err != nil {
			d.fail("discovery: %w", err)
		}
	}
}

// forwardToServer takes a balancer's connection to a server over its path. The checker is told what the balancer's end sees: what is on its
// way has been sent, and what has not arrived has not been received.
func (d *Driver) forwardToServer(l *serverListener, near net.Conn) {
	forwarded, serverEnd := netfault.Pipe()
	c := &connection{driver: d, balancerLocality: l.locality, server: l.server.id, balancer: l.balancer, isForwarded: true}
	observer := &pathObserver{connection: c}
	var serving sync.WaitGroup
	serving.Go(func() { l.serve(serverEnd, c) })
	d.isolation.Network.Forward(BalancerName(l.balancer), ServerName(l.server.id), near, forwarded, netfault.Tap{
		Sent:     observer.sent,
		Received: observer.received,
		Closed:   observer.closed,
	})
	serving.Wait()
}

// pathObserver observes a connection at its balancer's end.
type pathObserver struct {
	connection     *connection
	request, reply firstLine
	isEndObserved  bool // guarded by the driver's mutex
}

func (o *pathObserver) sent(bytes []byte) {
	text, isFirst := o.request.take(bytes)
	if !isFirst {
		return
	}
	id, fields, ok := parseOpenLine(text)
	if !ok {
		return
	}
	d := o.connection.driver
	d.lockAtNow()
	defer d.unlock()
	if !d.processes[o.connection.balancer].isKilled { // what a killed process wrote last arrives late, and is not from a process that runs
		o.connection.sent(id, fields)
	}
}

func (o *pathObserver) received(bytes []byte) {
	if text, isFirst := o.reply.take(bytes); isFirst && !strings.HasPrefix(text, "UP") {
		o.observeEnd(!strings.HasPrefix(text, "BUSY"))
	}
}

func (o *pathObserver) closed() { o.observeEnd(true) }

func (o *pathObserver) observeEnd(mayHaveRun bool) {
	d := o.connection.driver
	d.lockAtNow()
	defer d.unlock()
	if o.connection.id != 0 && !o.isEndObserved {
		o.isEndObserved = true
		o.connection.observeEnd(mayHaveRun)
	}
}

// firstLine gathers a stream's first line.
type firstLine struct {
	text   []byte
	isOver bool
}

// take adds bytes, and returns the line when it is complete. A line that is too long is none.
func (l *firstLine) take(more []byte) (line string, isComplete bool) {
	if l.isOver {
		return "", false
	}
	l.text = append(l.text, more...)
	end := bytes.IndexByte(l.text, '\n')
	l.isOver = end >= 0 || len(l.text) > maxLineBytes
	if end < 0 {
		return "", false
	}
	return string(l.text[:end+1]), true
}

// forward has discovery's balancer call it over its path.
func (s *discovery) forward() error {
	s.forwarded = netfault.NewListener("127.0.0.1:0")
	s.listener = &handoverListener{Listener: s.listener, conns: make(chan net.Conn), closed: make(chan struct{})}
	return s.updateListener()
}

// updateListener opens or silences discovery's address as its balancer's path to it is now.
func (s *discovery) updateListener() error {
	state := netfault.Open
	if s.driver.isolation.Network.IsCut(BalancerName(s.balancer), Discovery) {
		state = netfault.Unresponsive
	}
	return s.forwarded.Transition(s.driver.ctx, state, func(l net.Listener) { netfault.Serve(l, s.forwardCall) })
}

// forwardCall takes its balancer's call. What the list says is announced when it has arrived at the balancer's end.
func (s *discovery) forwardCall(near net.Conn) {
	listener := s.listener.(*handoverListener)
	forwarded, discoveryEnd := netfault.Pipe()
	select {
	case listener.conns <- discoveryEnd:
	case <-listener.closed:
		_ = near.Close()
		return
	}
	var pending []byte
	s.driver.isolation.Network.Forward(BalancerName(s.balancer), Discovery, near, forwarded, netfault.Tap{Received: func(more []byte) {
		pending = s.observeLines(append(pending, more...))
	}})
}

// observeLines announces what complete lines of JSON say, and returns the incomplete line after them.
func (s *discovery) observeLines(text []byte) (incomplete []byte) {
	for {
		line, remaining, isComplete := bytes.Cut(text, []byte("\n"))
		if !isComplete {
			return text
		}
		if len(line) > 0 && line[0] == '{' {
			s.observeLine(line)
		}
		text = remaining
	}
}

// observeLine announces what a line of the list told the balancer. A line that was corrupted on the way is none to the balancer either.
func (s *discovery) observeLine(text []byte) {
	var list struct {
		Members []listedMember `json:"members"`
	}
	if json.Unmarshal(text, &list) != nil {
		return
	}
	s.driver.lockAtNow()
	defer s.driver.unlock()
	var entries []simulation.Entry
	for _, m := range list.Members {
		if entry, ok := s.entryOf(m); ok {
			entries = append(entries, entry)
		}
	}
	s.announce(entries)
}

// listedMember is a server as discovery writes it.
type listedMember struct {
	ID        string `json:"id"`
	Phase     string `json:"phase"`
	UpSinceMS int64  `json:"up_since_ms"`
}

func (s *discovery) entryOf(m listedMember) (entry simulation.Entry, ok bool) {
	var number int
	if _, err := fmt.Sscanf(m.ID, "s-%d", &number); err != nil {
		return entry, false
	}
	entry = simulation.Entry{Server: simulation.ServerID(number), StartedAt: simulation.LongAgo}
	if startedAt, known := s.startTimes[m.UpSinceMS]; known {
		entry.StartedAt = startedAt
	}
	for readiness, phase := range phases {
		if phase == m.Phase {
			entry.Readiness = simulation.Readiness(readiness)
		}
	}
	return entry, true
}

// handoverListener is a listener that is handed its connections.
type handoverListener struct {
	net.Listener
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept waits for the next connection that is handed over.
func (l *handoverListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *handoverListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
