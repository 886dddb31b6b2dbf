// Package logging writes the process's log without ever blocking the goroutine that logs: if the output is a pipe that
// is not read, or a disk that hangs, log lines are lost but clients are still served.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const maxQueuedBytes = 256 << 10 // of lines waiting to be written

// Writer queues lines and writes them in a separate goroutine, which ends after Close. Lines that don't fit into the
// queue are dropped, and a line with their number is written instead.
type Writer struct {
	output io.Writer
	wake   chan struct{} // signalled when there is something to write or the writer is closed
	done   chan struct{} // closed after Close, once the queue has been written

	mu      sync.Mutex // guards the fields below
	lines   []byte
	dropped int // lines dropped since the last write
	closed  bool
}

// NewWriter starts a writer for an output that may block.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.lines)+len(line) <= maxQueuedBytes {
		w.lines = append(w.lines, line...)
	} else {
		w.dropped++
	}
	w.mu.Unlock()
	w.signal()
	return len(line), nil
}

// Close waits until the queue has been written or the timeout expires. If the output blocks for longer, the goroutine
// is left running.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		lines, closed := w.take()
		if len(lines) > 0 {
			_, _ = w.output.Write(lines) // a failure to write the log can't be reported anywhere
			continue
		}
		if closed {
			return
		}
		<-w.wake
	}
}

// take empties the queue and returns its lines, with a line that reports the dropped ones.
func (w *Writer) take() (lines []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.lines = w.lines, nil
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines dropped, the output is blocked\" lines=%d\n", w.dropped)
		w.dropped = 0
	}
	return lines, w.closed
}
