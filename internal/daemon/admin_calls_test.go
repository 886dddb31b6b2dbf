package daemon

import (
	"bufio"
	"errors"
	"net/http"
	"os"
	"testing"
	"time"

	"yardwinch/internal/admin"
)

// After the out-of-service call PING is answered BUSY at once, clients that the platform still sends are served and
// then migrated, and later ones are rejected with the time after which to retry. The in-service call restores normal
// service, also when it interrupts the drain. A balancer that is out of service stays so during the shutdown.
func TestOutOfServiceDrains(t *testing.T) {
	const allowed = 4 * time.Second
	h := newHarness(t).start(os.Getenv)
	early := h.wantFlow("before", "UP 1")
	h.wantPing("PONG")
	h.wantStatus("POST", "out-of-service", http.StatusOK)
	start := time.Now()
	h.wantPing("BUSY")
	late := h.wantFlow("just after the call", "UP 1")
	h.wantStatus("POST", "out-of-service", http.StatusOK) // a second call changes nothing
	h.wantStatus("GET", "ready", http.StatusOK)
	for _, client := range []*bufio.Reader{early, late} {
		wantMigration(t, client)
	}
	if took := time.Since(start); took > allowed {
		t.Errorf("drained after %v, %v are allowed", took, allowed)
	}
	awaitCondition(t, "drained", func() bool { return h.daemon.lifecycle.current() == drained })
	h.wantFlow("out of service", "BUSY 700")

	h.wantStatus("POST", "in-service", http.StatusOK)
	h.wantPing("PONG")
	h.wantFlow("back in service", "UP 1")

	h.wantStatus("POST", "out-of-service", http.StatusOK)
	h.wantStatus("POST", "in-service", http.StatusOK) // interrupts the drain
	h.wantPing("PONG")
	client := h.wantFlow("after an interrupted drain", "UP 1")

	h.wantStatus("POST", "out-of-service", http.StatusOK)
	h.stop()
	h.awaitStatus("GET", "ready", http.StatusServiceUnavailable)
	h.wantPing("BUSY")
	wantMigration(t, client)
	h.end()
}

func TestAdminCallsByPhase(t *testing.T) {
	for _, c := range []struct {
		phase                                 phase
		ready                                 bool
		outOfServiceAllowed, inServiceAllowed bool  // whether the calls out-of-service and in-service succeed
		afterOutOfService                     phase // the phase after the out-of-service call
	}{
		{loading, false, false, false, loading},
		{serving, true, true, true, draining},
		{draining, true, true, true, draining},
		{drained, true, true, true, drained},
		{handingOver, false, true, true, draining}, // as after the successor has exited
		{shuttingDown, false, false, false, shuttingDown},
		{stopped, false, false, false, stopped},
	} {
		t.Run(string(c.phase), func(t *testing.T) {
			outCalls, inCalls := callsInPhase(t, c.phase), callsInPhase(t, c.phase)
			for call, got := range map[string]struct {
				err     error
				allowed bool
			}{
				"ready":          {outCalls.Ready(), c.ready},
				"out of service": {outCalls.OutOfService(t.Context()), c.outOfServiceAllowed},
				"in service":     {inCalls.InService(t.Context()), c.inServiceAllowed},
			} {
				if (got.err == nil) != got.allowed {
					t.Errorf("%s: got error %v", call, got.err)
				}
			}
			if now := outCalls.daemon.lifecycle.current(); now != c.afterOutOfService {
				t.Errorf("phase %s after the out-of-service call", now)
			}
			if err := outCalls.Ready(); err != nil && !errors.Is(err, admin.ErrNotReady) {
				t.Error(err)
			}
		})
	}
}

// callsInPhase returns the admin calls of a daemon whose phase is set without running it.
func callsInPhase(t *testing.T, in phase) adminCalls {
	t.Helper()
	h := newHarness(t)
	d, err := prepare(t.Context(), Source{ConfigPath: h.path, Environment: os.Getenv})
	if err != nil {
		t.Fatal(err)
	}
	d.lifecycle.phase = in
	if in != loading {
		d.lifecycle.startedOnce.Do(func() { close(d.lifecycle.started) })
	}
	t.Cleanup(func() {
		d.lifecycle.transition(t.Context(), stopped)
		d.lifecycle.work.Wait()
	})
	return adminCalls{d}
}

// A server is disabled before the response is sent: the next client, for which no other server is left, is rejected with
// the time after which to retry.
func TestDisabledServers(t *testing.T) {
	h := newHarness(t).start(os.Getenv)
	h.wantStatus("POST", "servers/b/offline", http.StatusNotFound)
	h.wantStatus("POST", "servers/a/offline", http.StatusOK)
	h.wantFlow("with its only server disabled", "BUSY 700")
	h.wantStatus("POST", "servers/a/offline", http.StatusOK)
	h.wantStatus("POST", "servers/a/online", http.StatusOK)
	h.awaitFlow() // in slow start the server accepts its first flow within seconds
	h.end()
}
