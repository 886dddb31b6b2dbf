package decide

import (
	"fmt"
	"testing"
	"time"
)

func TestEndpointUpdates(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *harness)
	}{
		{"draining", func(s *harness) { s.updateServer(1, Draining, LongAgo) }},
		{"gone", func(s *harness) { s.updateServer(1, Gone, LongAgo) }},
		{"missing from a full list", func(s *harness) {
			s.balancer.BeginEndpoints(FullUpdate)
			s.listServer(2, Ready, LongAgo)
			s.balancer.EndEndpoints()
		}},
		{"still gone after a failed update", func(s *harness) {
			s.updateServer(1, Gone, LongAgo)
			s.balancer.BeginEndpoints(FailedUpdate)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
			c.do(s)
			for i := range 20 {
				s.request(FlowID(fmt.Sprint(i)), "g", sec)
			}
			if s.attemptsTo[1] > 0 {
				t.Errorf("%d attempts at a server that is out of service, want none", s.attemptsTo[1])
			}
		})
	}
	t.Run("polled again after a failure", func(t *testing.T) {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
		s.balancer.ConfigureEndpoints(EndpointSettings{Zone: "z0", Polled: true, MaxPollInterval: 10 * sec, MessageTarget: 100 * ms})
		s.expect("watch true")
		s.balancer.BeginEndpoints(FailedUpdate)
		s.balancer.OnTimer(listTimer)
		s.expect("watch true")
	})
	t.Run("a restart in place clears the tallies", func(t *testing.T) {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
		s.adopt("o", 5, "g", 1)
		s.setTime(sec)
		s.updateServer(1, Ready, sec)
		server := s.balancer.list.byID[1]
		for i := range 5 {
			s.balancer.OnEnded(FlowID(fmt.Sprint("o", i)), Reset, sec, true)
		}
		if server.openFlows != 0 || len(server.groupTallies) != 0 || s.balancer.tallies.pairs != 0 {
			t.Errorf("after the restart: %d open flows, groups %v, %d pairs; want none", server.openFlows, server.groupTallies, s.balancer.tallies.pairs)
		}
	})
	t.Run("the lease of an attempt without a reported end is released", func(t *testing.T) {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 1)
		s.request("a", "g", sec)
		s.setTime(12 * sec)
		s.balancer.OnTimer(tickTimer)
		if server := s.balancer.list.byID[1]; server.openFlows != 0 || len(server.groupTallies) != 0 {
			t.Errorf("after the deadline: %d open flows, groups %v, want none", server.openFlows, server.groupTallies)
		}
	})
}

// A change of the list is known within 6 s, however many polls failed before: a poll in progress may miss the change
// and take 2 s to fail; then follow the backoff and the next poll, which takes 2 s at most.
func TestPollBackoff(t *testing.T) {
	const pollDuration, knownWithin = 2 * sec, 6 * sec
	for _, maxPollInterval := range []time.Duration{2 * sec, 10 * sec, 60 * sec} {
		least, most := knownWithin, time.Duration(0)
		for seed := range uint64(50) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
			s.balancer.ConfigureEndpoints(EndpointSettings{Zone: "z0", Polled: true, MaxPollInterval: maxPollInterval, MessageTarget: 100 * ms})
			s.balancer.random = seeded(seed)
			for range 12 {
				s.balancer.BeginEndpoints(FailedUpdate)
				s.balancer.EndEndpoints()
			}
			least, most = min(least, s.timers[listTimer]), max(most, s.timers[listTimer])
		}
		if most > knownWithin-2*pollDuration {
			t.Errorf("polled at least every %v: a backoff of %v, want at most %v", maxPollInterval, most, knownWithin-2*pollDuration)
		}
		if most-least < most/3 {
			t.Errorf("polled at least every %v: all backoffs lie between %v and %v, so that balancers poll at the same time; "+
				"want a range of at least %v", maxPollInterval, least, most, most/3)
		}
	}
}
