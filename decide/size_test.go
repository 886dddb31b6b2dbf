package decide

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// asked counts what is asked of other deciders: for each server that a decision looks at, once a look.
type asked struct{ looks int }

func (a *asked) ServerCost(FlowID, ServerID) (float64, bool)        { a.looks++; return 0, true }
func (a *asked) AdmitFlow(FlowID) bool                              { return true }
func (a *asked) RetryAfter(_ FlowID, d time.Duration) time.Duration { return d }
func (a *asked) AllowMigration(FlowID) bool                         { return true }
func (a *asked) MigrateFirst() []FlowID                             { return nil }

// many is one of 1,024 balancers before so many servers, which holds so many flows.
func many(t *testing.T, servers, flows int) *script {
	s := start(t, Idempotent, DeduplicatedByFleet, servers)
	s.b.ConfigureSlowStart(SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: 1024})
	for i := range flows {
		s.stand(i)
	}
	return s
}

// stand has one more flow stand.
func (s *script) stand(i int) FlowID {
	f := FlowID(strconv.Itoa(i))
	s.at(time.Duration(i) * ms)
	s.b.OnFlow(FlowRequest{ID: f, Customer: NoCustomer, Group: GroupKey(strconv.Itoa(i % 97)), Timeout: sec})
	s.b.OnEstablished(f, 10*ms)
	s.did = s.did[:0]
	return f
}

// A decision looks at each server a few times, and at none again for each of the others.
func TestDecisionGrowsWithTheList(t *testing.T) {
	looks := func(servers int) int {
		s := many(t, servers, servers)
		if n := len(s.b.list.ready); n != servers {
			t.Fatalf("%d of %d servers taken", n, servers)
		}
		a := &asked{}
		s.b.SetConstraints(a)
		s.b.OnEnded(s.stand(servers), OK, 10*ms, true)
		return a.looks
	}
	few, all := looks(64), looks(1024)
	if all > 1024/64*few {
		t.Errorf("%d looks at 64 servers, %d at 1,024", few, all)
	}
	t.Logf("%d looks at 64 servers, %d at 1,024", few, all)
}

// BenchmarkSize is one flow from its coming to its end, and one tick, at one of 1,024 balancers that holds 200 flows, by the number of servers.
func BenchmarkSize(b *testing.B) {
	const flows = 200
	for _, servers := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("flow/servers=%d", servers), func(b *testing.B) {
			s := many(nil, servers, flows)
			for i := 0; b.Loop(); i++ {
				s.b.OnEnded(s.stand(flows+i), OK, 10*ms, true)
			}
		})
		for _, probes := range []bool{false, true} {
			b.Run(fmt.Sprintf("tick/probes=%v/servers=%d", probes, servers), func(b *testing.B) {
				s := many(nil, servers, flows)
				s.b.ConfigureHealthChecks(probes)
				for b.Loop() {
					s.b.SetTime(s.b.now + tickInterval)
					s.b.tick()
					s.did = s.did[:0]
				}
			})
		}
	}
}
