package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second // a wait longer than this fails the test

// recorder is a Balancer that records its calls, and returns the same error from each.
type recorder struct {
	calls []string
	err   error
}

func (r *recorder) record(call string) error {
	r.calls = append(r.calls, call)
	return r.err
}

func (r *recorder) Ready() error { return r.record("ready") }
func (r *recorder) Offline(_ context.Context, server string) error {
	return r.record("offline " + server)
}
func (r *recorder) Online(_ context.Context, server string) error {
	return r.record("online " + server)
}
func (r *recorder) OutOfService(context.Context) error { return r.record("out") }
func (r *recorder) InService(context.Context) error    { return r.record("in") }

// serve serves a balancer until the test ends.
func serve(t *testing.T, balancer Balancer) (address string) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, listener, balancer) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// call sends the text of a request, and returns the status of the response.
func call(t *testing.T, address, text string) (status int) {
	t.Helper()
	conn := dial(t, address)
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	if _, err := io.ReadAll(answer.Body); err != nil || !answer.Close {
		t.Errorf("%.60q: %v, Connection: close is %v", text, err, answer.Close)
	}
	return answer.StatusCode
}

func TestCalls(t *testing.T) {
	longID := strings.Repeat("%61", 4096)
	for _, c := range []struct {
		name, line string
		err        error
		status     int
		calls      string
	}{
		{"ready", "GET /control/ready", nil, 200, "ready"},
		{"not ready", "GET /control/ready", ErrNotReady, 503, "ready"},
		{"offline", "POST /control/servers/s-1/offline", nil, 200, "offline s-1"},
		{"offline of an unknown server", "POST /control/servers/s-1/offline", fmt.Errorf("%w: %q", ErrUnknownServer, "s-1"), 404, "offline s-1"},
		{"online", "POST /control/servers/s-1/online", nil, 200, "online s-1"},
		{"an escaped id", "POST /control/servers/a%2Fb%20c/online", nil, 200, "online a/b c"},
		{"a long id", "POST /control/servers/" + longID + "/online", nil, 200, "online " + strings.Repeat("a", 4096)},
		{"an empty id", "POST /control/servers//offline", nil, 404, ""},
		{"out of service", "POST /control/out-of-service", nil, 200, "out"},
		{"in service", "POST /control/in-service", errors.New("draining"), 503, "in"},
		{"the wrong method", "GET /control/in-service", nil, 405, ""},
		{"the wrong method for ready", "POST /control/ready", nil, 405, ""},
		{"an unknown path", "POST /control/servers/s-1/away", nil, 404, ""},
		{"a bad escape", "POST /control/servers/%zz/offline", nil, 400, ""},
		{"not HTTP", "OPEN 1 2 c=x", nil, 400, ""},
		{"a header of 1 MiB", "GET /control/ready HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), nil, 431, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			balancer := &recorder{err: c.err}
			text := c.line
			if !strings.Contains(text, "HTTP/") {
				text += " HTTP/1.1\r\nHost: x\r\nContent-Length: 0"
			}
			text += "\r\n\r\n"
			// The server reads at most this much; unread bytes would reset the connection and lose the response.
			const maxRead = maxHeaderBytes + 4096
			if len(text) > maxRead {
				text = text[:maxRead]
			}
			status := call(t, serve(t, balancer), text)
			if calls := strings.Join(balancer.calls, ","); status != c.status || calls != c.calls {
				t.Errorf("status %d and calls %q, want %d and %q", status, calls, c.status, c.calls)
			}
		})
	}
}

// slowBalancer doesn't return from OutOfService before answer is closed.
type slowBalancer struct {
	recorder
	called, answer chan struct{}
}

func (s *slowBalancer) OutOfService(context.Context) error {
	close(s.called)
	<-s.answer
	return nil
}

// Idle connections are closed to make room for new ones, oldest first. A connection with a call in flight is not closed.
func TestIdleConnections(t *testing.T) {
	balancer := &slowBalancer{called: make(chan struct{}), answer: make(chan struct{})}
	address := serve(t, balancer)
	inFlight := make(chan int, 1)
	go func() {
		inFlight <- call(t, address, "POST /control/out-of-service HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	}()
	<-balancer.called
	var idle []net.Conn
	for i := range 3 * maxConnections {
		conn := dial(t, address)
		idle = append(idle, conn)
		if i%2 == 0 {
			_, _ = io.WriteString(conn, "G") // the server may have closed it
		}
	}
	if status := call(t, address, "GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != http.StatusOK {
		t.Errorf("status of a call after many idle connections: %d", status)
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(requestTimeout / 2))
	if _, err := idle[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the oldest idle connection is still open: %v", err)
	}
	close(balancer.answer)
	if status := <-inFlight; status != http.StatusOK {
		t.Errorf("status of the call in flight: %d", status)
	}
}
