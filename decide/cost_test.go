package decide

import (
	"fmt"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// newLoadedBalancer returns one of 8,100 balancers, with warm servers in 25 zones and the given numbers of established
// flows and of groups.
func newLoadedBalancer(t *testing.T, servers, flows, groups int) *harness {
	s := &harness{t: t, targets: map[FlowID]ServerID{}, attemptsTo: map[ServerID]int{}}
	s.balancer = New(7, s)
	s.balancer.ConfigureFlows(3, sec)
	s.balancer.AddService(serviceType(Idempotent, DeduplicatedByFleet))
	s.balancer.ConfigureSlowStart(slowStartSettings(8100))
	s.balancer.ConfigurePlacement(0.02, 0.02, true)
	s.balancer.ConfigureEndpoints(EndpointSettings{Zone: "z0", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 100 * ms})
	s.setTime(0)
	s.listInZones(CachedUpdate, servers)
	for i := range flows {
		s.establishNext(i, groups)
	}
	return s
}

// listInZones sends a list of servers in 25 zones.
func (s *harness) listInZones(k UpdateKind, servers int) {
	s.balancer.BeginEndpoints(k)
	for i := 1; i <= servers; i++ {
		s.balancer.OnEndpoint(Endpoint{
			ID:        ServerID(i),
			Zone:      Zone(fmt.Sprint("z", i%25)),
			Cell:      CellID(i / 8),
			Size:      1,
			Readiness: Ready,
			StartedAt: LongAgo,
		})
	}
	s.balancer.EndEndpoints()
}

// establishNext establishes the i-th flow, in one of the given number of groups, 0.1 ms after the previous one.
func (s *harness) establishNext(i, groups int) FlowID {
	f := FlowID(strconv.Itoa(i))
	s.setTime(s.balancer.now + ms/10)
	s.balancer.OnFlow(FlowRequest{ID: f, Customer: NoCustomer, Group: GroupKey(strconv.Itoa(i % groups)), Timeout: sec})
	s.balancer.OnEstablished(f, 10*ms)
	s.performed = s.performed[:0]
	return f
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// reportProcessorTime reports the CPU time per operation, as elapsed time says little on a busy machine.
func reportProcessorTime(b *testing.B, from time.Duration) {
	b.ReportMetric(float64(processorTime()-from)/float64(b.N), "cpu-ns/op")
}

// BenchmarkPlacement measures a flow that is placed, established and ended.
func BenchmarkPlacement(b *testing.B) {
	for _, servers := range []int{60, 128, 129, 600, 1000, 6000, 12800} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			const flows = 20_000
			s := newLoadedBalancer(nil, servers, flows, 15_000)
			b.ReportAllocs()
			from := processorTime()
			for i := 0; b.Loop(); i++ {
				s.balancer.OnEnded(s.establishNext(flows+i, 15_000), OK, 10*ms, true)
			}
			reportProcessorTime(b, from)
		})
	}
}

// BenchmarkTick measures a tick of a fleet in balance.
func BenchmarkTick(b *testing.B) {
	for _, flows := range []int{800, 8_000, 79_012} {
		for _, servers := range []int{60, 1000, 12800} {
			b.Run(fmt.Sprintf("flows=%d/servers=%d", flows, servers), func(b *testing.B) {
				s := newLoadedBalancer(nil, servers, flows, 60_000)
				s.setTime(s.balancer.now + 3*sec)
				from := processorTime()
				for b.Loop() {
					s.setTime(s.balancer.now + tickInterval)
					s.balancer.tick()
					s.performed = s.performed[:0]
				}
				reportProcessorTime(b, from)
			})
		}
	}
}
