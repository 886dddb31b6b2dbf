// Package handover carries what passes between a running process and its successor: the socket by which they find
// each other, a link of requests and replies with descriptors beside them, and the state that is handed over. It
// decides nothing.
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

const writeTimeout = 2 * time.Second // a process that reads nothing for longer counts as gone

var (
	// ErrPeerGone says that the other process ended, or closed the link.
	ErrPeerGone = errors.New("the other process is gone")
	// ErrRefused says that the other process refused a request; its reason follows.
	ErrRefused = errors.New("refused by the other process")
)

// Request is what a Handler is asked.
type Request struct {
	Body  json.RawMessage
	Files []*os.File // closed once the handler returns: what it keeps of them is a copy
}

// Response is a Handler's reply.
type Response struct {
	Body        any            // encoded as JSON
	Descriptors []syscall.Conn // passed on beside it
	// AfterSend, if not nil, runs once the reply was sent or could not be. Unless it was sent the other process
	// continues as if it had not asked: nothing may have been done that it would do again.
	AfterSend func(sent bool)
}

// Handler replies to one kind of request; an error refuses it, and its text is the reason that the other process gets.
type Handler func(ctx context.Context, request Request) (Response, error)

// Link joins two processes of one balancer. Both ends send requests and reply to them.
type Link struct {
	conn            *net.UnixConn
	handlers        map[string]Handler
	orderedHandlers map[string]Handler
	gone            chan struct{} // closed as Run returns

	writeMu sync.Mutex // one frame is written at a time

	mu         sync.Mutex // guards the fields below
	lastNumber uint64
	pending    map[uint64]chan frame // requests that await a reply; nil once the link ended
}

// NewLink makes a link of a connection; Run makes it live. Handlers run beside each other. Ordered handlers run
// one after the other, each to its end before anything that was sent later is looked at. Neither map may change
// afterwards.
func NewLink(conn *net.UnixConn, handlers, orderedHandlers map[string]Handler) *Link {
	return &Link{
		conn:            conn,
		handlers:        handlers,
		orderedHandlers: orderedHandlers,
		gone:            make(chan struct{}),
		pending:         map[uint64]chan frame{},
	}
}

// Gone is closed when the link has ended and no handler runs any more.
func (l *Link) Gone() <-chan struct{} { return l.gone }

// Close ends the link.
func (l *Link) Close() { _ = l.conn.Close() } // fails only where it is closed already

// Run serves the link until it is closed, at either end, or ctx ends; handlers get ctx. The error is nil where the
// link ended in order.
func (l *Link) Run(ctx context.Context) error {
	defer close(l.gone)
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

// failPending ends all requests that await a reply.
func (l *Link) failPending() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, reply := range pending {
		close(reply)
	}
}

// deliver gives a reply to the request that awaits it.
func (l *Link) deliver(reply frame) {
	l.mu.Lock()
	waiting := l.pending[reply.Number]
	delete(l.pending, reply.Number)
	l.mu.Unlock()
	if waiting == nil { // given up on meanwhile
		closeFiles(reply.files)
		return
	}
	waiting <- reply // has room for one, and gets no second
}

// respond runs the handler of a request and sends its reply, where one is expected.
func (l *Link) respond(ctx context.Context, request frame, handler Handler) {
	defer closeFiles(request.files)
	var response Response
	err := fmt.Errorf("unknown question %q", request.Kind)
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

// reply sends a response, or the reason of a refusal, and reports whether it was sent.
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

// PendingReply is the reply to a request that was sent.
type PendingReply struct {
	link   *Link
	kind   string
	number uint64
	reply  chan frame
	err    error // why the request was not sent
}

// Request sends a request, with descriptors beside it, and returns at once. Requests and notices arrive in the
// order of the calls. Wait must be called on the result: it closes files that come too late.
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
		l.Close() // which ends the wait with ErrPeerGone
	}
	return pending
}

// register takes the next number for a request whose reply goes to the channel.
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

// Wait waits for the reply and decodes its body into a variable, unless that is nil. The files that came are the
// caller's to close. A refusal is ErrRefused, the end of the link ErrPeerGone.
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

// abandon gives up on the reply, and closes files that came in this instant.
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

// write sends a frame. A process that doesn't read fails it after a while; the time that a long frame takes to
// encode doesn't count, and keeps no other frame waiting.
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
