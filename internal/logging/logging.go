// Package logging writes the process's log without ever blocking the goroutine that logs: a pipe that nobody
// reads, or a disk that hangs, costs lines and no answer to a client.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const maxQueuedBytes = 256 << 10 // of lines that wait to be written

// Writer queues lines and writes them in a separate goroutine, which ends after Close. Lines that don't fit into
// the queue are dropped, and their number is written in their place.
type Writer struct {
	output io.Writer
	wake   chan struct{} // receives once there is something to write, or the writer is closed
	done   chan struct{} // closed once all is written after Close

	mu      sync.Mutex // guards the fields below
	lines   []byte
	dropped int // lines, since the last write
	closed  bool
}

// NewWriter starts a writer to an output that may block.
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

// Close writes what is queued, and returns once that is done or the timeout is over. An output that blocks for
// longer keeps the goroutine.
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
			_, _ = w.output.Write(lines) // there is nowhere to report that the log can't be written
			continue
		}
		if closed {
			return
		}
		<-w.wake
	}
}

// take empties the queue.
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
