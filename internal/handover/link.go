// Package handover is what passes between a running process and its successor, through a folder that both have. It decides
// nothing: it carries frames, descriptors and a small file.
package handover

import (
	"context"
	"encoding/binary"
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

const (
	longestFrame = 8 << 20
	mostFiles    = 8
	writeWithin  = 2 * time.Second // a process that takes nothing for longer is as good as gone
)

var (
	// ErrPeerGone says that the other process ended, or can't be understood.
	ErrPeerGone = errors.New("the other process is gone")
	// ErrRefused is the other process's no, with its reason.
	ErrRefused = errors.New("refused by the other process")
)

// frame is one message. An answer carries the number of what it answers.
type frame struct {
	Kind   string          `json:"kind,omitempty"`
	Number uint64          `json:"number,omitempty"` // 0: no answer is wanted
	Answer bool            `json:"answer,omitempty"`
	Bad    string          `json:"bad,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`

	files  []*os.File     // that came beside it
	beside []syscall.Conn // whose descriptors go beside it
}

// Handler answers one kind of question. What it returns is the answer, with what goes beside it, if anything. The files that
// came are closed after it: what it keeps of them is a copy.
type Handler func(body []byte, files []*os.File) (answer any, beside []syscall.Conn, err error)

// After is an answer that says yes, and what is done once it is on its way. Where it could not be written the other process goes on as if
// there had been no question, and nothing may have been done that it would do again.
type After func(written bool)

// Link joins two processes of one balancer. Questions of a kind in ordered are answered one after the other, as they
// came, each before anything that came later is looked at; all others in a goroutine each.
type Link struct {
	c       *net.UnixConn
	kinds   map[string]Handler
	ordered map[string]Handler
	gone    chan struct{}

	writing sync.Mutex
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan frame
}

// NewLink is a link over a connection. Run makes it live; kinds are fixed from then on.
func NewLink(c *net.UnixConn, kinds, ordered map[string]Handler) *Link {
	return &Link{c: c, kinds: kinds, ordered: ordered, gone: make(chan struct{}), waiting: map[uint64]chan frame{}}
}

// Gone is closed when the link ended, after all that came before the end was answered or given up.
func (l *Link) Gone() <-chan struct{} { return l.gone }

// Close ends the link.
func (l *Link) Close() { _ = l.c.Close() }

// Run reads until the link ends.
func (l *Link) Run() error {
	var answers sync.WaitGroup
	defer close(l.gone)
	defer answers.Wait()
	defer l.Close()
	for {
		f, err := readFrame(l.c)
		if err != nil {
			l.mu.Lock()
			waiting := l.waiting
			l.waiting = nil
			l.mu.Unlock()
			for _, w := range waiting {
				close(w)
			}
			if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) {
				return nil
			}
			return err
		}
		switch {
		case f.Answer:
			l.mu.Lock()
			w := l.waiting[f.Number]
			delete(l.waiting, f.Number)
			l.mu.Unlock()
			if w == nil { // given up meanwhile
				closeAll(f.files)
				continue
			}
			w <- f
		case l.ordered[f.Kind] != nil:
			l.answer(f, l.ordered[f.Kind])
		default:
			answers.Go(func() { l.answer(f, l.kinds[f.Kind]) })
		}
	}
}

func (l *Link) answer(f frame, h Handler) {
	defer closeAll(f.files)
	var body any
	var beside []syscall.Conn
	err := fmt.Errorf("unknown question %q", f.Kind)
	if h != nil {
		body, beside, err = h(f.Body, f.files)
	}
	after, _ := body.(After)
	if after != nil {
		body = nil
	}
	if f.Number == 0 {
		if after != nil {
			after(false) // nobody asked
		}
		return
	}
	a := frame{Number: f.Number, Answer: true, beside: beside}
	if err == nil {
		a.Body, err = json.Marshal(body)
	}
	if err != nil {
		a.Bad, a.beside = err.Error(), nil
	}
	err = l.write(a)
	if after != nil {
		after(err == nil)
	}
	if err != nil {
		l.Close()
	}
}

// Say sends what wants no answer.
func (l *Link) Say(kind string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return l.write(frame{Kind: kind, Body: text})
}

// Ask puts a question and returns at once; the answer is waited for with what it returns. All that is asked and said
// arrives in the order of the calls.
func (l *Link) Ask(kind string, body any, beside ...syscall.Conn) func(ctx context.Context, into any) ([]*os.File, error) {
	text, err := json.Marshal(body)
	w := make(chan frame, 1)
	l.mu.Lock()
	if l.waiting == nil {
		err = errors.Join(err, ErrPeerGone)
	}
	l.last++
	f := frame{Kind: kind, Number: l.last, Body: text, beside: beside}
	if err == nil {
		l.waiting[f.Number] = w
	}
	l.mu.Unlock()
	if err == nil && l.write(f) != nil {
		l.Close()
	}
	return func(ctx context.Context, into any) ([]*os.File, error) {
		if err != nil {
			return nil, err
		}
		select {
		case <-ctx.Done():
			l.mu.Lock()
			if l.waiting != nil {
				delete(l.waiting, f.Number)
			}
			l.mu.Unlock()
			select { // files that came in this instant
			case a := <-w:
				closeAll(a.files)
			default:
			}
			return nil, ctx.Err()
		case a, ok := <-w:
			switch {
			case !ok:
				return nil, ErrPeerGone
			case a.Bad != "":
				return nil, fmt.Errorf("%w: %s", ErrRefused, a.Bad)
			case into != nil:
				if err := json.Unmarshal(a.Body, into); err != nil {
					closeAll(a.files)
					return nil, fmt.Errorf("answer to %s: %w", kind, err)
				}
			}
			return a.files, nil
		}
	}
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// write sends a frame with its descriptors beside the first byte of it.
func (l *Link) write(f frame) error {
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if len(text) > longestFrame {
		return fmt.Errorf("a frame of %d bytes, %d at most", len(text), longestFrame)
	}
	var beside []byte
	if len(f.beside) > 0 {
		var fds []int
		for _, x := range f.beside {
			// Not by a copy from File: its descriptor would make the socket block for both of us.
			raw, err := x.SyscallConn()
			if err == nil {
				err = raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) })
			}
			if err != nil {
				return err
			}
		}
		beside = syscall.UnixRights(fds...)
	}
	l.writing.Lock()
	defer l.writing.Unlock()
	if err := l.c.SetWriteDeadline(time.Now().Add(writeWithin)); err != nil {
		return err
	}
	if _, _, err := l.c.WriteMsgUnix(binary.BigEndian.AppendUint32(nil, uint32(len(text))), beside, nil); err != nil {
		return err
	}
	_, err = l.c.Write(text)
	return err
}

// readFrame reads one, whole or not at all.
func readFrame(c *net.UnixConn) (f frame, err error) {
	defer func() {
		if err != nil {
			closeAll(f.files)
			f.files = nil
		}
	}()
	head, beside := make([]byte, 4), make([]byte, syscall.CmsgSpace(4*mostFiles))
	for got := 0; got < len(head); {
		n, m, _, _, err := c.ReadMsgUnix(head[got:], beside)
		files, bad := filesOf(beside[:m])
		f.files = append(f.files, files...)
		if err != nil {
			return f, err
		}
		if bad != nil {
			return f, bad
		}
		if n == 0 {
			return f, io.EOF
		}
		got += n
	}
	n := binary.BigEndian.Uint32(head)
	if n > longestFrame {
		return f, fmt.Errorf("a frame of %d bytes, %d at most", n, longestFrame)
	}
	text, err := io.ReadAll(io.LimitReader(c, int64(n))) // it grows as bytes come: a length alone must not take memory
	if err != nil {
		return f, err
	}
	if len(text) < int(n) {
		return f, io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("a frame that is none: %w", err)
	}
	return f, nil
}

func filesOf(beside []byte) (files []*os.File, err error) {
	if len(beside) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(beside)
	if err != nil {
		return nil, fmt.Errorf("beside a frame: %w", err)
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return files, fmt.Errorf("beside a frame: %w", err)
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}
