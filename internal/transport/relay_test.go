package transport

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// Relayed lines are passed on as they come; a stop falls between two of them.
func TestRelay(t *testing.T) {
	for _, c := range []stoppedRelay{
		{"complete lines", "M 1\r\nM 2\r\n", "", "M 1\r\nM 2\r\n", "M 1|M 2|"},
		{"the rest of a line is waited for", "M 1\r\nM", " 2\r\n", "M 1\r\nM 2\r\n", "M 1|"},
		{"and nothing behind it", "M", " 2\r\nM 3\r\n", "M 2\r\n", ""},
		{"a line without end is passed on unseen", strings.Repeat("x", 9000), "\r\n", strings.Repeat("x", 9000) + "\r\n", ""},
	} {
		t.Run(c.name, c.run)
	}
	t.Run("an end is an end, not an error", func(t *testing.T) {
		src, from := pipe(t)
		dst, _ := pipe(t)
		discard(from)
		if err := Relay(dst, src, func([]byte) {}); !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
	})
	t.Run("a side that takes nothing is given up", func(t *testing.T) {
		src, from := pipe(t)
		dst, _ := pipe(t)
		go func() { _, _ = io.WriteString(from, "M 1\r\n") }()
		start := time.Now()
		var side *SideError
		if err := Relay(dst, src, func([]byte) {}); !errors.As(err, &side) || !side.IsWriteSide {
			t.Errorf("ended with %v", err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("a line was held for %v", took)
		}
	})
}

// stoppedRelay is a relay that is stopped between what is sent before and after.
type stoppedRelay struct {
	name, before, after string
	passed, seen        string
}

func (c stoppedRelay) run(t *testing.T) {
	src, from := pipe(t)
	dst, to := pipe(t)
	seen := ""
	done := make(chan error, 1)
	go func() { done <- Relay(dst, src, func(line []byte) { seen += string(line) + "|" }) }()
	received := make(chan string, 1)
	go func() {
		b := make([]byte, len(c.passed))
		n, _ := io.ReadFull(to, b)
		received <- string(b[:n])
	}()
	_, _ = io.WriteString(from, c.before) // a pipe: returns once it was read
	if strings.HasSuffix(c.before, "\n") {
		got := <-received // it was passed on before the stop
		received <- got
	}
	src.Stop()
	if c.after != "" {
		_, _ = io.WriteString(from, c.after)
	}
	if err := <-done; !errors.Is(err, ErrStopped) {
		t.Errorf("ended with %v, want %v", err, ErrStopped)
	}
	if got := <-received; got != c.passed || seen != c.seen {
		t.Errorf("passed %d bytes %.40q, seen %q; want %.40q, %q", len(got), got, seen, c.passed, c.seen)
	}
	if len(src.buf) > maxLineBytes {
		t.Errorf("the buffer grew to %d bytes", len(src.buf))
	}
}
