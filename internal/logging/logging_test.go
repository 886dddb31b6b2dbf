package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// If the output does not block, all lines are written in order.
func TestLinesAreWritten(t *testing.T) {
	var output bytes.Buffer
	w := NewWriter(&output)
	want := ""
	for range 100 {
		_, _ = io.WriteString(w, "a line\n")
		want += "a line\n"
	}
	w.Close(10 * time.Second)
	if got := output.String(); got != want {
		t.Errorf("wrote %q", got)
	}
}

// If the output blocks, lines are queued up to maxQueuedBytes and then dropped, and their number is reported.
func TestBlockedOutput(t *testing.T) {
	reader, output := io.Pipe()
	w := NewWriter(output)
	line := strings.Repeat("x", 1<<10-1) + "\n"
	for range maxQueuedBytes>>10 + 300 {
		_, _ = io.WriteString(w, line)
	}
	w.Close(time.Millisecond) // does not wait for the output
	got := make(chan string)
	go func() {
		text, _ := io.ReadAll(reader)
		got <- string(text)
	}()
	<-w.done
	_ = output.Close()
	text := <-got
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the dropped lines are not reported")
	}
	if n := strings.Count(text, line); n < maxQueuedBytes>>10 || n > 2*maxQueuedBytes>>10 {
		t.Errorf("%d lines were queued", n)
	}
}
