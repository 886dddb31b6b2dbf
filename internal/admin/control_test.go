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

// book writes down what is asked and answers with one error.
type book struct {
	asked []string
	err   error
}

func (b *book) note(s string) error { b.asked = append(b.asked, s); return b.err }

func (b *book) Ready() error                              { return b.note("ready") }
func (b *book) Offline(_ context.Context, s string) error { return b.note("offline " + s) }
func (b *book) Online(_ context.Context, s string) error  { return b.note("online " + s) }
func (b *book) OutOfService(context.Context) error        { return b.note("out") }
func (b *book) InService(context.Context) error           { return b.note("in") }

func serve(t *testing.T, b Balancer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, b) }()
	t.Cleanup(func() {
		if cancel(); <-done != nil {
			t.Error("the address did not end in order")
		}
	})
	return l.Addr().String()
}

// call sends a request as it stands, and gives the answer's code.
func call(t *testing.T, addr, text string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // a test that hangs is to fail
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	body, err := io.ReadAll(a.Body)
	if err != nil || !a.Close {
		t.Errorf("%.60q: %v, one call to a connection: %v", text, err, a.Close)
	}
	return a.StatusCode, strings.TrimSpace(string(body))
}

func TestCalls(t *testing.T) {
	long := strings.Repeat("%61", 4096)
	for _, c := range []struct {
		name, line string
		err        error
		code       int
		asked      string
	}{
		{"ready", "GET /control/ready", nil, 200, "ready"},
		{"not ready", "GET /control/ready", ErrNotReady, 503, "ready"},
		{"offline", "POST /control/servers/s-1/offline", nil, 200, "offline s-1"},
		{"offline of nobody", "POST /control/servers/s-1/offline", fmt.Errorf("%w: %q", ErrUnknown, "s-1"), 404, "offline s-1"},
		{"online", "POST /control/servers/s-1/online", nil, 200, "online s-1"},
		{"escapes", "POST /control/servers/a%2Fb%20c/online", nil, 200, "online a/b c"},
		{"a long id", "POST /control/servers/" + long + "/online", nil, 200, "online " + strings.Repeat("a", 4096)},
		{"no id", "POST /control/servers//offline", nil, 404, ""},
		{"out of service", "POST /control/out-of-service", nil, 200, "out"},
		{"in service", "POST /control/in-service", errors.New("draining"), 503, "in"},
		{"the wrong method", "GET /control/in-service", nil, 405, ""},
		{"the wrong method for ready", "POST /control/ready", nil, 405, ""},
		{"an unknown path", "POST /control/servers/s-1/away", nil, 404, ""},
		{"a bad escape", "POST /control/servers/%zz/offline", nil, 400, ""},
		{"no request", "OPEN 1 2 c=x", nil, 400, ""},
		{"a head of a megabyte", "GET /control/ready HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), nil, 431, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &book{err: c.err}
			text := c.line
			if !strings.Contains(text, "HTTP/") {
				text += " HTTP/1.1\r\nHost: x\r\nContent-Length: 0"
			}
			addr := serve(t, b)
			if text += "\r\n\r\n"; len(text) > longest+4096 {
				text = text[:longest+4096] // what is read of it at the most: more, unread, would reset the answer
			}
			code, _ := call(t, addr, text)
			if got := strings.Join(b.asked, ","); code != c.code || got != c.asked {
				t.Errorf("%d and %q, want %d and %q", code, got, c.code, c.asked)
			}
		})
	}
}

// Callers that say nothing make room for those that do, the oldest first; a call that is under way is never closed for it.
func TestStallingCallers(t *testing.T) {
	b := &slow{asked: make(chan struct{}), answer: make(chan struct{})}
	addr := serve(t, b)
	under, stalls := make(chan int, 1), []net.Conn(nil)
	go func() {
		code, _ := call(t, addr, "POST /control/out-of-service HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		under <- code
	}()
	<-b.asked
	for i := range 3 * atOnce {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		stalls = append(stalls, c)
		if i%2 == 0 {
			_, _ = io.WriteString(c, "G")
		}
	}
	if code, _ := call(t, addr, "GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"); code != 200 {
		t.Errorf("a call behind stalling ones is answered %d", code)
	}
	_ = stalls[0].SetReadDeadline(time.Now().Add(within / 2))
	if _, err := stalls[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the oldest that stalls is still there: %v", err)
	}
	close(b.answer)
	if code := <-under; code != 200 {
		t.Errorf("the call under way is answered %d", code)
	}
}

type slow struct {
	book
	asked, answer chan struct{}
}

func (s *slow) OutOfService(context.Context) error { close(s.asked); <-s.answer; return nil }
