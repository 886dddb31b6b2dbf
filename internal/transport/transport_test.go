package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// pipe gives one end as a Conn and the other as it is.
func pipe(t *testing.T) (*Conn, net.Conn) {
	a, b := net.Pipe()
	t.Cleanup(func() { a.Close(); b.Close() })
	_ = b.SetDeadline(time.Now().Add(10 * time.Second)) // a test that hangs is to fail
	return NewConn(a), b
}

// What reads a line must leave what follows it to the relay, and a line without an end must not fill the memory.
func TestRead(t *testing.T) {
	for _, c := range []struct {
		name, sent string
		want       []string
		err        error
	}{
		{"lines one by one", "PING\r\nOPEN a\r\n", []string{"PING\r\n", "OPEN a\r\n"}, io.EOF},
		{"a line in a large buffer's place", strings.Repeat("x", 700) + "\n" + "y\n", []string{strings.Repeat("x", 700) + "\n", "y\n"}, io.EOF},
		{"the longest", strings.Repeat("x", 4096) + "\r\n", []string{strings.Repeat("x", 4096) + "\r\n"}, io.EOF},
		{"a longer one", strings.Repeat("x", 4200) + "\r\n", nil, ErrTooLong},
		{"no end", "OPEN", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, far := pipe(t)
			go func() {
				for i := 0; i < len(c.sent); i += 100 { // in pieces that end anywhere
					if _, err := io.WriteString(far, c.sent[i:min(i+100, len(c.sent))]); err != nil {
						return
					}
				}
				far.Close()
			}()
			p := make([]byte, 8192)
			for _, want := range c.want {
				if n, err := conn.Read(p); err != nil || string(p[:n]) != want {
					t.Fatalf("read %q, %v; want %q", p[:n], err, want)
				}
			}
			if n, err := conn.Read(p); !errors.Is(err, c.err) || n > 0 {
				t.Errorf("at last %d bytes, %v; want %v", n, err, c.err)
			}
			if len(conn.buf) > longestLine {
				t.Errorf("the buffer grew to %d", len(conn.buf))
			}
		})
	}
}

// Relayed lines go on as they come; a stop falls between two of them.
func TestRelay(t *testing.T) {
	for _, c := range []struct {
		name, before, after string // sent before and after the stop
		passed, seen        string
		err                 error
	}{
		{"whole lines", "M 1\r\nM 2\r\n", "", "M 1\r\nM 2\r\n", "M 1|M 2|", ErrStopped},
		{"the rest of a line is waited for", "M 1\r\nM", " 2\r\n", "M 1\r\nM 2\r\n", "M 1|", ErrStopped},
		{"and nothing behind it", "M", " 2\r\nM 3\r\n", "M 2\r\n", "", ErrStopped},
		{"a line without end goes on, unseen", strings.Repeat("x", 9000), "\r\n", strings.Repeat("x", 9000) + "\r\n", "", ErrStopped},
	} {
		t.Run(c.name, func(t *testing.T) {
			src, from := pipe(t)
			dst, to := pipe(t)
			seen := ""
			done := make(chan error, 1)
			go func() { done <- Relay(dst, src, func(l []byte) { seen += string(l) + "|" }) }()
			got := make(chan string, 1)
			go func() {
				b := make([]byte, len(c.passed))
				n, _ := io.ReadFull(to, b)
				got <- string(b[:n])
			}()
			_, _ = io.WriteString(from, c.before) // a pipe: returns once it was read
			if len(c.before) > 0 && c.before[len(c.before)-1] == '\n' {
				<-got // it went on before the stop
				got <- c.passed
			}
			src.Stop()
			if c.after != "" {
				_, _ = io.WriteString(from, c.after)
			}
			if err := <-done; !errors.Is(err, c.err) {
				t.Errorf("ended with %v, want %v", err, c.err)
			}
			if g := <-got; g != c.passed || seen != c.seen {
				t.Errorf("passed %d bytes %.40q, seen %q; want %.40q, %q", len(g), g, seen, c.passed, c.seen)
			}
			if len(src.buf) > longestLine {
				t.Errorf("the buffer grew to %d", len(src.buf))
			}
		})
	}
	t.Run("an end is an end, not a break", func(t *testing.T) {
		src, from := pipe(t)
		dst, _ := pipe(t)
		from.Close()
		if err := Relay(dst, src, func([]byte) {}); !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
	})
	t.Run("a side that takes nothing is given up", func(t *testing.T) {
		src, from := pipe(t)
		dst, _ := pipe(t)
		go io.WriteString(from, "M 1\r\n")
		start := time.Now()
		var side *SideError
		if err := Relay(dst, src, func([]byte) {}); !errors.As(err, &side) || !side.Written {
			t.Errorf("ended with %v", err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("a line was held for %v", took)
		}
	})
}

// Closed with something unread, a connection is reset, and the reset overtakes the last line.
func TestFinishDeliversTheLastLine(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(far, "unread\r\n"); err != nil {
		t.Fatal(err)
	}
	room := NewDescriptorBudget(2, "")
	c := room.admit(context.Background(), raw)
	_, _ = c.Write([]byte("MOVE\r\n"))
	done := make(chan struct{})
	go func() { c.CloseGracefully(); c.Close(); close(done) }()
	if got, err := io.ReadAll(far); err != nil || string(got) != "MOVE\r\n" {
		t.Errorf("got %q, %v", got, err)
	}
	far.Close()
	<-done
	if left := room.Free(); left != 2 {
		t.Errorf("%d descriptors are free of 2", left)
	}
}

// shaky is a listener that fails in the ways a full machine does.
type shaky struct {
	*PausableListener
	fail []error
}

func (s *shaky) Accept() (net.Conn, error) {
	if len(s.fail) > 0 {
		err := s.fail[0]
		s.fail = s.fail[1:]
		return nil, err
	}
	return s.PausableListener.Accept()
}

// The accept loop outlives a lack of descriptors. Hundreds that say nothing, or have their last word, stop neither the
// accepts nor the flows: the longest idle goes first, and told so. What is in use stays, whatever comes.
func TestRoom(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &shaky{NewPausableListener(inner.(*net.TCPListener)), []error{syscall.EMFILE, syscall.ECONNABORTED}}
	const all = 4 * forClients
	r := NewDescriptorBudget(all, "GO\n")
	ctx, cancel := context.WithCancel(context.Background())
	in := make(chan *Conn, 1)
	var fars []net.Conn
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, r, func(c *Conn) { in <- c; <-ctx.Done(); c.Close() }) }()
	dial := func() (net.Conn, *Conn) {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fars = append(fars, c)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		return c, <-in
	}
	gone := func(far net.Conn) {
		t.Helper()
		if got, err := io.ReadAll(far); err != nil || string(got) != "GO\n" {
			t.Errorf("the longest idle was told %q, %v", got, err)
		}
	}
	_, busy := dial()
	if !busy.MarkActive() || !busy.AcquireServerSlot() {
		t.Fatal("no room for the first flow")
	}
	var idle []net.Conn
	for range all - 2 {
		far, _ := dial()
		idle = append(idle, far)
	}
	start := time.Now()
	_, late := dial() // all room is taken: the longest idle goes, once its line had the time to be read
	gone(idle[0])
	if took := time.Since(start); took > 5*fairTime {
		t.Errorf("accepted after %v", took)
	}
	if !late.MarkActive() || !late.AcquireServerSlot() {
		t.Error("idle connections stood in a flow's way")
	}
	gone(idle[1])
	const flows = (all - forClients) / 2 // make the servers' part full
	for n := 3; n <= flows+1; n++ {
		_, c := dial()
		if got := c.MarkActive() && c.AcquireServerSlot(); got != (n <= flows) {
			t.Errorf("flow %d has room: %v", n, got)
		}
	}
	late.ReleaseServerSlot()
	late.CloseGracefully()
	r.mu.Lock()
	if late.held != 0 || late.spot != nil || busy.spot != nil || busy.held != 2 {
		t.Error("what ended still counts, or what is in use was given up")
	}
	r.mu.Unlock()
	cancel()
	for _, far := range fars {
		far.Close()
	}
	if err := <-done; err != nil {
		t.Errorf("ended with %v", err)
	}
}

var dialer Dialer // the system's own

// A lack on this machine is told apart from a server that is not there.
func TestDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, err := dialer.Dial(context.Background(), l.Addr().String(), time.Second, nil); err == nil || errors.Is(err, ErrLocalResources) {
		t.Errorf("nobody there: %v", err)
	}
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	_, err = dialer.Dial(context.Background(), l.Addr().String(), time.Second, nil)
	if again := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); again != nil {
		t.Fatal(again)
	}
	if !errors.Is(err, ErrLocalResources) {
		t.Errorf("no descriptor left: %v", err)
	}
}

// What stands in the kernel's queue when the accepting ends, or waits for room, was accepted by this machine: each is served, and none reset.
func TestEndOfAccepting(t *testing.T) {
	for _, c := range []struct {
		name string
		room int
	}{{"in the queue", 100}, {"in the queue behind one that waits for room", 0}} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			const many = 20
			var fars []net.Conn
			for range many {
				far, err := net.Dial("tcp", inner.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				_ = far.SetDeadline(time.Now().Add(10 * time.Second)) // a test that hangs is to fail
				_, _ = io.WriteString(far, "OPEN\n")
				fars = append(fars, far)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // before the first is accepted
			g := NewPausableListener(inner.(*net.TCPListener))
			g.Finish()
			err = Serve(ctx, g, NewDescriptorBudget(c.room, ""), func(c *Conn) {
				p := make([]byte, 8)
				n, _ := c.Read(p)
				_, _ = c.Write(p[:n])
				c.CloseGracefully()
			})
			if err != nil {
				t.Errorf("ended with %v", err)
			}
			for i, far := range fars {
				if got, err := io.ReadAll(far); err != nil || string(got) != "OPEN\n" {
					t.Fatalf("connection %d hears %q, %v", i, got, err)
				}
			}
		})
	}
	t.Run("a gate that is shut leaves them to another process", func(t *testing.T) {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		file, err := inner.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		other, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		file.Close()
		far, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g := NewPausableListener(inner.(*net.TCPListener))
		g.Pause()
		if err := Serve(ctx, g, NewDescriptorBudget(9, ""), func(*Conn) { t.Error("it was taken") }); err != nil {
			t.Errorf("ended with %v", err)
		}
		_ = other.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
		c, err := other.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	})
}

// An idle connection costs nothing: neither side of a relay has the system probe it.
func TestNoKeepAlive(t *testing.T) {
	l, err := ListenShared("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialled, err := dialer.Dial(t.Context(), l.Addr().String(), time.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, c := range map[string]net.Conn{"accepted": accepted, "dialled": dialled.raw} {
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var probed int
		if err := errors.Join(raw.Control(func(fd uintptr) {
			probed, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		}), err); err != nil {
			t.Fatal(err)
		}
		if probed != 0 {
			t.Errorf("the %s connection is probed", name)
		}
	}
}
