package transport

import (
	"errors"
	"io"
	"strings"
	"testing"
)

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
			conn, peer := pipe(t)
			go func() {
				defer discard(peer)
				for i := 0; i < len(c.sent); i += 100 { // in pieces that end anywhere
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
				t.Errorf("at last %d bytes, %v; want %v", n, err, c.err)
			}
			if len(conn.buf) > maxLineBytes {
				t.Errorf("the buffer grew to %d bytes", len(conn.buf))
			}
		})
	}
}

// Closed with something unread, a connection is reset, and the reset overtakes the last line.
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
		t.Errorf("got %q, %v", got, err)
	}
	discard(peer)
	<-done
	if free := budget.Free(); free != 2 {
		t.Errorf("%d descriptors are free of 2", free)
	}
}
