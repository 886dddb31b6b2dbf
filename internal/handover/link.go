// Package handover implements the communication between a running process and its successor: the socket by which a
// successor finds that process, a link for requests and replies that can carry descriptors, and the state that is
// handed over. Package daemon decides when to hand over.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const writeTimeout = 2 * time.Second // a peer that doesn't read for longer is treated as gone

var (
	// ErrPeerGone says that the other process exited, or closed the link.
	ErrPeerGone = errors.New("the other process is gone")
	// ErrRefused says that the other process refused a request; the error text ends with the reason.
	ErrRefused = errors.New("refused by the other process")
)

// Request is a received request or notification.
type Request struct {
	Body  json.RawMessage
	Files []*os.File // closed when the handler returns; to keep one, duplicate it
}

// Response is a Handler's reply.
type Response struct {
	Body        any            // encoded as JSON
	Descriptors []syscall.Conn // sent with the reply
	// AfterSend, if not nil, is called after the reply was sent or failed to be sent. If it was not sent the other
	// process continues as if it had made no request: work that it would then do itself must not start earlier.
	AfterSend func(sent bool)
}

// Handler replies to one kind of request. An error refuses the request; the other process gets its text as the reason.
type Handler func(ctx context.Context, request Request) (Response, error)

// Link connects two processes of one balancer. Both ends can send requests and reply to them.
type Link struct {
	conn            *net.UnixConn
	handlers        map[string]Handler
	orderedHandlers map[string]Handler
	done            chan struct{} // closed when Run returns

	writeMu sync.Mutex // held while a frame is written

	mu         sync.Mutex // guards the fields below
	lastNumber uint64
	pending    map[uint64]chan frame // requests that await a reply; nil after the link has ended
}

// NewLink creates a link on a connection; Run serves it. Handlers run concurrently. Ordered handlers run one at a time,
// and each returns before the next frame is read. Neither map may change afterwards.
func NewLink(conn *net.UnixConn, handlers, orderedHandlers map[string]Handler) *Link {
	return &Link{
		conn:            conn,
		handlers:        handlers,
		orderedHandlers: orderedHandlers,
		done:            make(chan struct{}),
		pending:         map[uint64]chan frame{},
	}
}

// Done returns a channel that is closed when the link has ended and no handler runs any more.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link.
func (l *Link) Close() { _ = l.conn.Close() } // fails only if it is already closed

// Run serves the link until either end closes it, or ctx ends; handlers get ctx. The error is nil unless reading failed
// for another reason.
func (l *Link) Run(ctx context.Context) error {
	defer close(l.done)
	var running sync.WaitGroup
	defer running.Wait()
	defer l.Close()
	defer context.AfterFunc(ctx, l.Close)()
	for {
		f, err := readFrame(l.conn)
		if err != nil {
			l.failPending()
			if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) {
				return nil
			}
			return fmt.Errorf("read from the other process: %w", err)
		}
		ordered := l.orderedHandlers[f.Kind]
		switch {
		case f.IsReply:
			l.deliver(f)
		case ordered != nil:
			l.respond(ctx, f, ordered)
		default:
			running.Go(func() { l.respond(ctx, f, l.handlers[f.Kind]) })
		}
	}
}

// failPending fails all requests that await a reply.
func (l *Link) failPending() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, reply := range pending {
		close(reply)
	}
}

// deliver passes a reply to the request that awaits it.
func (l *Link) deliver(reply frame) {
	l.mu.Lock()
	waiting := l.pending[reply.Number]
	delete(l.pending, reply.Number)
	l.mu.Unlock()
	if waiting == nil { // the request was abandoned
		closeFiles(reply.files)
		return
	}
	waiting <- reply // doesn't block: the channel is buffered, and each request gets one reply
}

// respond runs the handler of a request and sends its reply, if one is expected.
func (l *Link) respond(ctx context.Context, request frame, handler Handler) {
	defer closeFiles(request.files)
	var response Response
	err := fmt.Errorf("unknown message kind %q", request.Kind)
	if handler != nil {
		response, err = handler(ctx, Request{Body: request.Body, Files: request.files})
	}
	sent := false
	if request.Number != 0 {
		sent = l.reply(request.Number, response, err)
	}
	if response.AfterSend != nil {
		response.AfterSend(sent)
	}
	if request.Number != 0 && !sent {
		l.Close()
	}
}

// reply sends a response, or the reason for a refusal, and reports whether that succeeded.
func (l *Link) reply(number uint64, response Response, refusal error) (sent bool) {
	f := frame{Number: number, IsReply: true}
	var body []byte
	if refusal == nil {
		body, refusal = json.Marshal(response.Body)
	}
	if refusal != nil {
		f.Refusal = refusal.Error()
	} else {
		f.Body, f.descriptors = body, response.Descriptors
	}
	return l.write(f) == nil
}

// Notify sends a message that expects no reply.
func (l *Link) Notify(kind string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode %s: %w", kind, err)
	}
	if err := l.write(frame{Kind: kind, Body: text}); err != nil {
		return fmt.Errorf("send %s: %w", kind, err)
	}
	return nil
}

// PendingReply is a request that awaits its reply.
type PendingReply struct {
	link   *Link
	kind   string
	number uint64
	reply  chan frame
	err    error // set if the request was not sent
}

// Request sends a request and descriptors, and doesn't wait for the reply. Requests and notifications arrive in the
// order of the calls. Wait must be called on the result: it closes files of a reply that arrives too late.
func (l *Link) Request(kind string, body any, descriptors ...syscall.Conn) *PendingReply {
	pending := &PendingReply{link: l, kind: kind, reply: make(chan frame, 1)}
	text, err := json.Marshal(body)
	if err != nil {
		pending.err = fmt.Errorf("encode %s: %w", kind, err)
		return pending
	}
	if pending.number, pending.err = l.register(pending.reply); pending.err != nil {
		return pending
	}
	request := frame{Kind: kind, Number: pending.number, Body: text, descriptors: descriptors}
	if l.write(request) != nil {
		l.Close() // Wait then returns ErrPeerGone
	}
	return pending
}

// register assigns a number to a request. Its reply is sent to the channel.
func (l *Link) register(reply chan frame) (number uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		return 0, ErrPeerGone
	}
	l.lastNumber++
	l.pending[l.lastNumber] = reply
	return l.lastNumber, nil
}

// Wait waits for the reply and decodes its body into into, unless that is nil. The caller closes the returned files.
// The error matches ErrRefused if the request was refused, and ErrPeerGone if the link ended.
func (p *PendingReply) Wait(ctx context.Context, into any) ([]*os.File, error) {
	if p.err != nil {
		return nil, p.err
	}
	select {
	case <-ctx.Done():
		p.abandon()
		return nil, ctx.Err()
	case reply, ok := <-p.reply:
		if !ok {
			return nil, ErrPeerGone
		}
		return p.decode(reply, into)
	}
}

// abandon stops waiting for the reply, and closes the files of a reply that was just delivered.
func (p *PendingReply) abandon() {
	p.link.mu.Lock()
	delete(p.link.pending, p.number)
	p.link.mu.Unlock()
	select {
	case reply := <-p.reply:
		closeFiles(reply.files)
	default:
	}
}

func (p *PendingReply) decode(reply frame, into any) ([]*os.File, error) {
	if reply.Refusal != "" {
		return nil, fmt.Errorf("%w: %s", ErrRefused, reply.Refusal)
	}
	if into == nil {
		return reply.files, nil
	}
	if err := json.Unmarshal(reply.Body, into); err != nil {
		closeFiles(reply.files)
		return nil, fmt.Errorf("decode the reply to %s: %w", p.kind, err)
	}
	return reply.files, nil
}

// write sends a frame. It fails if the other process doesn't read for writeTimeout. The frame is encoded before the
// timeout starts and outside the lock, so that a long one doesn't delay others.
func (l *Link) write(f frame) error {
	text, err := encodeFrame(f)
	if err != nil {
		return err
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeFrame(l.conn, text, f.descriptors)
}
