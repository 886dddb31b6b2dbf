package decide

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// failing is one of 300 balancers that gets a flow every 100 ms and none of whose set-ups comes up before `well`; it
// tells when connects went out, and when the first flow stood.
func failing(t *testing.T, seed uint64, well, end time.Duration) (connects []time.Duration, stood time.Duration) {
	const every, limit = 100 * ms, 90 * ms
	s := start(t, Idempotent, DeduplicatedByFleet, 60)
	s.b.random = seeded(seed)
	s.b.ConfigureSlowStart(SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: 300})
	out := map[FlowID]time.Duration{}
	for now := time.Duration(0); now < end; now += 10 * ms {
		s.at(now)
		for id, sent := range out {
			if now >= sent+limit || now >= well {
				delete(out, id)
				if now >= well {
					s.b.OnEstablished(id, now-sent)
					stood = max(stood, now)
					return connects, stood
				}
				s.b.OnEnded(id, TimedOut, now-sent, false)
			}
		}
		if now%every == 0 {
			s.b.OnFlow(FlowRequest{ID: FlowID(fmt.Sprint(now)), Customer: NoCustomer, Timeout: limit})
		}
		s.b.OnTimer(queueTimer)
		for id := range s.last {
			if f := s.b.flows.byID[id]; f != nil && f.state == connecting && out[id] == 0 {
				out[id] = now
				connects = append(connects, now)
			}
		}
		clear(s.last)
	}
	return connects, stood
}

// While all set-ups fail, what all share is spared: a balancer sends one at a time and seldom. It stays a trial every
// few seconds, so that nobody turns everything away for 4 s on end, and who was shut soon learns that it is over.
func TestATrialGoesOutWhileAllSetUpsFail(t *testing.T) {
	const trouble = 30 * sec
	sum := 0
	for seed := range uint64(40) {
		connects, stood := failing(t, seed, trouble, trouble+5*sec)
		for i, at := range connects[1:] {
			if gap := at - connects[i]; gap > 3700*ms {
				t.Errorf("seed %d: none went out for %v after %v", seed, gap, connects[i])
			}
		}
		if stood == 0 || stood > trouble+3700*ms {
			t.Errorf("seed %d: the first stood at %v, well again at %v", seed, stood, trouble)
		}
		sum += len(connects)
	}
	if most := 40 * 14; sum > most {
		t.Errorf("%d set-ups of 40 balancers in 30 s, at most %d wanted: what all share is fed while it fails", sum, most)
	} else {
		t.Logf("%d set-ups of 40 balancers in 30 s", sum)
	}
}

// Whatever shuts a balancer, it does not turn away all that it gets for 4 s on end with no attempt in between: servers that are refused, or say
// that they are full, limits set by them, or clients beyond their customer's share. Where a rule forbids it nothing is sent: to cold servers whose
// budget is spent.
func TestATrialGoesOutWhateverShuts(t *testing.T) {
	const trouble, most = 40 * sec, 3900 * ms
	for _, c := range []struct {
		name   string
		end    Outcome
		before func(s *script)
	}{
		{"nobody is there", Unreachable, func(*script) {}},
		{"all are full", Full, func(*script) {}},
		{"all reset", Reset, func(*script) {}},
		{"a limit on all flows", Full, func(s *script) {
			s.held("o", 3, "g", 1)
			s.b.health.flowLimit.reduce(0, 1)
		}},
		{"beyond their customer's share", Reset, func(s *script) {
			s.b.AddCustomer(2)
			for i := range 6 {
				s.b.AdoptFlow(FlowRequest{ID: FlowID(fmt.Sprint("o", i))}, ServerID(1+i%3))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, Idempotent, DeduplicatedByFleet, 3)
			c.before(s)
			last, tries := time.Duration(0), 0
			for at := time.Duration(0); at < trouble; at += 100 * ms {
				s.at(at)
				s.b.OnTimer(queueTimer)
				if at%tickInterval == 0 {
					s.b.OnTimer(tickTimer)
				}
				for i := range 3 { // where flows stand all servers are late
					s.b.OnLatencySample(FlowID(fmt.Sprint("o", i)), 90*ms)
				}
				s.b.OnFlow(FlowRequest{ID: FlowID(fmt.Sprint("f", at)), Timeout: sec})
				for len(s.last) > 0 {
					for _, id := range slices.Sorted(maps.Keys(s.last)) {
						if at-last > most {
							t.Errorf("none went out for %v after %v", at-last, last)
						}
						last = at
						tries++
						delete(s.last, id)
						s.b.OnEnded(id, c.end, ms, false)
					}
				}
			}
			if trouble-last > most {
				t.Errorf("none went out after %v", last)
			}
			t.Logf("%d tries", tries)
		})
	}
}
