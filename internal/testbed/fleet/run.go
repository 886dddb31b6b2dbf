package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/netfault"
	"yardwinch/internal/testbed/scenario"
	"yardwinch/internal/testbed/sockets"
)

const (
	faultyServerPoll = 100 * time.Millisecond
	currentBuild     = "current"
	oldBuild         = "old"
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

// fleetRun is one run of a plan. What changes during it is guarded by the driver's mutex.
type fleetRun struct {
	plan      *Plan
	seed      uint64
	ctx       context.Context // ends with the run
	workers   sync.WaitGroup  // goroutines that end with the context
	directory string
	programs  map[string][]string // by build
	driver    *sockets.Driver
	day       *experiment.Day
	world     *simulation.World
	checker   *invariants.Checker
	network   *netfault.Network
	proxy     *netfault.Proxy // nil: nothing passes between balancers
	names     *nameResolver
	processes []*process

	events        []invariants.Event
	moments       []Moment
	faultTimes    map[string]time.Duration // of named faults
	callAnswers   map[string][]callAnswer  // to the calls of named faults
	leftOutSpans  map[string][]Span        // times in which the front left a balancer out
	faultySpans   map[int][]Span           // times in which servers had faults
	pathSpans     []Span                   // times in which paths had a condition
	descriptors   map[string]int           // of processes that ran shortly before the end
	skippedFaults []string                 // that could not be carried out as the file says
}

// callAnswer is the answer to an operator's call.
type callAnswer struct {
	balancer, text string
	isYes          bool
}

// Settings are what a plan is run with.
type Settings struct {
	Seed      uint64
	Program   []string            // starts the balancer
	Old       []string            // starts the earlier build; empty where the plan needs none
	Directory string              // for configurations, logs and the processes' own directories
	Progress  func(time.Duration) // gets the time, each half second; may be nil
}

// Run runs a plan once.
func Run(ctx context.Context, p *Plan, s Settings) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := newRun(ctx, p, s)
	if r.proxy != nil {
		defer r.proxy.Close()
	}
	defer r.workers.Wait()
	defer cancel()
	if err := r.install(s); err != nil {
		return nil, err
	}
	if err := r.newProcesses(); err != nil {
		return nil, err
	}
	r.world.FrontElsewhere()
	r.driver.Isolate(&sockets.Isolation{
		Network:        r.network,
		ControlAddress: func(b simulation.BalancerID) string { return r.processes[b].control },
		Launch:         r.launch,
		Ended:          r.processEnded,
		Observe:        func(e invariants.Event) { r.events = append(r.events, e) },
	})
	r.schedule()
	void, err := r.driver.Run(r.progress(ctx, s.Progress))
	cancel()
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

func newRun(ctx context.Context, p *Plan, s Settings) *fleetRun {
	day := p.Experiment.Day(s.Seed)
	r := &fleetRun{
		plan:         p,
		seed:         s.Seed,
		ctx:          ctx,
		directory:    s.Directory,
		day:          day,
		world:        day.World,
		network:      netfault.New(s.Seed),
		programs:     map[string][]string{},
		faultTimes:   map[string]time.Duration{},
		callAnswers:  map[string][]callAnswer{},
		leftOutSpans: map[string][]Span{},
		faultySpans:  map[int][]Span{},
		descriptors:  map[string]int{},
	}
	slack, reordering := sockets.CheckerTimes()
	r.checker = scenario.NewChecker(day, max(slack, p.lateAnswers), reordering)
	r.driver = sockets.New(ctx, day, r.checker, s.Program, s.Directory)
	if p.hasMembership {
		r.proxy = netfault.NewProxy(ctx, r.network)
	}
	r.names = &nameResolver{
		random:        simulation.RandomSource(s.Seed, "cast", 0),
		balancers:     len(r.world.Balancers),
		servers:       len(r.world.Servers),
		faultyServers: r.serversWithFaults,
		faultNames:    map[string][]string{},
	}
	return r
}

func (r *fleetRun) serversWithFaults() (faulty []int) {
	for i, s := range r.world.Servers {
		if s.IsFaulty() {
			faulty = append(faulty, i)
		}
	}
	return faulty
}

func (r *fleetRun) newProcesses() error {
	onOldBuild := r.names.resolve(r.plan.oldBuildOn, nil)
	for b := range r.world.Balancers {
		p, err := r.newProcess(simulation.BalancerID(b))
		if err != nil {
			return err
		}
		if slices.Contains(onOldBuild, p.name) {
			p.program = oldBuild
		}
		r.processes = append(r.processes, p)
	}
	return nil
}

// progress starts the observers at the first sign of the run.
func (r *fleetRun) progress(ctx context.Context, report func(time.Duration)) func(time.Duration) {
	hasStarted := false
	return func(now time.Duration) {
		if !hasStarted {
			hasStarted = true
			r.startObservers(ctx)
		}
		if report != nil {
			report(now)
		}
	}
}

// startObservers starts what observes the run beside its timeline.
func (r *fleetRun) startObservers(ctx context.Context) {
	for _, p := range r.processes {
		front := frontWatch{
			address:   r.driver.Address(p.id),
			interval:  r.plan.pingInterval,
			timeout:   r.plan.pingTimeout,
			maxMisses: r.plan.maxMisses,
		}
		r.workers.Go(func() {
			front.run(ctx, func(isUp bool) {
				r.driver.Do(func() { r.frontChanged(p, isUp) })
			})
		})
		if r.proxy != nil {
			r.workers.Go(func() { r.watchMembers(ctx, p) })
		}
	}
	r.driver.Do(r.observeFaultyServers)
}

func (r *fleetRun) frontChanged(p *process, isUp bool) {
	r.world.SetFrontBelief(p.id, isUp)
	now, spans := r.driver.Elapsed(), r.leftOutSpans[p.name]
	if isUp {
		spans[len(spans)-1].To = now
	} else {
		spans = append(spans, Span{now, 0, "left out"})
	}
	r.leftOutSpans[p.name] = spans
}

// observeFaultyServers looks again and again which servers have faults.
func (r *fleetRun) observeFaultyServers() {
	now := r.driver.Elapsed()
	for i, s := range r.world.Servers {
		spans := r.faultySpans[i]
		isOpen := len(spans) > 0 && spans[len(spans)-1].To == 0
		if s.IsFaulty() && !isOpen {
			r.faultySpans[i] = append(spans, Span{now, 0, "struck"})
		} else if !s.IsFaulty() && isOpen {
			spans[len(spans)-1].To = now
		}
	}
	r.world.Schedule.After(faultyServerPoll, simulation.Measure, r.observeFaultyServers)
}

func (r *fleetRun) record(who, format string, values ...any) {
	r.moments = append(r.moments, Moment{r.driver.Elapsed(), who, fmt.Sprintf(format, values...)})
}

func (r *fleetRun) skip(format string, values ...any) {
	r.skippedFaults = append(r.skippedFaults, fmt.Sprintf(format, values...))
}
