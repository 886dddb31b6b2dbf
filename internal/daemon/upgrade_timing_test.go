package daemon

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// unansweredLimit is the time within which operators want a client moved whose server answers nothing.
const unansweredLimit = 7 * time.Second

// startSilentServer starts a server that accepts every flow and then sends nothing.
func startSilentServer(t *testing.T) (address string) {
	t.Helper()
	listener := listenLocal(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go acceptSilently(conn)
		}
	}()
	return listener.Addr().String()
}

func acceptSilently(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	_, _ = in.ReadString('\n')
	_, _ = io.WriteString(conn, "UP 1\r\n")
	_, _ = io.Copy(io.Discard, in)
}

// Guards against clients of a server that hangs that wait for longer because the process is replaced: how long a line
// has waited is handed over with its connection, each time.
func TestUpgradeKeepsWaitForReply(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t)
	old.useServer(startSilentServer(t))
	old.start(environment)
	client := old.wantFlow("before", "UP 1")
	conn := old.lastClient
	sentAt := time.Now()
	if _, err := io.WriteString(conn, "M 1\r\n"); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		next := old.successor().start(environment)
		awaitCondition(t, "the connection is transferred", func() bool { return next.daemon.frontend.ConnectionCount() == 1 })
		old.end()
		next.awaitPredecessorGone()
		old = next
	}
	wantMigration(t, client)
	if took := time.Since(sentAt); took > unansweredLimit {
		t.Errorf("the client was asked to migrate %v after its unanswered line, want at most %v", took, unansweredLimit)
	}
	old.end()
}
