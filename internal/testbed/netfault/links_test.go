package netfault

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// echo leads connections to a stand-in that says back what it hears, and gives the address of its gate.
func echo(t *testing.T, n *Net) string {
	t.Helper()
	g := NewGate("127.0.0.1:0")
	var parts sync.WaitGroup
	if err := g.Turn(Open, func(l net.Listener) {
		Accept(l, func(c net.Conn) {
			in, out := Pipe()
			parts.Go(func() {
				defer func() { _ = out.Close() }()
				_, _ = io.Copy(out, out)
			})
			n.Lead("a", "b", c, in, Tap{})
		})
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.End(); n.Close(); parts.Wait() })
	return g.Addr
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// say sends a word and waits for it to come back; it tells how long that took.
func say(c net.Conn, word string, wait time.Duration) (time.Duration, string, error) {
	began := time.Now()
	_ = c.SetDeadline(began.Add(wait))
	if _, err := io.WriteString(c, word); err != nil {
		return 0, "", err
	}
	b := make([]byte, len(word))
	_, err := io.ReadFull(c, b)
	return time.Since(began), string(b), err
}

func TestStreamUnderConditions(t *testing.T) {
	for _, x := range []struct {
		name       string
		out, back  Condition
		least      time.Duration
		silent, no bool // nothing comes back; what comes back is spoilt
	}{
		{name: "clear"},
		{name: "delay both ways", out: Condition{Delay: 60 * time.Millisecond}, back: Condition{Delay: 40 * time.Millisecond}, least: 100 * time.Millisecond},
		{name: "a lost piece is sent again", out: Condition{Loss: 1}, least: resendAfter},
		{name: "slow pipe", out: Condition{Rate: 50}, least: 80 * time.Millisecond},
		{name: "cut one way", out: Condition{Cut: true}, silent: true},
		{name: "cut the other way", back: Condition{Cut: true}, silent: true},
		{name: "mute", back: Condition{Mute: true}, silent: true},
		{name: "garbage", out: Condition{Garbage: 1}, no: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			n := New(1)
			c := dial(t, echo(t, n))
			n.Change("a", "b", func(d *Condition) { d.Become(x.out) })
			n.Change("b", "a", func(d *Condition) { d.Become(x.back) })
			wait := 10 * time.Second
			if x.silent {
				wait = 150 * time.Millisecond
			}
			took, got, err := say(c, "hello", wait)
			var late net.Error
			switch {
			case x.silent && (!errors.As(err, &late) || !late.Timeout()):
				t.Errorf("want silence, got %q, %v", got, err)
			case !x.silent && (err != nil || (got == "hello") == x.no):
				t.Errorf("got %q, %v", got, err)
			case took < x.least:
				t.Errorf("took %v, want %v at the least", took, x.least)
			}
			// What a cut kept back comes when it ends: nothing is lost or doubled.
			if x.silent {
				n.Change("a", "b", func(d *Condition) { d.Become(Condition{}) })
				n.Change("b", "a", func(d *Condition) { d.Become(Condition{}) })
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				b := make([]byte, 5)
				if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello" {
					t.Errorf("after the heal: %q, %v", b, err)
				}
			}
		})
	}
}

func TestResetBreaksWhatStands(t *testing.T) {
	n := New(1)
	c := dial(t, echo(t, n))
	if _, _, err := say(c, "hello", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if got := n.Reset("b", "a"); got != 1 {
		t.Errorf("broke %d streams", got)
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("want a reset, got %v", err)
	}
}

func TestGateStates(t *testing.T) {
	g := NewGate("127.0.0.1:0")
	defer g.End()
	serve := func(l net.Listener) { Accept(l, func(c net.Conn) { _ = c.Close() }) }
	for _, x := range []struct {
		to      State
		refused bool
		silent  bool
	}{{to: Open}, {to: Hole, silent: true}, {to: Shut, refused: true}, {to: Open}} {
		if err := g.Turn(x.to, serve); err != nil {
			t.Fatal(err)
		}
		c, err := (&net.Dialer{Timeout: 150 * time.Millisecond}).DialContext(t.Context(), "tcp", g.Addr)
		var late net.Error
		timeout := errors.As(err, &late) && late.Timeout()
		if timeout != x.silent || (err != nil && !timeout) != x.refused {
			t.Errorf("state %d: %v", x.to, err)
		}
		if c != nil {
			_ = c.Close()
		}
	}
}

// Two members tell each other addresses of the yard's; each hears the other as from what it told.
func TestPostLeadsDatagramsByTheirSpeaker(t *testing.T) {
	n := New(1)
	p := NewPost(n)
	defer p.Close()
	member := func(name Name, ip, told string) (*net.UDPConn, netip.AddrPort) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		at, err := p.Add(name, netip.MustParseAddr(told), netip.MustParseAddrPort(c.LocalAddr().String()))
		if err != nil {
			t.Fatal(err)
		}
		return c, at
	}
	a, toldA := member("a", "127.81.0.1", "127.82.0.1")
	b, toldB := member("b", "127.81.0.2", "127.82.0.2")
	hear := func(c *net.UDPConn, wait time.Duration) (string, netip.AddrPort, error) {
		buf := make([]byte, 100)
		_ = c.SetReadDeadline(time.Now().Add(wait))
		k, from, err := c.ReadFromUDPAddrPort(buf)
		return string(buf[:k]), from, err
	}
	say := func(c *net.UDPConn, to netip.AddrPort, word string) {
		if _, err := c.WriteToUDPAddrPort([]byte(word), to); err != nil {
			t.Fatal(err)
		}
	}
	say(a, toldB, "one")
	if got, from, err := hear(b, 5*time.Second); got != "one" || from != toldA {
		t.Errorf("heard %q from %v, %v; want it from %v", got, from, err, toldA)
	}
	n.Change("a", "b", func(c *Condition) { c.Cut = true })
	say(a, toldB, "two")
	if got, _, err := hear(b, 100*time.Millisecond); err == nil {
		t.Errorf("heard %q though cut", got)
	}
	say(b, toldA, "three")
	if got, _, err := hear(a, 5*time.Second); got != "three" {
		t.Errorf("the other way is open, but heard %q, %v", got, err)
	}
	n.Change("a", "b", func(c *Condition) { c.Become(Condition{Repeat: 1}) })
	say(a, toldB, "four")
	for range 2 {
		if got, _, err := hear(b, 5*time.Second); got != "four" {
			t.Errorf("want it twice, got %q, %v", got, err)
		}
	}
	if all, lost := n.Passed("a", "b"); all != 3 || lost != 1 {
		t.Errorf("passed %d, lost %d", all, lost)
	}
}
