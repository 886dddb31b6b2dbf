// Package sockets drives the world in real time on loopback: stand-in servers, discovery and clients that speak the
// platform's lines, before real balancer processes. The model behind them is the same as in virtual time.
package sockets

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

const (
	answerSlack = 50 * time.Millisecond  // beyond the rules' times, for the way over sockets
	heldBack    = 300 * time.Millisecond // events wait that long to be put in order
	standWithin = 20 * time.Second       // what stands when the day begins must be up by then
	lateP99     = 25 * time.Millisecond  // of the drive itself: beyond, a run says nothing of the balancer
	lateMost    = 400 * time.Millisecond
)

// Drive is one run on sockets.
type Drive struct {
	d       *experiment.Day
	w       *simulation.World
	checker *invariants.Checker
	ctx     context.Context
	cancel  context.CancelFunc
	parts   sync.WaitGroup
	program []string // what starts a balancer; its configuration is added
	folder  string
	options string        // the path of the operators' file that balancers are started with
	others  bool          // the balancers are somebody else's: what runs is only seen from outside
	longest time.Duration // from something that happened until it was seen
	apart   *Apart        // nil: balancers of a hall share their ways, and nothing fails between them

	mu      sync.Mutex // guards the world and all below
	start   time.Time
	running bool
	over    bool
	poke    chan struct{}
	servers []*standIn
	agents  []*agent
	procs   []*process
	flows   map[simulation.FlowID]*client
	conns   map[simulation.ConnID]*served
	awaited map[simulation.FlowID]simulation.ConnID // stand when the day begins
	late    *hdrhistogram.Histogram
	fault   error // the first thing that went wrong with the drive itself
	starts  chan func()
	source  simulation.ArrivalSource // in place of the day's own, where there is one

	Tally Tally
}

// Load drives clients alone, against balancers at these addresses; w has as many balancers and no server.
func Load(parent context.Context, d *experiment.Day, ref *invariants.Checker, addrs []string) *Drive {
	dr := New(parent, d, ref, nil, "")
	dr.others = true
	dr.w.FirstFlow(simulation.FlowID(time.Now().UnixMicro()) << 10) // never those of an earlier load
	for b, a := range addrs {
		dr.procs = append(dr.procs, &process{dr: dr, id: simulation.BalancerID(b), addr: a, up: true})
	}
	return dr
}

// RunLoad plays the load of a source to the end of the day.
func (dr *Drive) RunLoad(s simulation.ArrivalSource, progress func(time.Duration)) (void string, err error) {
	defer dr.Close()
	dr.mu.Lock()
	dr.w.StartLoad(s)
	dr.mu.Unlock()
	return dr.play(progress)
}

// Serve is servers and discovery alone until the end of the day or of the context. ready hears of discovery's address
// when all is open.
func (dr *Drive) Serve(ready func() error) error {
	defer dr.Close()
	if err := dr.Open(); err != nil {
		return err
	}
	if err := ready(); err != nil {
		return err
	}
	dr.mu.Lock()
	dr.w.ScheduleFaults(dr.d.Faults)
	dr.mu.Unlock()
	_, err := dr.play(nil)
	return err
}

// Tally counts what was seen of the balancers.
type Tally struct {
	Connects, Crossings, Moves int
	Probes                     int
	ProbedAt                   map[simulation.ServerID][]time.Duration
	MovedAt, ConnectAt         []time.Duration
}

// New prepares a run; program starts a balancer, with the path of its configuration in PROXY_CONFIG, and folder is for
// configurations and logs. An empty program leaves balancers out: servers and discovery alone.
func New(parent context.Context, d *experiment.Day, ref *invariants.Checker, program []string, folder string) *Drive {
	dr := &Drive{d: d, w: d.World, checker: ref, program: program, folder: folder, poke: make(chan struct{}, 1),
		flows: map[simulation.FlowID]*client{}, conns: map[simulation.ConnID]*served{}, awaited: map[simulation.FlowID]simulation.ConnID{},
		late: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), start: time.Now()}
	dr.ctx, dr.cancel = context.WithCancel(parent)
	dr.Tally.ProbedAt = map[simulation.ServerID][]time.Duration{}
	d.World.Driver = dr
	dr.starts = make(chan func())
	dr.parts.Go(dr.starter)
	return dr
}

// Options has balancers started with an operators' file.
func (dr *Drive) Options(text string) error {
	dr.options = filepath.Join(dr.folder, "options.toml")
	return os.WriteFile(dr.options, []byte(text), 0o600)
}

// HeldBack is for how long the referee of such a run must put events in order, and Slack what their way may take.
func HeldBack() (slack, hold time.Duration) { return answerSlack, heldBack }

// now is the time of the run; before its beginning it stands still.
func (dr *Drive) now() time.Duration {
	if !dr.running {
		return 0
	}
	return time.Since(dr.start)
}

// enter begins something that came from outside: the world is brought up to now. The caller leaves.
func (dr *Drive) enter() {
	dr.mu.Lock()
	if !dr.over {
		dr.w.Schedule.RunTo(dr.now())
	}
}

func (dr *Drive) leave() {
	dr.mu.Unlock()
	select {
	case dr.poke <- struct{}{}:
	default:
	}
}

func (dr *Drive) see(e invariants.Event) { dr.seeAt(dr.now(), e) }

func (dr *Drive) seeAt(t time.Duration, e invariants.Event) {
	e.At = t
	if dr.over || !dr.running && e.Kind != invariants.ServerAnnounced && e.Kind != invariants.BalancerStarted {
		return
	}
	dr.longest = max(dr.longest, dr.now()-t)
	dr.checker.Observe(e)
	if dr.apart != nil && dr.apart.See != nil {
		dr.apart.See(e)
	}
}

// bad keeps the first fault of the drive itself.
func (dr *Drive) bad(format string, a ...any) {
	if dr.fault == nil && !dr.over {
		dr.fault = fmt.Errorf(format, a...)
	}
}

// Open brings up servers and discovery.
func (dr *Drive) Open() error {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for b := range dr.w.Balancers {
		a, err := newAgent(dr, simulation.BalancerID(b))
		if err != nil {
			return err
		}
		dr.agents = append(dr.agents, a)
	}
	for _, s := range dr.w.Servers {
		dr.ServerChanged(s.ID)
	}
	if dr.fault != nil {
		return dr.fault
	}
	for _, a := range dr.agents {
		a.whole(dr.w.List.Known(a.balancer))
	}
	return nil
}

// Run plays the day and returns when it is over and all processes have ended. void says why the figures tell nothing
// of the balancers; progress hears the time each half second.
func (dr *Drive) Run(progress func(time.Duration)) (void string, err error) {
	defer dr.Close()
	if err := dr.Open(); err != nil {
		return "", err
	}
	for _, b := range dr.w.Balancers {
		dr.mu.Lock()
		p, err := newProcess(dr, b.ID)
		dr.procs = append(dr.procs, p)
		dr.mu.Unlock()
		if err != nil {
			return "", err
		}
	}
	for b := range dr.procs {
		dr.mu.Lock()
		dr.StartBalancer(simulation.BalancerID(b))
		dr.mu.Unlock()
	}
	for _, p := range dr.procs {
		if err := p.ready(dr.ctx); err != nil {
			return "", err
		}
	}
	if err := dr.stand(); err != nil {
		return "", err
	}
	return dr.play(progress)
}

// stand brings up what stands when the day begins, while the time stands still.
func (dr *Drive) stand() error {
	dr.mu.Lock()
	if dr.source == nil {
		dr.source = dr.d.Source()
	}
	dr.w.ScheduleFaults(dr.d.Faults)
	dr.w.StartLoad(dr.source)
	dr.w.Schedule.RunTo(0)
	dr.mu.Unlock()
	until := time.Now().Add(standWithin)
	for {
		dr.mu.Lock()
		left, fault := len(dr.awaited), dr.fault
		dr.mu.Unlock()
		switch {
		case fault != nil:
			return fault
		case left == 0:
			return nil
		case time.Now().After(until):
			return fmt.Errorf("%d connections that stand at the beginning were not up after %v", left, standWithin)
		}
		select {
		case <-dr.ctx.Done():
			return dr.ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// play lets the time run to the end of the day.
func (dr *Drive) play(progress func(time.Duration)) (string, error) {
	end := dr.w.Accounting.Length
	dr.mu.Lock()
	dr.start, dr.running = time.Now(), true
	dr.mu.Unlock()
	said := time.Duration(0)
	for {
		dr.mu.Lock()
		now := dr.now()
		if due, ok := dr.w.Schedule.Next(); ok && due < now {
			_ = dr.late.RecordValue(max(1, int64((now-due)/time.Microsecond))) // a minute is more than lateMost
		}
		dr.w.Schedule.RunTo(min(now, end))
		dr.checker.Advance(now)
		next, ok := dr.w.Schedule.Next()
		fault := dr.fault
		dr.mu.Unlock()
		if progress != nil && now-said >= 500*time.Millisecond {
			said = now
			progress(now)
		}
		if now >= end || fault != nil {
			break
		}
		wait := 50 * time.Millisecond
		if ok {
			wait = min(wait, next-dr.elapsed())
		}
		t := time.NewTimer(max(wait, 0))
		select {
		case <-dr.ctx.Done():
			t.Stop()
			return "", dr.ctx.Err()
		case <-dr.poke:
			t.Stop()
		case <-t.C:
		}
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.w.End()
	now := dr.now()
	// What was taken in the last moments is not owed an answer that nobody waits for.
	dr.over = true
	dr.checker.Finish(now - heldBack)
	if dr.fault != nil {
		return "", dr.fault
	}
	return dr.void(), nil
}

func (dr *Drive) elapsed() time.Duration {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.now()
}

// void tells whether the drive itself was late: a busy machine must not be booked against the balancer. Nor can what the referee heard of
// later than it puts events in order.
func (dr *Drive) void() string {
	if dr.longest > heldBack {
		return fmt.Sprintf("the machine was too busy: the drive saw something %v after it happened (%v is allowed)", dr.longest, heldBack)
	}
	p99 := time.Duration(dr.late.ValueAtQuantile(99)) * time.Microsecond
	most := time.Duration(dr.late.Max()) * time.Microsecond
	if p99 > lateP99 || most > lateMost {
		return fmt.Sprintf("the machine was too busy: the drive itself ran late by %v at p99 and %v at most (%v and %v are allowed)",
			p99, most, lateP99, lateMost)
	}
	return ""
}

// Lateness of the drive itself: p99 and the most.
func (dr *Drive) Lateness() (p99, most time.Duration) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return time.Duration(dr.late.ValueAtQuantile(99)) * time.Microsecond, time.Duration(dr.late.Max()) * time.Microsecond
}

// Close ends all that the drive started, and waits for it.
func (dr *Drive) Close() {
	dr.mu.Lock()
	dr.over = true
	dr.cancel()
	for _, p := range dr.procs {
		p.kill()
	}
	for _, s := range dr.servers {
		s.close()
	}
	for _, a := range dr.agents {
		a.close()
	}
	for _, c := range dr.flows {
		c.close()
	}
	for _, c := range dr.conns {
		c.close(false)
	}
	dr.mu.Unlock()
	if dr.apart != nil {
		dr.apart.Net.Close()
	}
	dr.parts.Wait()
}
