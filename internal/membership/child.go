package membership

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	firstRestart, longestRestart = 500 * time.Millisecond, 30 * time.Second
	waiting                      = 256 // frames for the engine; beyond, what is said now is lost, and said again as state
	logEvery                     = time.Minute
	knownKept                    = 8
	engineName                   = "yardwinch-gossip"
	endWithin                    = 900 * time.Millisecond
)

// frames takes names as they came over the network: one that is no text must not end the engine's link.
var frames, _ = cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode() // the options are sound

// Subscriber knows the meaning of what passes. It is called from one goroutine and must not wait for anything.
type Subscriber interface {
	Hear(message []byte)
	HearWhole(all []byte)
	Away(gap time.Duration) // the engine, or the balancer, stood still for so long
}

// Group is this balancer among the members.
type Group struct {
	program   string
	name      Name
	label     string
	bind      netip.AddrPort
	advertise netip.AddrPort
	seeds     []string
	tell      Subscriber
	out       chan []any

	mu     sync.Mutex
	seen   []Member
	at     time.Time // of seen
	known  []string  // addresses that an engine which ended saw
	unread map[string]int
	own    map[string]*noted
}

type noted struct {
	n  int
	at time.Time
}

// New makes a member that speaks from bind, tells others advertise and begins by asking the seeds. Members of other labels are not
// heard. program is the engine; empty: the one beside this program. Nothing is started before Run.
func New(program string, name Name, label string, bind, advertise netip.AddrPort, seeds []string, tell Subscriber) *Group {
	return &Group{program: program, name: name, label: label, bind: bind, advertise: advertise, seeds: seeds, tell: tell,
		out: make(chan []any, waiting), own: map[string]*noted{}}
}

// Run keeps the engine running until the context ends, when the member says that it leaves. An engine that ends by itself is started again; the waits are
// doubled, as one that can't run would cost its start each time.
func (g *Group) Run(ctx context.Context) {
	for wait := firstRestart; ctx.Err() == nil; wait = min(2*wait, longestRestart) {
		began := time.Now()
		err := g.engine(ctx)
		g.mu.Lock()
		for _, s := range g.seen { // the next one asks those whom this one saw, whoever the seeds are
			if s.Name != g.name && s.State == Alive && len(g.known) < knownKept {
				g.known = append(g.known, s.Addr)
			}
		}
		g.seen = nil
		g.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > longestRestart {
			wait = firstRestart
		}
		e := &Error{
			Where:  "peers",
			What:   "the engine of the members ended; serving alone until it runs again",
			Remedy: "see that " + engineName + " of this build lies beside yardwinch, or name it by peers.program",
			Err:    err,
		}
		g.CountDropped("the engine ended", e.Error()+"; what helps: "+e.Advice())
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// path is the engine's program.
func (g *Group) path() (string, error) {
	if g.program != "" {
		return g.program, nil
	}
	self, err := os.Executable()
	return filepath.Join(filepath.Dir(self), engineName), err
}

// engine runs one from its start to its end.
func (g *Group) engine(ctx context.Context) error {
	path, err := g.path()
	if err != nil {
		return err
	}
	// The system ends the engine with the thread that started it: it must not outlive the balancer.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd := exec.Command(path)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	over := make(chan struct{})
	var parts sync.WaitGroup
	parts.Go(func() { g.write(ctx, in, over) })
	parts.Go(func() {
		defer close(over)
		g.read(out)
	})
	leave := context.AfterFunc(ctx, func() {
		time.AfterFunc(endWithin, func() { _ = cmd.Process.Kill() }) // it may have ended
	})
	defer leave()
	parts.Wait()
	return errors.Join(cmd.Wait())
}

// write feeds the engine: what is said, and that the balancer runs.
func (g *Group) write(ctx context.Context, in io.WriteCloser, over <-chan struct{}) {
	defer in.Close()
	enc := cbor.NewEncoder(in)
	start := []any{FrameStart, string(g.name), g.label, g.bind.String(), g.advertise.String()}
	g.mu.Lock()
	for _, s := range append(slices.Clone(g.seeds), g.known...) {
		start = append(start, s)
	}
	g.known = nil
	g.mu.Unlock()
	if enc.Encode(start) != nil {
		return // the reader sees the end
	}
	beat := time.NewTicker(HeartbeatInterval)
	defer beat.Stop()
	for {
		var f []any
		select {
		case <-over:
			return
		case <-ctx.Done():
			_ = enc.Encode([]any{FrameLeave}) // it may have ended
			return
		case f = <-g.out:
		case <-beat.C:
			f = []any{FrameHeartbeat}
		}
		if enc.Encode(f) != nil {
			return
		}
	}
}

// read takes what the engine tells.
func (g *Group) read(out io.Reader) {
	dec := frames.NewDecoder(out)
	for {
		var f []any
		if err := dec.Decode(&f); err != nil || len(f) < 2 {
			return
		}
		kind, _ := f[0].(uint64)
		switch x := f[1].(type) {
		case []byte:
			if kind == FrameReceive {
				g.tell.Hear(x)
			} else if kind == FrameRemoteState {
				g.tell.HearWhole(x)
			}
		case uint64:
			if kind == FrameSuspended {
				g.tell.Away(time.Duration(x))
			}
		case []any:
			if kind == FrameMembers {
				g.take(x)
			}
		}
	}
}

// take is the members as the engine sees them, and what it passed over.
func (g *Group) take(list []any) {
	var seen []Member
	unread := map[string]int{}
	for _, x := range list {
		m, ok := x.([]any)
		if !ok || len(m) != 4 {
			continue
		}
		name, _ := m[0].(string)
		addr, _ := m[1].(string)
		state, _ := m[2].(string)
		n, _ := m[3].(uint64)
		if name == "" {
			unread[addr] = int(n)
		} else {
			seen = append(seen, Member{Name(name), addr, State(state), time.Duration(n)})
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen, g.at, g.unread = sorted(seen), time.Now(), unread
}

// send hands the engine a frame; when it does not read, the frame is lost.
func (g *Group) send(f ...any) {
	select {
	case g.out <- f:
	default:
	}
}

// Publish spreads a message; a later one of the same key takes the place of an earlier one that still waits.
func (g *Group) Publish(key string, message []byte) { g.send(FramePublish, key, message) }

// SetFullState is what another member that asks is told from now on.
func (g *Group) SetFullState(all []byte) { g.send(FrameFullState, all) }

// Members is all members as they are seen now, by name.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Member
	for _, s := range g.seen {
		s.Since += time.Since(g.at)
		all = append(all, s)
	}
	return all
}

// AliveCount is how many are alive, this one too.
func (g *Group) AliveCount() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.seen {
		if s.State == Alive {
			n++
		}
	}
	return max(n, 1)
}

// CountDropped counts something that was passed over; each kind is logged once a minute at most.
func (g *Group) CountDropped(kind, line string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.own[kind]
	if t == nil {
		t = &noted{}
		g.own[kind] = t
	}
	t.n++
	if now := time.Now(); now.Sub(t.at) >= logEvery {
		t.at = now
		slog.Warn("peers: "+line, "of this kind so far", t.n)
	}
}

// Dropped counts what came and could not be taken, by kind.
func (g *Group) Dropped() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := map[string]int{}
	for k, n := range g.unread {
		all[k] = n
	}
	for k, t := range g.own {
		all[k] += t.n
	}
	return all
}
