package decide

import (
	"fmt"
	"testing"
	"time"
)

// A server that closes its connections seems the least loaded, but must not get new flows.
func TestServerThatClosesConnections(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 4)
	s.adopt("a", 9, "", 1)
	for server := ServerID(2); server <= 4; server++ {
		s.adopt(fmt.Sprint("r", server), 9, "", server)
	}
	for i := range 9 {
		s.balancer.OnEnded(FlowID(fmt.Sprint("a", i)), Full, sec, true)
	}
	for i := range 9 {
		s.request(FlowID(fmt.Sprint(i)), "", sec)
	}
	if s.attemptsTo[1] > 0 {
		t.Errorf("%d flows were sent to the server that closes its connections, want none", s.attemptsTo[1])
	}
	// All ends together cause one ejection, the shortest, as connections may close for another reason than a shutdown.
	s.setTime(baseEjectionTime)
	if got := s.request("later", "", sec); got != 1 {
		t.Errorf("after the ejection a flow went to server %d, want 1", got)
	}
}

// A server that fails fast has few open flows, but must not attract new ones.
func TestFastFailingServerAttractsFewFlows(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 4)
	for i := range 100 {
		s.setTime(time.Duration(i) * 50 * ms)
		id := FlowID(fmt.Sprint(i))
		s.request(id, "", sec)
		for s.targets[id] == 1 {
			s.balancer.OnEnded(id, Error, ms, false)
		}
		s.balancer.OnEstablished(id, 10*ms)
	}
	if s.attemptsTo[1] > 15 {
		t.Errorf("%d attempts at the failing server for 100 flows, want at most 15", s.attemptsTo[1])
	}
}

// The flows of an unreachable server are migrated, a share at a time.
func TestFlowsLeaveUnreachableServer(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 4)
	s.adopt("o", 16, "", 1)
	s.balancer.list.byID[1].consecutiveUnreachable = 2
	s.balancer.OnTimer(tickTimer)
	if n := s.countActions("move"); n != 3 {
		t.Errorf("%d migrations in one tick, want 3 of 16", n)
	}
}

// An unreachable server gets few attempts while the others are full, and begins slow start when it is reachable again.
func TestUnreachableServerReturnsInSlowStart(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
	s.adopt("o", 8, "", 2)
	s.balancer.reduceLimit(s.balancer.list.byID[2])
	for i := range 100 {
		s.setTime(time.Duration(i) * 20 * ms)
		id := FlowID(fmt.Sprint(i))
		s.request(id, "", sec)
		s.balancer.OnEnded(id, Unreachable, 10*ms, false)
	}
	if s.attemptsTo[1] > 5 {
		t.Errorf("%d attempts at an unreachable server, want at most 5", s.attemptsTo[1])
	}
	s.setTime(20 * sec)
	s.request("back", "", sec)
	s.balancer.OnEstablished("back", ms)
	if server := s.balancer.list.byID[1]; s.balancer.capacityShare(server) > 0.3 {
		t.Errorf("capacity share %v when the server answers again, want at most 0.3", s.balancer.capacityShare(server))
	}
}

// A report of a flow's load shows that its server is alive.
func TestFlowLoadShowsLiveness(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 4)
	for i := range 4 {
		s.adopt(fmt.Sprint("o", i), 4, "", ServerID(i+1))
	}
	s.balancer.list.byID[1].consecutiveUnreachable = 2
	s.balancer.OnFlowLoad("o03")
	s.balancer.OnTimer(tickTimer)
	s.expect("")
}

// While slow start is not configured, the number of balancers is unknown and no health checks are sent, even after the
// list has arrived.
func TestNoHealthChecksWithoutNumberOfBalancers(t *testing.T) {
	s := &harness{t: t, targets: map[FlowID]ServerID{}, attemptsTo: map[ServerID]int{}}
	s.balancer = New(7, s)
	s.balancer.ConfigureHealthChecks(true)
	s.balancer.OnTimer(tickTimer)
	s.updateList(CachedUpdate, Ready, 4)
	for i := range 40 {
		s.setTime(time.Duration(i+1) * tickInterval)
		s.balancer.OnTimer(tickTimer)
	}
	s.expect("")
}
