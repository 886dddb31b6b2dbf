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

// Apart is what changes where each process has ways, options and a folder of its own, and faults strike between them. All of it is
// called with the drive locked.
type Apart struct {
	Net     *netfault.Network
	Control func(simulation.BalancerID) string // where a balancer takes the staff's calls
	// Launch changes how a process is started, and tells the program with its arguments.
	Launch func(b simulation.BalancerID, life int, cmd *exec.Cmd) (program []string, err error)
	Ended  func(simulation.BalancerID, error) // a process ended that nobody ended
	See    func(invariants.Event)             // hears of all that the referee hears
}

// StandApart is called before Open.
func (dr *Drive) StandApart(a *Apart) { dr.apart = a }

// Names of the ends of network paths.
const (
	Discovery netfault.Endpoint = "discovery"
	Operator  netfault.Endpoint = "operator"
)

// BalancerName is the near end of a balancer's ways.
func BalancerName(b simulation.BalancerID) netfault.Endpoint {
	return netfault.Endpoint("b" + strconv.Itoa(int(b)))
}

// ServerName is the far end of a server's ways.
func ServerName(s simulation.ServerID) netfault.Endpoint {
	return netfault.Endpoint(experiment.ServerName(s))
}

// Do does something to the world and the processes between two events.
func (dr *Drive) Do(do func()) {
	dr.enter()
	defer dr.leave()
	if !dr.over {
		do()
	}
}

// Elapsed is the time of the run, for those who hold it locked.
func (dr *Drive) Elapsed() time.Duration { return dr.now() }

// Address is where a balancer serves clients.
func (dr *Drive) Address(b simulation.BalancerID) string { return dr.procs[b].addr }

// Process is the id of a balancer's process; 0 where none runs.
func (dr *Drive) Process(b simulation.BalancerID) int {
	if p := dr.procs[b]; p.cmd != nil && p.cmd.Process != nil && p.up {
		return p.cmd.Process.Pid
	}
	return 0
}

// Doors brings what new connections meet to what the ways are now.
func (dr *Drive) Doors() {
	for s := range dr.servers {
		dr.ServerChanged(simulation.ServerID(s))
	}
	for _, a := range dr.agents {
		if err := a.door(); err != nil {
			dr.bad("discovery: %w", err)
		}
	}
}

// led takes a balancer's connection to a server over its way. The referee looks at the balancer's end: what is on its way has been
// sent, and what has not come yet has not been told.
func (dr *Drive) led(d *door, near net.Conn) {
	innerEnd, outerEnd := netfault.Pipe()
	x := &served{dr: dr, from: d.hall, to: d.s.id, by: d.by, led: true}
	var sent, told line
	heard := false // under the drive's lock
	hear := func(ran bool) {
		if x.id != 0 && !heard {
			heard = true
			x.heard(ran)
		}
	}
	var parts sync.WaitGroup
	parts.Go(func() { d.serve(outerEnd, x) })
	dr.apart.Net.Forward(BalancerName(d.by), ServerName(d.s.id), near, innerEnd, netfault.Tap{
		Sent: func(b []byte) {
			if text, ok := sent.first(b); ok {
				if id, fields, ok := openLine(text); ok {
					dr.enter()
					if !dr.procs[d.by].killed { // what a killed process wrote last comes late, and is no word of a process that runs
						x.sent(id, fields)
					}
					dr.leave()
				}
			}
		},
		Received: func(b []byte) {
			if text, ok := told.first(b); ok && !strings.HasPrefix(text, "UP") {
				dr.enter()
				hear(!strings.HasPrefix(text, "BUSY"))
				dr.leave()
			}
		},
		Closed: func() {
			dr.enter()
			hear(true)
			dr.leave()
		}})
	parts.Wait()
}

// line gathers a stream's first line.
type line struct {
	text []byte
	done bool
}

func (l *line) first(b []byte) (string, bool) {
	if l.done {
		return "", false
	}
	l.text = append(l.text, b...)
	i := bytes.IndexByte(l.text, '\n')
	if l.done = i >= 0 || len(l.text) > longestLine; i < 0 {
		return "", false
	}
	return string(l.text[:i+1]), true
}

// lead has the agent's balancer come over a way.
func (a *agent) lead() error {
	a.gate = netfault.NewListener("127.0.0.1:0")
	a.l = &handed{Listener: a.l, conns: make(chan net.Conn), over: make(chan struct{})}
	return a.door()
}

func (a *agent) door() error {
	to := netfault.Open
	if a.dr.apart.Net.IsCut(BalancerName(a.balancer), Discovery) {
		to = netfault.Unresponsive
	}
	return a.gate.Transition(a.dr.ctx, to, func(l net.Listener) { netfault.Serve(l, a.led) })
}

// led takes its balancer's call. What the list says is told when it has come to the balancer's end.
func (a *agent) led(near net.Conn) {
	h := a.l.(*handed)
	innerEnd, outerEnd := netfault.Pipe()
	select {
	case h.conns <- outerEnd:
	case <-h.over:
		_ = near.Close()
		return
	}
	var rest []byte
	a.dr.apart.Net.Forward(BalancerName(a.balancer), Discovery, near, innerEnd, netfault.Tap{Received: func(b []byte) {
		rest = append(rest, b...)
		for {
			i := bytes.IndexByte(rest, '\n')
			if i < 0 {
				return
			}
			if l := rest[:i]; len(l) > 0 && l[0] == '{' {
				a.read(l)
			}
			rest = rest[i+1:]
		}
	}})
}

// read books what a line of the list told the balancer.
func (a *agent) read(text []byte) {
	var list struct {
		Members []struct {
			ID      string `json:"id"`
			Phase   string `json:"phase"`
			UpSince int64  `json:"up_since_ms"`
		} `json:"members"`
	}
	if json.Unmarshal(text, &list) != nil {
		return // spoilt on the way: the balancer reads nothing of it either
	}
	a.dr.enter()
	defer a.dr.leave()
	var entries []simulation.Entry
	for _, m := range list.Members {
		var n int
		if _, err := fmt.Sscanf(m.ID, "s-%d", &n); err != nil {
			continue
		}
		e := simulation.Entry{Server: simulation.ServerID(n), StartedAt: simulation.LongAgo}
		if s, ok := a.sinces[m.UpSince]; ok {
			e.StartedAt = s
		}
		e.Readiness = map[string]simulation.Readiness{"SERVING": simulation.Ready, "DRAINING": simulation.Draining}[m.Phase]
		if m.Phase == "DELETED" {
			e.Readiness = simulation.Gone
		}
		entries = append(entries, e)
	}
	a.book(entries)
}

// handed is a listener that is handed its connections.
type handed struct {
	net.Listener
	conns chan net.Conn
	once  sync.Once
	over  chan struct{}
}

func (h *handed) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.over:
		return nil, net.ErrClosed
	}
}

func (h *handed) Close() error {
	h.once.Do(func() { close(h.over) })
	return h.Listener.Close()
}
