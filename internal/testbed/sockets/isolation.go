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

// Isolation gives each balancer its own emulated network paths, so that faults can be injected between balancers, and lets the caller change
// how each balancer is started. Its functions are called with the driver locked.
type Isolation struct {
	Network        *netfault.Network
	ControlAddress func(simulation.BalancerID) string // of the interface for operators
	// Launch may change command before it is started, and returns the program with its arguments.
	Launch        func(b simulation.BalancerID, incarnation int, command *exec.Cmd) (program []string, err error)
	OnProcessExit func(simulation.BalancerID, error) // called when a process exits that the driver has not ended
	OnEvent       func(invariants.Event)             // called with each event that the checker observes
}

// Isolate sets the isolation of the balancers. Call it before Open.
func (d *Driver) Isolate(isolation *Isolation) { d.isolation = isolation }

// Endpoints of network paths, in addition to balancers and servers.
const (
	DiscoveryEndpoint netfault.Endpoint = "discovery" // the discovery services of all balancers
	OperatorEndpoint  netfault.Endpoint = "operator"  // caller of the balancers' control interface
)

// BalancerEndpoint returns the name of a balancer's endpoint.
func BalancerEndpoint(b simulation.BalancerID) netfault.Endpoint {
	return netfault.Endpoint("b" + strconv.Itoa(int(b)))
}

// ServerEndpoint returns the name of a server's endpoint.
func ServerEndpoint(s simulation.ServerID) netfault.Endpoint {
	return netfault.Endpoint(experiment.ServerName(s))
}

// WithLock calls a function with the driver locked, so that it may change the world and the processes. It does nothing once the run is
// over.
func (d *Driver) WithLock(do func()) {
	d.lockAtNow()
	defer d.unlock()
	if !d.isOver {
		do()
	}
}

// Elapsed returns the time of the run. Call it only with the driver locked: within WithLock or the functions of Isolation.
func (d *Driver) Elapsed() time.Duration { return d.now() }

// Address returns the address on which a balancer serves clients.
func (d *Driver) Address(b simulation.BalancerID) string { return d.processes[b].address }

// ProcessID returns the id of a balancer's process; 0 if it is not running or has been asked to stop.
func (d *Driver) ProcessID(b simulation.BalancerID) int {
	if p := d.processes[b]; p.command != nil && p.command.Process != nil && p.isUp {
		return p.command.Process.Pid
	}
	return 0
}

// UpdateListeners applies the current state of the network paths to the listeners of servers and discovery.
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

// forwardToServer forwards a balancer's connection to a server over the emulated path. Events are reported as seen at the balancer's end:
// data in transit counts as sent to the server, but not yet as received from it.
func (d *Driver) forwardToServer(l *serverListener, near net.Conn) {
	forwarded, serverEnd := netfault.Pipe()
	c := &connection{driver: d, balancerLocality: l.locality, server: l.server.id, balancer: l.balancer, isForwarded: true}
	observer := &pathObserver{connection: c}
	var serving sync.WaitGroup
	serving.Go(func() { l.serve(serverEnd, c) })
	d.isolation.Network.Forward(BalancerEndpoint(l.balancer), ServerEndpoint(l.server.id), near, forwarded, netfault.Tap{
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
	text, isFirst := o.request.add(bytes)
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
	if !d.processes[o.connection.balancer].isKilled { // the last data of a killed process may be read after its end was reported
		o.connection.registerConnect(id, fields)
	}
}

func (o *pathObserver) received(bytes []byte) {
	if text, isFirst := o.reply.add(bytes); isFirst && !strings.HasPrefix(text, "UP") {
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

// firstLine collects the first line of a stream.
type firstLine struct {
	text   []byte
	isOver bool
}

// add appends bytes, and returns the line once, when it is complete. A line that is too long is never returned.
func (l *firstLine) add(more []byte) (line string, isComplete bool) {
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

// startForwarding opens the listener that forwards the balancer's calls over the emulated path, and feeds the HTTP server from it.
func (s *discovery) startForwarding() error {
	s.forwardingListener = netfault.NewListener("127.0.0.1:0")
	s.listener = &channelListener{Listener: s.listener, conns: make(chan net.Conn), closed: make(chan struct{})}
	return s.updateListener()
}

// updateListener applies the current state of the path from the balancer to the forwarding listener.
func (s *discovery) updateListener() error {
	state := netfault.Open
	if s.driver.isolation.Network.IsCut(BalancerEndpoint(s.balancer), DiscoveryEndpoint) {
		state = netfault.Unresponsive
	}
	return s.forwardingListener.SetState(s.driver.ctx, state, func(l net.Listener) { netfault.Serve(l, s.forwardCall) })
}

// forwardCall forwards one call of the balancer. The received list is announced to the checker when it arrives at the balancer's end.
func (s *discovery) forwardCall(near net.Conn) {
	listener := s.listener.(*channelListener)
	forwarded, discoveryEnd := netfault.Pipe()
	select {
	case listener.conns <- discoveryEnd:
	case <-listener.closed:
		_ = near.Close()
		return
	}
	var pending []byte
	s.driver.isolation.Network.Forward(BalancerEndpoint(s.balancer), DiscoveryEndpoint, near, forwarded, netfault.Tap{Received: func(more []byte) {
		pending = s.observeLines(append(pending, more...))
	}})
}

// observeLines announces the servers in all complete lines of JSON, and returns the incomplete rest.
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

// observeLine announces the servers of one line of the list. A line that was corrupted in transit is ignored, as it is by the balancer.
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
	for readiness, phase := range phaseNames {
		if phase == m.Phase {
			entry.Readiness = simulation.Readiness(readiness)
		}
	}
	return entry, true
}

// channelListener is a listener whose Accept returns the connections sent to a channel.
type channelListener struct {
	net.Listener
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept waits for the next connection from the channel.
func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed, and closes the underlying listener.
func (l *channelListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
