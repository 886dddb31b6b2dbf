// Package simulator connects instances of package decide to the simulator by its wire format. It decodes events into
// calls and encodes actions. The names of the wire format are used in this package only. The package decides
// nothing itself.
package simulator

import (
	"bufio"
	"fmt"
	"io"
)

const (
	bufferSize = 1 << 16 // bytes
	maxLists   = 16      // how many numbered lists there are
)

// host holds the instances of one process. They share nothing but the numbered lists.
type host struct {
	decoder
	out        *bufio.Writer
	now        int64     // time of the current batch, in nanoseconds
	current    *instance // instance that the next events are for; nil: none named yet in this batch
	lastActing int       // id of the instance whose actions were written last; -1: none in this batch
	instances  map[int]*instance
	lists      [maxLists][]listEntry
}

// Run handles batches of events until the input ends. An error for bad input names the line and what is wrong there.
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
		if err := h.handleBatch(); err != nil {
			return err
		}
		h.write(msgBatchAnswered)
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("write answers to the batch that ends at line %d: %w", h.line, err)
		}
	}
}

func newWriter(w io.Writer) *bufio.Writer { return bufio.NewWriterSize(w, bufferSize) }

// write writes a line. Errors are not checked here: the writer returns the first one from Flush at the end of the batch.
func (h *host) write(line string) {
	_, _ = h.out.WriteString(line)
	_ = h.out.WriteByte('\n')
}

// handleBatch handles the messages of one batch.
func (h *host) handleBatch() error {
	h.now = h.integer(batchTimeField)
	h.current = nil
	h.lastActing = -1
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

// handleMessage handles one message of a batch.
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
