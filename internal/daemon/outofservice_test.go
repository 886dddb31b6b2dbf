package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// outOfServiceLimit is the time within which operators want every client answered or migrated after the out-of-service
// call.
const outOfServiceLimit = 4 * time.Second

// newHungHarness returns a harness whose server accepts connections and never replies.
func newHungHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.config = strings.Replace(h.config, `"effect":"free"`, `"effect":"single_shot"`, 1)
	h.useServer(listenLocal(t).Addr().String()) // the connections stay in its queue
	return h
}

// wantAnswerWithin checks that a client that waits for a server is answered in time, and its connection closed.
func wantAnswerWithin(t *testing.T, client net.Conn, want string, start time.Time, limit time.Duration) {
	t.Helper()
	answer, err := io.ReadAll(bufio.NewReader(client))
	if took := time.Since(start); took > limit || err != nil || string(answer) != want {
		t.Errorf("a waiting client received %q, %v after %v, want %q within %v", answer, err, took, want, limit)
	}
}

// Guards against a balancer out of service that holds clients which wait for a server that hangs.
func TestOutOfServiceAnswersWaitingClients(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		t.Parallel()
		h := newHungHarness(t).start(directoryEnvironment(t))
		client := h.openUnanswered("waiting")
		awaitCondition(t, "the client is served", func() bool { return h.daemon.frontend.ConnectionCount() == 1 })
		start := time.Now()
		h.wantStatus("POST", "out-of-service", http.StatusOK)
		wantAnswerWithin(t, client, "ERR given up\r\n", start, outOfServiceLimit)
		h.wantStatus("POST", "in-service", http.StatusOK)
		h.wantPing("PONG")
		again := h.openUnanswered("again")
		_ = again.SetReadDeadline(time.Now().Add(20 * pollInterval))
		if got, err := io.ReadAll(again); len(got) > 0 {
			t.Errorf("in service again, a client that waits received %q, %v", got, err)
		}
		closeAndEnd(h, again)
	})
	t.Run("predecessor of a process that is taken out of service", func(t *testing.T) {
		t.Parallel()
		environment := directoryEnvironment(t)
		old := newHungHarness(t).start(environment)
		client := old.openUnanswered("waiting")
		awaitCondition(t, "the client is served", func() bool { return old.daemon.frontend.ConnectionCount() == 1 })
		next := old.successor().start(environment)
		start := time.Now()
		next.wantStatus("POST", "out-of-service", http.StatusOK)
		wantAnswerWithin(t, client, "ERR given up\r\n", start, outOfServiceLimit)
		old.end()
		next.end()
	})
}

// closeAndEnd closes a client's connection and shuts the balancer down.
func closeAndEnd(h *harness, client net.Conn) {
	h.t.Helper()
	_ = client.Close()
	h.end()
}
