package sockets

import (
	"fmt"
	"net"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/netfault"
)

const (
	addressesPerNetwork = 250 // number of addresses used in each /24 network of loopback
	serverNetwork       = "127.77"
)

// server is one stand-in server. It has a listener for each locality of balancers, because a partition may affect one locality and not
// another. With isolated balancers, it has a listener for each balancer.
type server struct {
	driver    *Driver
	id        simulation.ServerID
	listeners []*serverListener
}

type serverListener struct {
	*netfault.Listener
	server   *server
	locality simulation.LocalityID
	balancer simulation.BalancerID // the balancer that connects here; anyBalancer: each of the locality
}

const anyBalancer simulation.BalancerID = -1

// loopbackAddress returns an address with port 0 in a loopback network, a different one for each number. 127.0.0.1 is not used because
// outgoing connections use it as source: they might take the port while the listener is closed.
func loopbackAddress(network string, number int) string {
	return fmt.Sprintf("%s.%d.%d:0", network, number/addressesPerNetwork, number%addressesPerNetwork+1)
}

// ServerChanged implements simulation.Driver: it applies the state of a server and its network to the server's listeners.
func (d *Driver) ServerChanged(id simulation.ServerID) {
	if d.isOver {
		return
	}
	for len(d.servers) <= int(id) {
		d.servers = append(d.servers, newServer(d, simulation.ServerID(len(d.servers))))
	}
	for _, l := range d.servers[id].listeners {
		if err := l.SetState(d.ctx, d.listenerState(l), l.accept); err != nil {
			d.fail("stand-in server %s: %w", experiment.ServerName(id), err)
		}
	}
}

func newServer(d *Driver, id simulation.ServerID) *server {
	s := &server{driver: d, id: id}
	address := loopbackAddress(serverNetwork, int(id))
	if d.isolation == nil {
		for locality := range d.world.Localities {
			s.addListener(address, simulation.LocalityID(locality), anyBalancer)
		}
		return s
	}
	for _, b := range d.world.Balancers {
		s.addListener(address, b.Locality, b.ID)
	}
	return s
}

func (s *server) addListener(address string, locality simulation.LocalityID, balancer simulation.BalancerID) {
	s.listeners = append(s.listeners, &serverListener{netfault.NewListener(address), s, locality, balancer})
}

// listenerFor returns the listener at which a balancer reaches a server.
func (d *Driver) listenerFor(b simulation.BalancerID, s simulation.ServerID) *serverListener {
	if d.isolation != nil {
		return d.servers[s].listeners[b]
	}
	return d.servers[s].listeners[d.world.Balancers[b].Locality]
}

func (d *Driver) listenerState(l *serverListener) netfault.ListenerState {
	reach := d.world.Reachability(l.locality, l.server.id)
	isCut := l.balancer != anyBalancer && d.isolation.Network.IsCut(BalancerEndpoint(l.balancer), ServerEndpoint(l.server.id))
	switch {
	case reach == simulation.Unresponsive || isCut:
		return netfault.Unresponsive
	case reach == simulation.Refused:
		return netfault.Closed
	}
	return netfault.Open
}

func (s *server) close() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// accept serves the connections of an open listener until it is closed.
func (l *serverListener) accept(listener net.Listener) {
	netfault.Serve(listener, func(conn net.Conn) {
		if !l.server.driver.addWorker() {
			_ = conn.Close()
			return
		}
		defer l.server.driver.workers.Done()
		if l.balancer == anyBalancer {
			l.serve(conn, nil)
		} else {
			l.server.driver.forwardToServer(l, conn)
		}
	})
}

// addWorker adds a goroutine that Close waits for. It returns false once the run is over, as no goroutine may be added while Close waits.
func (d *Driver) addWorker() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isOver {
		return false
	}
	d.workers.Add(1)
	return true
}

// answerHealthCheck counts a health check and returns the answer: demand over capacity, plus the queueing delay.
func (l *serverListener) answerHealthCheck() string {
	d, id := l.server.driver, l.server.id
	d.lockAtNow()
	defer d.unlock()
	d.Counts.HealthChecks++
	d.Counts.HealthChecksAt[id] = append(d.Counts.HealthChecksAt[id], d.now())
	s := d.world.Servers[id]
	if !s.IsServing() {
		return "NO"
	}
	const minDivisor = 1e-9 // avoids a division by a capacity of 0
	return fmt.Sprintf("PONG x0=%.3f", s.Demand()/max(s.CurrentCapacity(), minDivisor)+s.QueueDelay())
}

// answerOther returns the answer to a first line other than OPEN.
func (l *serverListener) answerOther(line string) string {
	switch {
	case line == "STATS" && l.server.driver.day.Experiment.ServersReportLoad():
		return l.answerHealthCheck()
	case line == "PING" || line == "STATS":
		return "NO"
	default:
		return "SYNTAX"
	}
}
