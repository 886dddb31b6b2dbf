package netfault

import (
	"net"
	"testing"
	"time"
)

func closeAll(l net.Listener) { Serve(l, func(conn net.Conn) { _ = conn.Close() }) }

// connect opens a connection and closes it.
func connect(t *testing.T, address string, timeout time.Duration) error {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(t.Context(), "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

func TestListenerStates(t *testing.T) {
	l := NewListener("127.0.0.1:0")
	defer l.Close()
	for _, step := range []struct {
		to      ListenerState
		refused bool
		silent  bool
	}{{to: Open}, {to: Unresponsive, silent: true}, {to: Closed, refused: true}, {to: Open}} {
		if err := l.SetState(t.Context(), step.to, closeAll); err != nil {
			t.Fatal(err)
		}
		err := connect(t, l.Address, 150*time.Millisecond)
		if isTimeout(err) != step.silent || (err != nil && !isTimeout(err)) != step.refused {
			t.Errorf("in state %d connect returned %v; want a refusal: %v, a timeout: %v", step.to, err, step.refused, step.silent)
		}
	}
}

// Many listeners of one machine become unresponsive at the same time: connections to each of them time out, and all accept connections
// again when they are reopened.
func TestManyListenersBecomeUnresponsive(t *testing.T) {
	const count, unresponsiveTimeout = 40, 20 * time.Millisecond
	var listeners []*Listener
	for range count {
		l := NewListener("127.77.250.1:0")
		defer l.Close()
		if err := l.SetState(t.Context(), Open, closeAll); err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
	}
	for _, to := range []ListenerState{Unresponsive, Open, Unresponsive, Closed, Open} {
		for _, l := range listeners {
			if err := l.SetState(t.Context(), to, closeAll); err != nil {
				t.Fatal(err)
			}
		}
		for _, l := range listeners {
			timeout := unresponsiveTimeout
			if to != Unresponsive {
				timeout = testTimeout
			}
			err := connect(t, l.Address, timeout)
			if (to == Open) != (err == nil) || (to == Unresponsive) != isTimeout(err) {
				t.Errorf("%s in state %v: connect returned %v; want no error only in state %v, a timeout only in state %v",
					l.Address, to, err, Open, Unresponsive)
			}
		}
	}
}
