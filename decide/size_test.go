package decide

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// countingConstraints impose no constraints, and count how often decisions evaluate a server.
type countingConstraints struct{ evaluations int }

func (c *countingConstraints) ServerCost(FlowID, ServerID) (float64, bool) {
	c.evaluations++
	return 0, true
}
func (c *countingConstraints) AdmitFlow(FlowID) bool                              { return true }
func (c *countingConstraints) RetryAfter(_ FlowID, d time.Duration) time.Duration { return d }
func (c *countingConstraints) AllowMigration(FlowID) bool                         { return true }
func (c *countingConstraints) MigrateFirst() []FlowID                             { return nil }

// newLargeFleet returns one of 1,024 balancers, with the given numbers of servers and established flows.
func newLargeFleet(t *testing.T, servers, flows int) *harness {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, servers)
	s.balancer.ConfigureSlowStart(slowStartSettings(1024))
	for i := range flows {
		s.establishNumber(i)
	}
	return s
}

// establishNumber establishes the i-th flow, i milliseconds after the start.
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
	evaluations := func(servers int) int {
		s := newLargeFleet(t, servers, servers)
		if n := len(s.balancer.list.ready); n != servers {
			t.Fatalf("%d of %d servers are ready", n, servers)
		}
		a := &countingConstraints{}
		s.balancer.SetConstraints(a)
		s.balancer.OnEnded(s.establishNumber(servers), OK, 10*ms, true)
		return a.evaluations
	}
	few, all := evaluations(64), evaluations(1024)
	if all > 1024/64*few {
		t.Errorf("%d evaluations with 64 servers, %d with 1,024, want at most 16 times as many", few, all)
	}
	t.Logf("%d evaluations with 64 servers, %d with 1,024", few, all)
}

// BenchmarkSize measures, by the number of servers, a flow from its arrival to its end and a tick, at one of 1,024
// balancers that holds 200 flows.
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
