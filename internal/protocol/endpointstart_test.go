package protocol

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
)

// memberStartedAt is an entry with the time at which its server last started, by the clock of another machine.
func memberStartedAt(id string, at time.Time) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:1","phase":"SERVING","up_since_ms":%d}`, id, at.UnixMilli())
}

// A server that starts while the balancer runs is cold from then on, by however much the wall clocks of the two machines differ: it started
// after the news before, and not in the future. Any other figure is another start, the same figure is none, also for the process that takes over.
func TestServerStartsUnderSteppedClock(t *testing.T) {
	for _, step := range []time.Duration{0, 30 * time.Second, -30 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			news := make(chan string)
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				for {
					select {
					case text := <-news:
						fmt.Fprintln(w, text)
						w.(http.Flusher).Flush()
					case <-q.Context().Done():
						return
					}
				}
			}))
			defer agent.Close()
			d := newTestDiscovery(1, strings.TrimPrefix(agent.URL, "http://"), false)
			defer runDiscovery(d)()
			revision := int64(0)
			tell := func(whole bool, members ...string) {
				t.Helper()
				revision++
				news <- object(int(revision), whole, members...)
				for end := time.Now().Add(10 * sec); d.revision.Load() != revision; time.Sleep(ms) {
					if time.Now().After(end) {
						t.Fatal("the news did not come")
					}
				}
			}
			first := time.Now().Add(step)
			before := d.router.Snapshot().Decisions.Now
			tell(true, member("a", "SERVING"))
			tell(false, memberStartedAt("b", first))
			started := startOf(t, d.router, "b")
			if now := d.router.Snapshot().Decisions.Now; started < before || started > now {
				t.Errorf("a start told between %v and %v is taken for one at %v", before, now, started)
			}
			before = d.router.Snapshot().Decisions.Now
			tell(true, member("a", "SERVING"), memberStartedAt("b", first))
			if got := startOf(t, d.router, "b"); got != started {
				t.Errorf("told again, the start at %v is taken for another at %v", started, got)
			}
			successor := newTestDiscovery(1, "", false)
			successor.router.Restore(d.router.Snapshot())
			if err := successor.applyText(t.Context(), []byte(object(1, true, member("a", "SERVING"), memberStartedAt("b", first))), routing.DeltaUpdate); err != nil {
				t.Fatal(err)
			}
			if got := startOf(t, successor.router, "b"); got != started {
				t.Errorf("taken over, the start at %v is taken for another at %v", started, got)
			}
			tell(false, memberStartedAt("b", first.Add(-2*time.Hour)))
			if again := startOf(t, d.router, "b"); again < before {
				t.Errorf("a start with an earlier figure, told after %v, is taken for one at %v", before, again)
			}
		})
	}
}

// startOf is when a server started, by the router's clock.
func startOf(t *testing.T, r *routing.Router, name string) time.Duration {
	t.Helper()
	memory := r.Snapshot()
	for i, server := range memory.Servers {
		if server.Name == name {
			return memory.Decisions.Servers[i].Since
		}
	}
	t.Fatalf("%s is not known", name)
	return decide.LongAgo
}
