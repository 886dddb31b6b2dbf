package transport

import (
	"io"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// lineTime is the time of work for one line of a busy relay.
const lineTime = 100 * time.Microsecond

// endlessConn always has a line to read, and accepts all output.
type endlessConn struct {
	net.Conn
	lines  atomic.Int64 // that have been relayed
	closed atomic.Bool
}

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, io.EOF
	}
	return copy(p, "M\n"), nil
}

// onLine works for lineTime, and doesn't wait.
func (c *endlessConn) onLine([]byte) {
	for start := time.Now(); time.Since(start) < lineTime; {
		continue
	}
	c.lines.Add(1)
}

func (c *endlessConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *endlessConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }

// startEndlessRelays starts relays with endless input, which end with the test.
func startEndlessRelays(t *testing.T, count int) (relays []*endlessConn) {
	t.Helper()
	ended := make(chan struct{}, count)
	for range count {
		raw := &endlessConn{}
		relays = append(relays, raw)
		go func() {
			_ = Relay(NewConn(raw), NewConn(raw), raw.onLine) // ends with io.EOF
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		for _, raw := range relays {
			raw.closed.Store(true)
		}
		for range relays {
			<-ended
		}
	})
	return relays
}

// Guards against a client with endless input that delays the answers of all others: another connection's line is relayed
// both ways within few lines of the busy relays. Without rests, 200 lines and more go between.
func TestBusyRelaysLetOthersHaveTurns(t *testing.T) {
	const (
		roundTrips = 40
		maxLines   = 100
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, busy := range []int{1, 4} {
		l := listen(t)
		near := dialPeer(t, l)
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = Relay(NewConn(far), NewConn(far), func([]byte) {}) }() // echoes, until the connection is closed
		relays := startEndlessRelays(t, busy)
		totalLines := func() (total int64) {
			for _, raw := range relays {
				total += raw.lines.Load()
			}
			return total
		}
		for totalLines() < maxLines {
			runtime.Gosched()
		}
		var linesBetween []int64
		line := make([]byte, len("M 1\n"))
		for range roundTrips {
			before := totalLines()
			if _, err := io.WriteString(near, "M 1\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(near, line); err != nil {
				t.Fatal(err)
			}
			linesBetween = append(linesBetween, totalLines()-before)
			time.Sleep(2 * maxTurn) // as a client does between two lines
		}
		slices.Sort(linesBetween)
		if median := linesBetween[roundTrips/2]; median > maxLines {
			t.Errorf("%d busy relays: %d lines of theirs between a line and its echo in the median, want at most %d", busy, median, maxLines)
		}
		t.Logf("%d busy relays: lines between a line and its echo %v", busy, linesBetween)
	}
}

// A busy relay rests only while another client has work: alone it relays as fast as it can.
func TestLoneRelayDoesNotRest(t *testing.T) {
	client, other := &Conn{}, &Conn{}
	now := processStart.Add(time.Hour)
	due := maxTurn * time.Duration(runtime.GOMAXPROCS(0))
	processors := runtime.GOMAXPROCS(0)
	for _, c := range []struct {
		name  string
		input func(*turns)
		busy  int // relays
		rests bool
	}{
		{"alone", func(*turns) {}, processors, false},
		{"its server answers", func(t *turns) { t.onInput(client, now) }, processors, false},
		{"another client's line", func(t *turns) { t.onInput(other, now) }, processors, true},
		{"another client's line, and a processor is left", func(t *turns) { t.onInput(other, now) }, processors - 1, false},
		{"another client's line, then an answer of its server", func(t *turns) {
			t.onInput(other, now)
			t.onInput(client, now)
		}, processors, true},
		{"another client's line long ago", func(t *turns) { t.onInput(other, now.Add(-2*activeTime)) }, processors, false},
	} {
		var relays turns
		relays.working.Store(int64(c.busy))
		c.input(&relays)
		for work := time.Duration(0); work < due; work += maxTurn {
			relays.addWork(client, maxTurn, now)
		}
		if got := relays.restUntil.Load() > 0; got != c.rests {
			t.Errorf("%s: rests is %v, want %v", c.name, got, c.rests)
		}
	}
}

// Relays that have ended don't count as working.
func TestEndedRelaysDoNotCountAsWorking(t *testing.T) {
	t.Run("relays", func(t *testing.T) {
		for _, raw := range startEndlessRelays(t, 4) {
			for raw.lines.Load() < 100 {
				runtime.Gosched()
			}
		}
	})
	if n := relayTurns.working.Load(); n != 0 {
		t.Errorf("%d relays count as working after all have ended", n)
	}
}
