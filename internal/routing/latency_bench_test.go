package routing

import (
	"fmt"
	"testing"
	"time"
)

// routerWithFlows returns a router with the given numbers of servers and established flows, each of which has just
// received a reply.
func routerWithFlows(t testing.TB, servers, flows int) *Router {
	t.Helper()
	names := make([]string, servers)
	for i := range names {
		names[i] = fmt.Sprintf("s-%08x", uint32(i)*2654435761)
	}
	r := newRouter(t, false, false, names...)
	for i := range flows {
		f, _, err := r.ResumeFlow(FlowRequest{Service: "live", Group: fmt.Sprint("g", i%997)}, names[i%servers])
		if err != nil {
			t.Fatal(err)
		}
		f.server = r.servers[r.serverIDs[names[i%servers]]]
		f.OnEstablished()
		f.OnRequest()
		f.OnReply()
	}
	return r
}

// BenchmarkCheckLatencies measures one latency check, of which there are four a second, while all servers are on time.
func BenchmarkCheckLatencies(b *testing.B) {
	for _, servers := range []int{60, 1000, 12_800} {
		for _, flows := range []int{100, 6000, 79_000} {
			b.Run(fmt.Sprintf("servers=%d/flows=%d", servers, flows), func(b *testing.B) {
				r := routerWithFlows(b, servers, flows)
				r.mu.Lock()
				defer r.mu.Unlock()
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					r.checkLatencies(time.Since(r.startedAt))
				}
			})
		}
	}
}
