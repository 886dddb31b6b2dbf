package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/netfault"
	"yardwinch/internal/testbed/scenario"
	"yardwinch/internal/testbed/sockets"
)

// Span is a time in which something was so.
type Span struct {
	From, To time.Duration
	What     string
}

// Moment is something that happened.
type Moment struct {
	At   time.Duration
	Who  string
	What string
}

// run is one play of a plan.
type run struct {
	p       *Plan
	seed    uint64
	driver      *sockets.Driver
	d       *experiment.Day
	w       *simulation.World
	net     *netfault.Network
	post    *netfault.Proxy // nil: nothing passes between balancers
	checker *invariants.Checker
	folder  string
	program map[string][]string // current and old
	procs   []*process
	cast    *cast
	ctx     context.Context

	events      []invariants.Event
	at          map[string]time.Duration // of named faults
	calls       map[string][]answer
	moments     []Moment
	fronts      map[string][]Span // times in which the front left somebody out
	struck      map[int][]Span
	ways        []Span
	descriptors map[string]int // of processes that ran shortly before the end
	unfit       []string       // faults that could not be carried out as the file says
}

type answer struct {
	who, what string
	yes       bool
}

// Run plays a plan once. program starts the balancer, old the earlier build; folder keeps configurations, logs and the processes' own
// folders. progress hears the time.
func Run(ctx context.Context, p *Plan, seed uint64, program, old []string, folder string, progress func(time.Duration)) (*Result, error) {
	r := &run{p: p, seed: seed, d: p.Experiment.Day(seed), net: netfault.New(seed), folder: folder, ctx: ctx, at: map[string]time.Duration{},
		calls: map[string][]answer{}, fronts: map[string][]Span{}, struck: map[int][]Span{}, program: map[string][]string{}, descriptors: map[string]int{}}
	r.w = r.d.World
	slack, hold := sockets.CheckerTimes()
	slack = max(slack, p.late)
	r.checker = scenario.NewChecker(r.d, slack, hold)
	r.driver = sockets.New(ctx, r.d, r.checker, program, folder)
	if p.peers {
		r.post = netfault.NewProxy(ctx, r.net)
		defer r.post.Close()
	}
	for name, start := range map[string][]string{"current": program, "old": old} {
		if len(start) == 0 {
			continue
		}
		if err := r.install(name, start); err != nil {
			return nil, err
		}
	}
	r.cast = &cast{r: simulation.RandomSource(seed, "cast", 0), balancers: len(r.w.Balancers), servers: len(r.w.Servers), named: map[string][]string{},
		struck: func() (hit []int) {
			for i, s := range r.w.Servers {
				if s.IsFaulty() {
					hit = append(hit, i)
				}
			}
			return hit
		}}
	old0 := r.cast.ends(p.oldWho, nil)
	for b := range r.w.Balancers {
		x, err := r.newProcess(simulation.BalancerID(b))
		if err != nil {
			return nil, err
		}
		if slices.Contains(old0, x.name) {
			x.program = "old"
		}
		r.procs = append(r.procs, x)
	}
	r.w.FrontElsewhere()
	r.driver.Isolate(&sockets.Isolation{Network: r.net, ControlAddress: func(b simulation.BalancerID) string { return r.procs[b].control },
		Launch: r.launch, Ended: r.ended, Observe: func(e invariants.Event) { r.events = append(r.events, e) }})
	r.schedule()
	fronts, stop := context.WithCancel(ctx)
	began := false
	void, err := r.driver.Run(func(now time.Duration) {
		if !began {
			began = true
			r.begin(fronts)
		}
		if progress != nil {
			progress(now)
		}
	})
	stop()
	if err != nil {
		return nil, &Error{
			Where:  "fleet",
			What:   "the run could not be played to its end",
			Remedy: "look into the logs that it names; with --logs DIR they are kept",
			Err:    err,
		}
	}
	return r.result(void), nil
}

// install puts a program where any user can run it.
func (r *run) install(name string, start []string) error {
	to, err := r.copied("program-"+name, start[0])
	r.program[name] = append([]string{to}, start[1:]...)
	if err == nil && name == "current" && r.p.peers {
		engine := r.p.Engine
		if engine == "" {
			engine = filepath.Join(filepath.Dir(start[0]), engineName)
		}
		_, err = r.copied(engineName, engine)
	}
	return err
}

const engineName = "yardwinch-gossip" // where serve looks for it: beside itself

func (r *run) copied(name, from string) (to string, err error) {
	to = filepath.Join(r.folder, name)
	fail := func(err error) (string, error) {
		return "", &Error{
			Where:  "fleet",
			What:   "the program " + name,
			Remedy: "build it (README, \"See it work\") and name it with --yardwinch",
			Err:    err,
		}
	}
	if err := os.Chmod(r.folder, 0o755); err != nil {
		return fail(err)
	}
	in, err := os.Open(from)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = in.Close() }()
	_ = os.Remove(to) // of an earlier run in the same folder, which may still be in use
	f, err := os.OpenFile(to, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o755)
	if err != nil {
		return fail(err)
	}
	_, err = io.Copy(f, in)
	if err = errors.Join(err, f.Close()); err != nil {
		return fail(err)
	}
	return to, nil
}

func (r *run) note(who, format string, a ...any) {
	r.moments = append(r.moments, Moment{r.driver.Elapsed(), who, fmt.Sprintf(format, a...)})
}
