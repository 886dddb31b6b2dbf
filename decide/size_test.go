package decide

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// countingConstraints constrain nothing, and count how often decisions look at a server.
type countingConstraints struct{ evaluations int }

func (c *countingConstraints) ServerCost(FlowID, ServerID) (float64, bool) {
	c.evaluations++
	return 0, true
}
func (c *countingConstraints) AdmitFlow(FlowID) bool                              { return true }
func (c *countingConstraints) RetryAfter(_ FlowID, d time.Duration) time.Duration { return d }
func (c *countingConstraints) AllowMigration(FlowID) bool                         { return true }
func (c *countingConstraints) MigrateFirst() []FlowID                             { return nil }

// newLargeFleet returns one of 1,024 balancers, with so many servers and flows.
func newLargeFleet(t *testing.T, servers, flows int) *harness {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, servers)
	s.balancer.ConfigureSlowStart(slowStartRule(1024))
	for i := range flows {
		s.establishNumber(i)
	}
	return s
}

// establishNumber establishes one more flow.
func (s *harness) establishNumber(i int) FlowID {
	f := FlowID(strconv.Itoa(i))
	s.setTime(time.Duration(i) * ms)
	s.balancer.OnFlow(FlowRequest{ID: f, Customer: NoCustomer, Group: GroupKey(strconv.Itoa(i % 97)), Timeout: sec})
	s.balancer.OnEstablished(f, 10*ms)
	s.performed = s.performed[:0]
	return f
}

// The cost of a decision grows no faster than the list.
func TestDecisionCostGrowsWithList(t *testing.T) {
	looks := func(servers int) int {
		s := newLargeFleet(t, servers, servers)
		if n := len(s.balancer.list.ready); n != servers {
			t.Fatalf("%d of %d servers taken", n, servers)
		}
		a := &countingConstraints{}
		s.balancer.SetConstraints(a)
		s.balancer.OnEnded(s.establishNumber(servers), OK, 10*ms, true)
		return a.evaluations
	}
	few, all := looks(64), looks(1024)
	if all > 1024/64*few {
		t.Errorf("%d looks at 64 servers, %d at 1,024", few, all)
	}
	t.Logf("%d looks at 64 servers, %d at 1,024", few, all)
}

// BenchmarkSize is one flow from its arrival to its end, and one tick, at one of 1,024 balancers that holds 200
// flows, by the number of servers.
func BenchmarkSize(b *testing.B) {
	const flows = 200
	for _, servers := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("flow/servers=%d", servers), func(b *testing.B) {
			s := newLargeFleet(nil, servers, flows)
			for i := 0; b.Loop(); i++ {
				s.balancer.OnEnded(s.establishNumber(flows+i), OK, 10*ms, true)
			}
		})
		for _, healthChecks := range []bool{false, true} {
			b.Run(fmt.Sprintf("tick/probes=%v/servers=%d", healthChecks, servers), func(b *testing.B) {
				s := newLargeFleet(nil, servers, flows)
				s.balancer.ConfigureHealthChecks(healthChecks)
				for b.Loop() {
					s.balancer.SetTime(s.balancer.now + tickInterval)
					s.balancer.tick()
					s.performed = s.performed[:0]
				}
			})
		}
	}
}
