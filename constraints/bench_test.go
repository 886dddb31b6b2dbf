package constraints_test

import (
	"fmt"
	"testing"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/locality"
)

// noActions implements decide.Actions and does nothing.
type noActions struct{}

func (noActions) Connect(decide.FlowID, decide.ServerID, time.Duration) {}
func (noActions) Reject(decide.FlowID, time.Duration)                   {}
func (noActions) Abort(decide.FlowID)                                   {}
func (noActions) Migrate(decide.FlowID)                                 {}
func (noActions) HealthCheck(decide.ServerID)                           {}
func (noActions) SetTimer(decide.TimerID, time.Duration)                {}
func (noActions) WatchEndpoints(bool)                                   {}

// BenchmarkDecision measures one flow from its arrival to its end, by number of servers, with and without the locality
// policy.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{100, 1000, 10000} {
		for _, hasPolicy := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/localities=%v", servers, hasPolicy), func(b *testing.B) {
				configure := func(b *decide.Balancer) { constraints.Configure(b, 10, 0.05) }
				var m constraints.Balancer
				if hasPolicy {
					policy := locality.New(locality.Config{
						Rules:         locality.Rules{Spill: 0.3, FailbackPerMinute: 60, Balancers: 10},
						Seed:          1,
						Zone:          "a",
						SetupTarget:   300 * time.Millisecond,
						MessageTarget: 250 * time.Millisecond,
						WarmUp:        20 * time.Second,
					})
					m = constraints.New(1, noActions{}, []constraints.Constraint{policy}, configure)
				} else {
					d := decide.New(1, noActions{})
					configure(d)
					m = d
				}
				m.SetTime(0)
				m.BeginEndpoints(decide.FullUpdate)
				for s := range servers {
					m.OnEndpoint(decide.Endpoint{
						ID:        decide.ServerID(s + 1),
						Zone:      []decide.Zone{"a", "b", "c"}[s%3],
						Size:      1,
						Readiness: decide.Ready,
						StartedAt: decide.LongAgo,
					})
				}
				m.EndEndpoints()
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					f := decide.FlowID(fmt.Sprint(i))
					m.SetTime(time.Duration(i) * time.Millisecond)
					m.OnFlow(decide.FlowRequest{ID: f, Customer: decide.NoCustomer, Group: "g", Timeout: time.Second})
					m.OnEstablished(f, time.Millisecond)
					m.OnEnded(f, decide.OK, time.Millisecond, true)
				}
			})
		}
	}
}
