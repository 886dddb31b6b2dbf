package decide

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// runFailing simulates one of 300 balancers. It gets a flow every 100 ms, and all set-ups time out before recoversAt. It
// returns the times of the attempts, and when the first flow was established.
func runFailing(t *testing.T, seed uint64, recoversAt, end time.Duration) (attempts []time.Duration, establishedAt time.Duration) {
	const every, timeout = 100 * ms, 90 * ms
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 60)
	s.balancer.random = seeded(seed)
	s.balancer.ConfigureSlowStart(slowStartSettings(300))
	sentAt := map[FlowID]time.Duration{}
	for now := time.Duration(0); now < end; now += 10 * ms {
		s.setTime(now)
		for id, sent := range sentAt {
			if now >= sent+timeout || now >= recoversAt {
				delete(sentAt, id)
				if now >= recoversAt {
					s.balancer.OnEstablished(id, now-sent)
					establishedAt = max(establishedAt, now)
					return attempts, establishedAt
				}
				s.balancer.OnEnded(id, TimedOut, now-sent, false)
			}
		}
		if now%every == 0 {
			s.balancer.OnFlow(FlowRequest{ID: FlowID(fmt.Sprint(now)), Customer: NoCustomer, Timeout: timeout})
		}
		s.balancer.OnTimer(queueTimer)
		for id := range s.targets {
			if f := s.balancer.flows.byID[id]; f != nil && f.state == connecting && sentAt[id] == 0 {
				sentAt[id] = now
				attempts = append(attempts, now)
			}
		}
		clear(s.targets)
	}
	return attempts, establishedAt
}

// While all set-ups fail, a balancer makes one attempt at a time at long intervals, to limit the load on what all set-ups
// share. The intervals are a few seconds at most, so that no balancer rejects all flows for 4 s and each soon detects
// the recovery.
func TestForcedAttemptWhileAllSetupsFail(t *testing.T) {
	const faultEnds = 30 * sec
	sum := 0
	for seed := range uint64(40) {
		attempts, establishedAt := runFailing(t, seed, faultEnds, faultEnds+5*sec)
		for i, at := range attempts[1:] {
			if gap := at - attempts[i]; gap > 3700*ms {
				t.Errorf("seed %d: no attempt for %v after %v, want one within 3.7s", seed, gap, attempts[i])
			}
		}
		if establishedAt == 0 || establishedAt > faultEnds+3700*ms {
			t.Errorf("seed %d: the first flow was established at %v (0s: none), the fault ended at %v, want 3.7s later at most",
				seed, establishedAt, faultEnds)
		}
		sum += len(attempts)
	}
	if most := 40 * 14; sum > most {
		t.Errorf("%d attempts of 40 balancers in 30 s, want at most %d", sum, most)
	} else {
		t.Logf("%d attempts of 40 balancers in 30 s", sum)
	}
}

// A balancer never rejects all flows for 4 s without an attempt, whatever the cause: servers that are unreachable or
// full, limits, or customers over their quota.
func TestForcedAttemptWhateverRejects(t *testing.T) {
	const duration, most = 40 * sec, 3900 * ms
	for _, c := range []struct {
		name   string
		end    Outcome
		before func(s *harness)
	}{
		{"unreachable", Unreachable, func(*harness) {}},
		{"all servers are full", Full, func(*harness) {}},
		{"all servers reset connections", Reset, func(*harness) {}},
		{"limit on all flows", Full, func(s *harness) {
			s.adopt("o", 3, "g", 1)
			s.balancer.health.flowLimit.reduce(0, 1)
		}},
		{"customer over its quota", Reset, func(s *harness) {
			s.balancer.AddCustomer(2)
			for i := range 6 {
				s.balancer.AdoptFlow(FlowRequest{ID: FlowID(fmt.Sprint("o", i))}, ServerID(1+i%3))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
			c.before(s)
			last, attempts := time.Duration(0), 0
			for at := time.Duration(0); at < duration; at += 100 * ms {
				s.setTime(at)
				s.balancer.OnTimer(queueTimer)
				if at%tickInterval == 0 {
					s.balancer.OnTimer(tickTimer)
				}
				for i := range 3 { // all servers with established flows are overloaded
					s.balancer.OnLatencySample(FlowID(fmt.Sprint("o", i)), 90*ms)
				}
				s.balancer.OnFlow(FlowRequest{ID: FlowID(fmt.Sprint("f", at)), Timeout: sec})
				for len(s.targets) > 0 {
					for _, id := range slices.Sorted(maps.Keys(s.targets)) {
						if at-last > most {
							t.Errorf("no attempt for %v after %v, want one within %v", at-last, last, most)
						}
						last = at
						attempts++
						delete(s.targets, id)
						s.balancer.OnEnded(id, c.end, ms, false)
					}
				}
			}
			if duration-last > most {
				t.Errorf("no attempt from %v to the end at %v, want one within %v", last, duration, most)
			}
			t.Logf("%d attempts", attempts)
		})
	}
}

// While all set-ups fail for a shared cause, flows are not retried, as retries would add load to the cause.
func TestSharedFailureIsNotRetried(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 6)
	attempts := 0
	for i := range 400 {
		s.setTime(time.Duration(i) * 10 * ms)
		id := FlowID(fmt.Sprint(i))
		s.request(id, "", sec)
		for range 4 {
			s.balancer.OnEnded(id, Error, 5*ms, false)
		}
		s.balancer.OnTimer(queueTimer)
		attempts += s.countActions("connect")
	}
	if attempts > 400 {
		t.Errorf("%d attempts for 400 flows, want at most 400", attempts)
	}
}

// While all attempts fail, a flow whose attempt failed gets its final answer instead of attempts at all other servers.
func TestFailedFlowIsAnsweredWhileAllFail(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 6)
	for i := range 3 {
		s.request(FlowID(fmt.Sprint(i)), "", sec)
	}
	s.balancer.OnEnded("0", Error, ms, false)
	s.balancer.OnEnded("1", Error, ms, false)
	s.takeActions()
	s.balancer.OnEnded("2", Error, ms, false)
	s.expect("reject 2")
}

// In a mass reconnect the number of concurrent attempts is limited.
func TestMassReconnectIsSpread(t *testing.T) {
	for _, c := range []struct{ balancers, most int }{{1, 48}, {200, 1}} {
		t.Run(fmt.Sprint("balancers: ", c.balancers), func(t *testing.T) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 6)
			s.balancer.ConfigureSlowStart(slowStartSettings(c.balancers))
			for i := range 60 {
				s.request(FlowID(fmt.Sprint(i)), "", 2*sec)
			}
			if n := s.countActions("connect"); n != c.most {
				t.Errorf("%d attempts at once, want %d", n, c.most)
			}
			s.setTime(400 * ms)
			for id := range s.targets { // all attempts are established, later than the set-up target
				s.balancer.OnEstablished(id, 400*ms)
			}
			if gap := s.balancer.admission.backoffUntil - 400*ms; c.balancers > 1 && gap < 500*ms {
				t.Errorf("next attempt after %v, want at least 500ms", gap)
			}
		})
	}
}

// A flow in the admission queue gets its final answer when its set-up target has passed.
func TestQueueDeadline(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 4)
	s.balancer.admission.backoffUntil = 10 * sec
	s.request("a", "", 2*sec)
	s.expect("")
	s.setTime(300 * ms)
	s.balancer.OnTimer(queueTimer)
	s.expect("reject a")
}
