// Package simulator joins the decisions to the simulator's wire. It decodes events into calls and encodes actions; the
// wire's names end here, and nothing is decided here.
package simulator

import (
	"bufio"
	"fmt"
	"io"
)

const (
	bufferSize  = 1 << 16 // bytes
	listNumbers = 16
)

// host is one process. The instances on it share nothing but the numbered lists.
type host struct {
	decoder
	out       *bufio.Writer
	now       int64     // of the batch in hand, in nanoseconds
	current   *instance // that the events are for
	answering int       // the instance that the last actions are of; -1: none in this batch
	instances map[int]*instance
	lists     [listNumbers][]listEntry
}

// Run serves until the input ends. An error for bad input names the line and its fault.
func Run(in io.Reader, out io.Writer) error {
	h := &host{
		decoder:   decoder{in: bufio.NewReaderSize(in, bufferSize)},
		out:       newWriter(out),
		instances: map[int]*instance{},
	}
	for {
		ok, err := h.next()
		if err != nil || !ok {
			return err
		}
		if h.messageType() != msgBeginBatch {
			return h.errorf("want BEGIN_BATCH, got %q", h.messageType())
		}
		if err := h.batch(); err != nil {
			return err
		}
		h.write(msgAnswered)
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("write answers to the batch that ends at line %d: %w", h.line, err)
		}
	}
}

func newWriter(w io.Writer) *bufio.Writer { return bufio.NewWriterSize(w, bufferSize) }

// write writes a line. Errors need no check here: the writer keeps the first one for Flush at the end of the batch.
func (h *host) write(line string) {
	_, _ = h.out.WriteString(line)
	_ = h.out.WriteByte('\n')
}

// batch handles the lines of one batch.
func (h *host) batch() error {
	h.now = h.integer(batchTimeField)
	h.current = nil
	h.answering = -1
	for {
		ok, err := h.next()
		if err != nil {
			return err
		}
		if !ok {
			return h.errorf("the input ends within a batch")
		}
		if h.messageType() == msgEndBatch {
			return h.err
		}
		if err := h.handleMessage(); err != nil {
			return err
		}
		if h.err != nil {
			return h.err
		}
	}
}

// handleMessage handles one line of a batch.
func (h *host) handleMessage() error {
	switch h.messageType() {
	case msgInstance:
		h.selectInstance()
		return h.err
	case msgList:
		return h.readList()
	}
	in := h.current
	if in == nil {
		return h.errorf("%s without FOR", h.messageType())
	}
	if in.balancer == nil && h.messageType() != msgStart {
		return h.errorf("%s for an unknown instance %d", h.messageType(), in.id)
	}
	in.handle()
	return h.err
}

func (h *host) selectInstance() {
	id := int(h.requiredInteger(instanceField))
	if h.err != nil {
		return
	}
	h.current = h.instances[id]
	if h.current == nil {
		h.current = &instance{host: h, id: id}
		h.instances[id] = h.current
	}
}
