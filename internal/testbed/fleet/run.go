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

// Span is a period with a label of what it shows. To is 0 while the span is open.
type Span struct {
	From, To time.Duration
	What     string
}

// TimelineEvent is an event of the run's timeline.
type TimelineEvent struct {
	At   time.Duration
	Who  string
	What string
}

// fleetRun is one run of a plan. State that changes during the run is guarded by the driver's mutex.
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
	proxy     *netfault.Proxy // nil without membership
	names     *nameResolver
	processes []*process

	events        []invariants.Event
	timeline      []TimelineEvent
	faultTimes    map[string]time.Duration  // start times of named faults
	callResponses map[string][]callResponse // responses to the calls of named faults
	leftOutSpans  map[string][]Span         // by balancer: when the front left it out
	faultySpans   map[int][]Span            // by server: when it had a fault
	pathSpans     []Span                    // when paths had a condition
	descriptors   map[string]int            // open file descriptors of processes that ran shortly before the end
	skippedFaults []string                  // why faults could not be carried out as planned
}

// callResponse is a balancer's response to an operator's call.
type callResponse struct {
	balancer, text string
	isSuccess      bool
}

// Settings are the parameters of a run.
type Settings struct {
	Seed       uint64
	Program    []string            // command line that starts the balancer
	OldProgram []string            // command line that starts the earlier build; empty if the plan needs none
	Directory  string              // for configurations, logs and the processes' own directories
	Progress   func(time.Duration) // called with the elapsed time every half second; may be nil
}

// Run runs a plan once and returns its result.
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
	r.world.UseExternalFront()
	r.driver.Isolate(&sockets.Isolation{
		Network:        r.network,
		ControlAddress: func(b simulation.BalancerID) string { return r.processes[b].controlAddress },
		Launch:         r.configureCommand,
		OnProcessExit:  r.processEnded,
		OnEvent:        func(e invariants.Event) { r.events = append(r.events, e) },
	})
	r.scheduleFaults()
	void, err := r.driver.Run(r.progress(ctx, s.Progress))
	cancel()
	if err != nil {
		return nil, &Error{
			Where:  "fleet",
			What:   "the run failed",
			Remedy: "see the logs that it names; --logs DIR keeps them",
			Err:    err,
		}
	}
	return r.result(void), nil
}

func newRun(ctx context.Context, p *Plan, s Settings) *fleetRun {
	day := p.Experiment.Day(s.Seed)
	r := &fleetRun{
		plan:          p,
		seed:          s.Seed,
		ctx:           ctx,
		directory:     s.Directory,
		day:           day,
		world:         day.World,
		network:       netfault.New(s.Seed),
		programs:      map[string][]string{},
		faultTimes:    map[string]time.Duration{},
		callResponses: map[string][]callResponse{},
		leftOutSpans:  map[string][]Span{},
		faultySpans:   map[int][]Span{},
		descriptors:   map[string]int{},
	}
	slack, reordering := sockets.CheckerTolerances()
	r.checker = scenario.NewChecker(day, max(slack, p.answerTolerance), reordering)
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
	oldBuildNames := r.names.resolve(r.plan.oldBuildOn, nil)
	for b := range r.world.Balancers {
		p, err := r.newProcess(simulation.BalancerID(b))
		if err != nil {
			return err
		}
		if slices.Contains(oldBuildNames, p.name) {
			p.program = oldBuild
		}
		r.processes = append(r.processes, p)
	}
	return nil
}

// progress returns a progress callback that starts the observers when it is first called, and passes the time on to report.
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

// startObservers starts the observers of the front, of the members and of faulty servers.
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
				r.driver.WithLock(func() { r.frontChanged(p, isUp) })
			})
		})
		if r.proxy != nil {
			r.workers.Go(func() { r.watchMembers(ctx, p) })
		}
	}
	r.driver.WithLock(r.observeFaultyServers)
}

func (r *fleetRun) frontChanged(p *process, isUp bool) {
	r.world.SetExternalFrontView(p.id, isUp)
	now, spans := r.driver.Elapsed(), r.leftOutSpans[p.name]
	if isUp {
		spans[len(spans)-1].To = now
	} else {
		spans = append(spans, Span{now, 0, "left out"})
	}
	r.leftOutSpans[p.name] = spans
}

// observeFaultyServers polls which servers have faults, and records the spans.
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

// record adds an event to the timeline, at the current time.
func (r *fleetRun) record(who, format string, values ...any) {
	r.timeline = append(r.timeline, TimelineEvent{r.driver.Elapsed(), who, fmt.Sprintf(format, values...)})
}

// skip records why a fault could not be carried out as planned.
func (r *fleetRun) skip(format string, values ...any) {
	r.skippedFaults = append(r.skippedFaults, fmt.Sprintf(format, values...))
}
