package routing

import (
	"fmt"
	"testing"
	"time"
)

// holding is a router before so many servers that holds so many flows, all of which have just spoken.
func holding(t testing.TB, servers, flows int) *Router {
	t.Helper()
	names := make([]string, servers)
	for i := range names {
		names[i] = fmt.Sprintf("s-%08x", uint32(i)*2654435761)
	}
	r := router(t, false, false, names...)
	for i := range flows {
		f, _, err := r.ResumeFlow("live", "", "", fmt.Sprint("g", i%997), names[i%servers])
		if err != nil {
			t.Fatal(err)
		}
		f.server = r.servers[r.numbers[names[i%servers]]]
		f.OnEstablished()
		f.OnRequest()
		f.OnReply()
	}
	return r
}

// BenchmarkNoteDelays is one look at all flows and servers for those late, which is made four times a second, while all is in time.
func BenchmarkNoteDelays(b *testing.B) {
	for _, servers := range []int{60, 1000, 12_800} {
		for _, flows := range []int{100, 6000, 79_000} {
			b.Run(fmt.Sprintf("servers=%d/flows=%d", servers, flows), func(b *testing.B) {
				r := holding(b, servers, flows)
				r.mu.Lock()
				defer r.mu.Unlock()
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					r.noteDelays(time.Since(r.start))
				}
			})
		}
	}
}
