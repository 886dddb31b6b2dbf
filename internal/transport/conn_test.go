package transport

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Read must leave everything after a line to the relay, and a line without an end must not grow the buffer without
// bound.
func TestRead(t *testing.T) {
	for _, c := range []struct {
		name, sent string
		want       []string
		err        error
	}{
		{"lines one by one", "PING\r\nOPEN a\r\n", []string{"PING\r\n", "OPEN a\r\n"}, io.EOF},
		{"a short line after one that grew the buffer", strings.Repeat("x", 700) + "\n" + "y\n", []string{strings.Repeat("x", 700) + "\n", "y\n"}, io.EOF},
		{"the longest line", strings.Repeat("x", 4096) + "\r\n", []string{strings.Repeat("x", 4096) + "\r\n"}, io.EOF},
		{"a line that is too long", strings.Repeat("x", 4200) + "\r\n", nil, ErrTooLong},
		{"a line without an end", "OPEN", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, peer := pipe(t)
			go func() {
				defer closeQuietly(peer)
				for i := 0; i < len(c.sent); i += 100 { // in pieces that do not end with a line
					if _, err := io.WriteString(peer, c.sent[i:min(i+100, len(c.sent))]); err != nil {
						return
					}
				}
			}()
			p := make([]byte, 8192)
			for _, want := range c.want {
				if n, err := conn.Read(p); err != nil || string(p[:n]) != want {
					t.Fatalf("read %q, %v; want %q", p[:n], err, want)
				}
			}
			if n, err := conn.Read(p); !errors.Is(err, c.err) || n > 0 {
				t.Errorf("last read: %d bytes, %v; want %v", n, err, c.err)
			}
			if len(conn.buf) > maxLineBytes {
				t.Errorf("the buffer grew to %d bytes", len(conn.buf))
			}
		})
	}
}

// A connection that is closed with unread input is reset, and the reset can overtake the last line.
func TestCloseGracefullyDeliversLastLine(t *testing.T) {
	l := listen(t)
	peer := dialPeer(t, l)
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(peer, "unread\r\n"); err != nil {
		t.Fatal(err)
	}
	budget := NewDescriptorBudget(2, "")
	c := budget.admit(t.Context(), raw)
	_, _ = c.Write([]byte("MOVE\r\n"))
	done := make(chan struct{})
	go func() { defer close(done); c.CloseGracefully(); c.Close() }()
	if got, err := io.ReadAll(peer); err != nil || string(got) != "MOVE\r\n" {
		t.Errorf("the peer received %q, %v", got, err)
	}
	closeQuietly(peer)
	<-done
	if free := budget.Free(); free != 2 {
		t.Errorf("%d of 2 descriptors are free, want all", free)
	}
}
