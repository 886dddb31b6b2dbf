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

// restartingServer is the server that starts during the test.
const restartingServer = "b"

// memberStartedAt returns the list entry of restartingServer, as JSON, with a start time by the clock of another
// machine.
func memberStartedAt(at time.Time) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:1","phase":"SERVING","up_since_ms":%d}`, restartingServer, at.UnixMilli())
}

// A server that starts while the balancer runs is in slow start from then on, however much the wall clocks of the two
// machines differ: its start is taken to be after the previous update and not in the future. A different start time is
// another start and the same start time is not, for the successor process too.
func TestServerStartsUnderSteppedClock(t *testing.T) {
	for _, step := range []time.Duration{0, 30 * time.Second, -30 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) { serverStarts(t, time.Now().Add(step)) })
	}
}

func serverStarts(t *testing.T, reported time.Time) {
	updates := make(chan string)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for {
			select {
			case text := <-updates:
				writeAndFlush(w, text+"\n")
			case <-q.Context().Done():
				return
			}
		}
	}))
	defer agent.Close()
	d := newTestDiscovery(1, strings.TrimPrefix(agent.URL, "http://"), false)
	defer runDiscovery(d)()
	revision := int64(0)
	send := func(isComplete bool, members ...string) {
		t.Helper()
		revision++
		updates <- object(int(revision), isComplete, members...)
		for end := time.Now().Add(hangTimeout); d.revision.Load() != revision; time.Sleep(ms) {
			if time.Now().After(end) {
				t.Fatal("the update was not applied")
			}
		}
	}
	before := d.router.Snapshot().Decisions.Now
	send(true, member("a", "SERVING"))
	send(false, memberStartedAt(reported))
	startedAt := startTimeOf(t, d.router)
	if now := d.router.Snapshot().Decisions.Now; startedAt < before || startedAt > now {
		t.Errorf("a start reported between %v and %v is recorded at %v", before, now, startedAt)
	}
	before = d.router.Snapshot().Decisions.Now
	send(true, member("a", "SERVING"), memberStartedAt(reported))
	if got := startTimeOf(t, d.router); got != startedAt {
		t.Errorf("reported again, the start at %v is recorded at %v", startedAt, got)
	}
	successor := newTestDiscovery(1, "", false)
	successor.router.Restore(d.router.Snapshot())
	sameList := object(1, true, member("a", "SERVING"), memberStartedAt(reported))
	if err := successor.applyText(t.Context(), []byte(sameList), routing.DeltaUpdate); err != nil {
		t.Fatal(err)
	}
	if got := startTimeOf(t, successor.router); got != startedAt {
		t.Errorf("restored, the start at %v is recorded at %v", startedAt, got)
	}
	send(false, memberStartedAt(reported.Add(-2*time.Hour)))
	if got := startTimeOf(t, d.router); got < before {
		t.Errorf("a start with an earlier value, reported after %v, is recorded at %v", before, got)
	}
}

// startTimeOf returns when the restarting server started, by the router's clock.
func startTimeOf(t *testing.T, r *routing.Router) time.Duration {
	t.Helper()
	snapshot := r.Snapshot()
	for i, server := range snapshot.Servers {
		if server.Name == restartingServer {
			return snapshot.Decisions.Servers[i].StartedAt
		}
	}
	t.Fatalf("%s is not known", restartingServer)
	return decide.LongAgo
}
