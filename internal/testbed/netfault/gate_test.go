package netfault

import (
	"errors"
	"net"
	"testing"
	"time"
)

// A machine with many doors goes silent at once: what comes to any of them gets no answer, and all take connections again after that.
func TestManyHoles(t *testing.T) {
	const doors, patience = 40, 20 * time.Millisecond
	accept := func(l net.Listener) { Accept(l, func(c net.Conn) { _ = c.Close() }) }
	var gates []*Gate
	for range doors {
		g := NewGate("127.77.250.1:0")
		defer g.End()
		if err := g.Turn(Open, accept); err != nil {
			t.Fatal(err)
		}
		gates = append(gates, g)
	}
	for _, to := range []State{Hole, Open, Hole, Shut, Open} {
		for _, g := range gates {
			if err := g.Turn(to, accept); err != nil {
				t.Fatal(err)
			}
		}
		for _, g := range gates {
			within := patience
			if to != Hole {
				within = 5 * time.Second // a machine may be busy
			}
			c, err := (&net.Dialer{Timeout: within}).DialContext(t.Context(), "tcp", g.Addr)
			if c != nil {
				_ = c.Close()
			}
			var e net.Error
			silent := errors.As(err, &e) && e.Timeout()
			if (to == Open) != (err == nil) || (to == Hole) != silent {
				t.Errorf("%s is %v: %v", g.Addr, to, err)
			}
		}
	}
}
