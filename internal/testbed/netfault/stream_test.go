package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const testTimeout = 5 * time.Second // for operations that take milliseconds on an idle machine

// echoServer forwards connections from a to b, a stub that echoes what it receives, and returns the address to connect to.
func echoServer(t *testing.T, n *Network) string {
	t.Helper()
	l := NewListener("127.0.0.1:0")
	var stubs sync.WaitGroup
	if err := l.SetState(t.Context(), Open, func(listener net.Listener) {
		Serve(listener, func(near net.Conn) {
			forwarded, stub := Pipe()
			stubs.Go(func() {
				defer func() { _ = stub.Close() }()
				_, _ = io.Copy(stub, stub) // ends with the test
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

// roundTrip sends a text and waits for as many bytes. It returns how long that took, and the bytes.
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
		{name: "a lost chunk is retransmitted", out: Condition{Loss: 1}, least: retransmitDelay},
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
			timeout := 2 * testTimeout
			if test.blocked {
				timeout = 150 * time.Millisecond
			}
			took, received, err := roundTrip(conn, "hello", timeout)
			switch {
			case test.blocked && !isTimeout(err):
				t.Errorf("got %q, %v; want a timeout", received, err)
			case !test.blocked && (err != nil || (received == "hello") == test.corrupted):
				t.Errorf("got %q, %v; want \"hello\", corrupted: %v", received, err, test.corrupted)
			case took < test.least:
				t.Errorf("took %v, want at least %v", took, test.least)
			}
			if test.blocked {
				healAndReceive(t, n, conn)
			}
		})
	}
}

// healAndReceive removes all faults and expects the text of the earlier round trip to arrive once and complete.
func healAndReceive(t *testing.T, n *Network, conn net.Conn) {
	t.Helper()
	n.SetCondition("a", "b", Condition{})
	n.SetCondition("b", "a", Condition{})
	_ = conn.SetDeadline(time.Now().Add(2 * testTimeout))
	buffer := make([]byte, len("hello"))
	if _, err := io.ReadFull(conn, buffer); err != nil || string(buffer) != "hello" {
		t.Errorf("got %q, %v after all faults were removed, want \"hello\"", buffer, err)
	}
}

func TestResetAbortsEstablishedStreams(t *testing.T) {
	n := New(1)
	conn := dial(t, echoServer(t, n))
	if _, _, err := roundTrip(conn, "hello", testTimeout); err != nil {
		t.Fatal(err)
	}
	if count := n.Reset("b", "a"); count != 1 {
		t.Errorf("%d streams were reset, want 1", count)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("got %v, want a reset", err)
	}
}
