package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const patience = 5 * time.Second // for what comes at once on a machine with nothing to do

// echoServer forwards connections from a to b, a stub that sends back what it receives, and returns the address to connect to.
func echoServer(t *testing.T, n *Network) string {
	t.Helper()
	l := NewListener("127.0.0.1:0")
	var stubs sync.WaitGroup
	if err := l.Transition(t.Context(), Open, func(listener net.Listener) {
		Serve(listener, func(near net.Conn) {
			forwarded, stub := Pipe()
			stubs.Go(func() {
				defer func() { _ = stub.Close() }()
				_, _ = io.Copy(stub, stub) // it ends with the test
			})
			n.Forward("a", "b", near, forwarded, Tap{})
		})
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); n.Close(); stubs.Wait() })
	return l.Address
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// roundTrip sends a text, waits for as many bytes and tells how long they took.
func roundTrip(conn net.Conn, text string, timeout time.Duration) (took time.Duration, received string, err error) {
	start := time.Now()
	_ = conn.SetDeadline(start.Add(timeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, "", err
	}
	buffer := make([]byte, len(text))
	_, err = io.ReadFull(conn, buffer)
	return time.Since(start), string(buffer), err
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

func TestStreamUnderConditions(t *testing.T) {
	for _, test := range []struct {
		name      string
		out, back Condition
		least     time.Duration
		blocked   bool
		corrupted bool
	}{
		{name: "clear"},
		{
			name:  "delay both ways",
			out:   Condition{Delay: 60 * time.Millisecond},
			back:  Condition{Delay: 40 * time.Millisecond},
			least: 100 * time.Millisecond,
		},
		{name: "a lost piece is sent again", out: Condition{Loss: 1}, least: retransmitDelay},
		{name: "limited rate", out: Condition{Rate: 50}, least: 80 * time.Millisecond},
		{name: "cut one way", out: Condition{Cut: true}, blocked: true},
		{name: "cut the other way", back: Condition{Cut: true}, blocked: true},
		{name: "stalled", back: Condition{Stalled: true}, blocked: true},
		{name: "corruption", out: Condition{Corruption: 1}, corrupted: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			n := New(1)
			conn := dial(t, echoServer(t, n))
			n.SetCondition("a", "b", test.out)
			n.SetCondition("b", "a", test.back)
			timeout := 2 * patience
			if test.blocked {
				timeout = 150 * time.Millisecond
			}
			took, received, err := roundTrip(conn, "hello", timeout)
			switch {
			case test.blocked && !isTimeout(err):
				t.Errorf("want silence, got %q, %v", received, err)
			case !test.blocked && (err != nil || (received == "hello") == test.corrupted):
				t.Errorf("got %q, %v", received, err)
			case took < test.least:
				t.Errorf("took %v, want %v at the least", took, test.least)
			}
			if test.blocked {
				healAndReceive(t, n, conn)
			}
		})
	}
}

// healAndReceive clears the path: what was held back arrives, and nothing is lost or doubled.
func healAndReceive(t *testing.T, n *Network, conn net.Conn) {
	t.Helper()
	n.SetCondition("a", "b", Condition{})
	n.SetCondition("b", "a", Condition{})
	_ = conn.SetDeadline(time.Now().Add(2 * patience))
	buffer := make([]byte, len("hello"))
	if _, err := io.ReadFull(conn, buffer); err != nil || string(buffer) != "hello" {
		t.Errorf("after the heal: %q, %v", buffer, err)
	}
}

func TestResetAbortsEstablishedStreams(t *testing.T) {
	n := New(1)
	conn := dial(t, echoServer(t, n))
	if _, _, err := roundTrip(conn, "hello", patience); err != nil {
		t.Fatal(err)
	}
	if count := n.Reset("b", "a"); count != 1 {
		t.Errorf("%d streams were reset, want 1", count)
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("want a reset, got %v", err)
	}
}
