package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yardwinch/internal/membership"
)

const tellEvery = 100 * time.Millisecond // how the members are seen

// balancer is the other side of the pipes.
type balancer struct {
	mu    sync.Mutex
	enc   *cbor.Encoder
	whole []byte
}

func (b *balancer) send(f ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.enc.Encode(f) // a balancer that is gone is seen by whoever reads from it
}

func (b *balancer) Hear(m []byte)          { b.send(membership.FrameReceive, m) }
func (b *balancer) HearWhole(all []byte)   { b.send(membership.FrameRemoteState, all) }
func (b *balancer) Away(gap time.Duration) { b.send(membership.FrameSuspended, uint64(gap)) }
func (b *balancer) Whole() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

// Serve is the engine's process: what it reads comes from its balancer, what it writes goes there. It ends with either. While the balancer does not say
// that it runs, the member is silent, as the balancer itself is.
func Serve(in io.Reader, out io.Writer) error {
	frames := make(chan []any, 64)
	go func() {
		defer close(frames)
		dec := cbor.NewDecoder(in)
		for {
			var f []any
			if err := dec.Decode(&f); err != nil {
				return
			}
			if len(f) > 0 {
				frames <- f
			}
		}
	}()
	first, ok := <-frames
	if !ok {
		return nil
	}
	b := &balancer{enc: cbor.NewEncoder(out)}
	begin, err := member(first, b)
	if err != nil {
		return err
	}
	for {
		again, err := runs(begin(), b, frames)
		if err != nil || !again {
			return err
		}
		for f := range frames { // the balancer stood still, and runs on
			if kind, _ := f[0].(uint64); kind == membership.FrameLeave {
				return nil
			}
			break
		}
		b.Away(membership.HeartbeatTimeout)
	}
}

// member reads the first frame.
func member(f []any, b *balancer) (func() *Group, error) {
	var text []string
	for _, x := range f[1:] {
		s, _ := x.(string)
		text = append(text, s)
	}
	if kind, _ := f[0].(uint64); kind != membership.FrameStart || len(text) < 4 {
		return nil, &membership.Error{Where: "peers", What: "the engine was not told who it is", Remedy: "it is started by yardwinch serve, not by hand"}
	}
	bind, err1 := netip.ParseAddrPort(text[2])
	advertise, err2 := netip.ParseAddrPort(text[3])
	if err := errors.Join(err1, err2); err != nil {
		return nil, &membership.Error{Where: "peers", What: "an address", Remedy: "it is started by yardwinch serve, not by hand", Err: err}
	}
	return func() *Group { return New(membership.Name(text[0]), text[1], bind, advertise, text[4:], b) }, nil
}

// runs is a member until its balancer stands still (again is true), leaves or ends.
func runs(g *Group, b *balancer, frames <-chan []any) (again bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	defer func() { cancel(); <-done }()
	told := time.NewTicker(tellEvery)
	defer told.Stop()
	still := time.NewTimer(membership.HeartbeatTimeout)
	defer still.Stop()
	for {
		select {
		case f, ok := <-frames:
			if !ok {
				return false, nil
			}
			still.Reset(membership.HeartbeatTimeout)
			kind, _ := f[0].(uint64)
			switch {
			case kind == membership.FrameLeave:
				return false, nil
			case kind == membership.FramePublish && len(f) == 3:
				key, _ := f[1].(string)
				m, _ := f[2].([]byte)
				g.Publish(key, m)
			case kind == membership.FrameFullState && len(f) == 2:
				whole, _ := f[1].([]byte)
				b.mu.Lock()
				b.whole = whole
				b.mu.Unlock()
			}
		case <-told.C:
			b.send(membership.FrameMembers, g.frame())
		case <-still.C:
			slog.Warn("the balancer stands still: its member is silent until it runs on")
			g.abandon()
			return true, nil
		}
	}
}

// frame is how the members are seen, and what was passed over, as a frame has them.
func (g *Group) frame() (all []any) {
	all = []any{}
	for _, s := range g.Members() {
		all = append(all, []any{string(s.Name), s.Addr, string(s.State), uint64(s.Since)})
	}
	for kind, n := range g.Dropped() {
		all = append(all, []any{"", kind, "", uint64(n)})
	}
	return all
}

// Main is the program: it says a fault with what helps.
func Main(in io.Reader, out, say io.Writer) int {
	slog.SetDefault(slog.New(slog.NewTextHandler(say, nil)))
	if err := Serve(in, out); err != nil {
		fmt.Fprintln(say, "yardwinch-gossip:", err)
		var advice interface{ Advice() string }
		if errors.As(err, &advice) {
			fmt.Fprintln(say, "what helps:", advice.Advice())
		}
		return 1
	}
	return 0
}
