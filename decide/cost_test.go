package decide

import (
	"fmt"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// full is one balancer of 8,100 that holds so many flows of so many groups before so many warm servers of 25 zones.
func full(t *testing.T, servers, flows, groups int) *script {
	s := &script{t: t, last: map[FlowID]ServerID{}, sent: map[ServerID]int{}}
	s.b = New(7, s)
	s.b.ConfigureFlows(3, sec)
	s.b.AddService(ServiceType{Effect: Idempotent, Deduplication: DeduplicatedByFleet, SetupTarget: 300 * ms, RetryWindow: 2 * sec, Value: 1})
	s.b.ConfigureSlowStart(SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: 8100})
	s.b.ConfigurePlacement(0.02, 0.02, true)
	s.b.ConfigureEndpoints(EndpointSettings{Zone: "z0", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 100 * ms})
	s.at(0)
	s.spread(CachedUpdate, servers)
	for i := range flows {
		s.come(i, groups)
	}
	return s
}

// spread tells a whole list of so many servers in 25 zones.
func (s *script) spread(k UpdateKind, servers int) {
	s.b.BeginEndpoints(k)
	for i := 1; i <= servers; i++ {
		s.b.OnEndpoint(Endpoint{ID: ServerID(i), Zone: Zone(fmt.Sprint("z", i%25)), Cell: CellID(i / 8), Size: 1, Readiness: Ready, StartedAt: LongAgo})
	}
	s.b.EndEndpoints()
}

// come has one more flow of one of so many groups come and stand, a tenth of a millisecond after the last.
func (s *script) come(i, groups int) FlowID {
	f := FlowID(strconv.Itoa(i))
	s.at(s.b.now + ms/10)
	s.b.OnFlow(FlowRequest{ID: f, Customer: NoCustomer, Group: GroupKey(strconv.Itoa(i % groups)), Timeout: sec})
	s.b.OnEstablished(f, 10*ms)
	s.did = s.did[:0]
	return f
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// reportProcessorTime adds processor time an operation: on a busy machine the clock says little.
func reportProcessorTime(b *testing.B, from time.Duration) {
	b.ReportMetric(float64(processorTime()-from)/float64(b.N), "cpu-ns/op")
}

// BenchmarkPlacement is one flow placed, established and ended.
func BenchmarkPlacement(b *testing.B) {
	for _, servers := range []int{60, 128, 129, 600, 1000, 6000, 12800} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			const flows = 20_000
			s := full(nil, servers, flows, 15_000)
			b.ReportAllocs()
			from := processorTime()
			for i := 0; b.Loop(); i++ {
				s.b.OnEnded(s.come(flows+i, 15_000), OK, 10*ms, true)
			}
			reportProcessorTime(b, from)
		})
	}
}

// BenchmarkTick is one tick at rest.
func BenchmarkTick(b *testing.B) {
	for _, flows := range []int{800, 8_000, 79_012} {
		for _, servers := range []int{60, 1000, 12800} {
			b.Run(fmt.Sprintf("flows=%d/servers=%d", flows, servers), func(b *testing.B) {
				s := full(nil, servers, flows, 60_000)
				s.at(s.b.now + 3*sec)
				from := processorTime()
				for b.Loop() {
					s.at(s.b.now + tickInterval)
					s.b.tick()
					s.did = s.did[:0]
				}
				reportProcessorTime(b, from)
			})
		}
	}
}
