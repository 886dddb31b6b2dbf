package transport

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// Lines are relayed as they arrive, and a stopped relay ends between two lines.
func TestRelay(t *testing.T) {
	for _, c := range []stoppedRelay{
		{"complete lines", "M 1\r\nM 2\r\n", "", "M 1\r\nM 2\r\n", "M 1|M 2|"},
		{"a stop waits for the rest of a line", "M 1\r\nM", " 2\r\n", "M 1\r\nM 2\r\n", "M 1|"},
		{"nothing after the rest of a line is relayed", "M", " 2\r\nM 3\r\n", "M 2\r\n", ""},
		{"a line that is too long is relayed without onLine", strings.Repeat("x", 9000), "\r\n", strings.Repeat("x", 9000) + "\r\n", ""},
	} {
		t.Run(c.name, c.run)
	}
	t.Run("the end of the source is io.EOF", func(t *testing.T) {
		src, from := pipe(t)
		dst, _ := pipe(t)
		closeQuietly(from)
		if err := Relay(dst, src, func([]byte) {}); !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
	})
	t.Run("a write to a peer that does not read times out", func(t *testing.T) {
		src, from := pipe(t)
		dst, _ := pipe(t)
		go func() { _, _ = io.WriteString(from, "M 1\r\n") }()
		start := time.Now()
		var side *SideError
		if err := Relay(dst, src, func([]byte) {}); !errors.As(err, &side) || !side.IsWriteSide {
			t.Errorf("ended with %v", err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("the write timed out after %v", took)
		}
	})
}

// stoppedRelay is a relay that is stopped after some input, with more input sent after the stop.
type stoppedRelay struct {
	name, before, after string
	relayed, seen       string
}

func (c stoppedRelay) run(t *testing.T) {
	src, from := pipe(t)
	dst, to := pipe(t)
	seen := ""
	done := make(chan error, 1)
	go func() { done <- Relay(dst, src, func(line []byte) { seen += string(line) + "|" }) }()
	received := make(chan string, 1)
	go func() {
		b := make([]byte, len(c.relayed))
		n, _ := io.ReadFull(to, b)
		received <- string(b[:n])
	}()
	_, _ = io.WriteString(from, c.before) // a write to a pipe returns once it has been read
	if strings.HasSuffix(c.before, "\n") {
		got := <-received // it was relayed before the stop
		received <- got
	}
	src.Stop()
	if c.after != "" {
		_, _ = io.WriteString(from, c.after)
	}
	if err := <-done; !errors.Is(err, ErrStopped) {
		t.Errorf("ended with %v, want %v", err, ErrStopped)
	}
	if got := <-received; got != c.relayed || seen != c.seen {
		t.Errorf("relayed %d bytes %.40q, lines seen %q; want %.40q, %q", len(got), got, seen, c.relayed, c.seen)
	}
	if len(src.buf) > maxLineBytes {
		t.Errorf("the buffer grew to %d bytes", len(src.buf))
	}
}
