// Package sockets runs a simulated world in real time on loopback: stand-in servers, discovery and clients that speak the platform's line
// protocol with real balancer processes. The model behind them is the same as in virtual time.
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
	answerTolerance       = 50 * time.Millisecond  // added to the time limits of the rules, for delays of the sockets
	maxReordering         = 300 * time.Millisecond // the checker holds events back this long to sort them by time
	establishTimeout      = 20 * time.Second       // for the initially established connections
	establishPollInterval = 10 * time.Millisecond

	// Limits of the driver's own lateness. A run that exceeds them is void: its results do not reflect the balancers.
	maxLatenessP99 = 25 * time.Millisecond
	maxLateness    = 400 * time.Millisecond

	progressInterval    = 500 * time.Millisecond
	maxPause            = 50 * time.Millisecond // between two checks of the schedule
	maxRecordedLateness = time.Minute
	flowIDShift         = 10 // applied to the start time in microseconds, to get the first flow id of a load
	optionsMode         = 0o600
)

// Driver is one run on sockets.
type Driver struct {
	Counts Counts

	day                  *experiment.Day
	world                *simulation.World
	checker              *invariants.Checker
	program              []string // command line that starts a balancer
	directory            string   // for configurations and logs
	options              string   // path of the operators' options file of the balancers; may be empty
	balancersAreExternal bool     // the balancers are not started by this driver
	isolation            *Isolation
	ctx                  context.Context // cancelled by Close
	cancel               context.CancelFunc
	workers              sync.WaitGroup
	wake                 chan struct{} // signals that the schedule may have changed
	starts               chan func()   // functions for the thread that starts all processes

	mu                  sync.Mutex // guards the world and the fields below
	startedAt           time.Time
	isRunning           bool
	isOver              bool
	servers             []*server
	discoveries         []*discovery // by balancer
	processes           []*process   // by balancer
	clients             map[simulation.FlowID]*client
	connections         map[simulation.ConnID]*connection
	awaitingEstablished map[simulation.FlowID]simulation.ConnID // initially established connections that are not up yet
	lateness            *hdrhistogram.Histogram                 // of scheduled actions, in microseconds
	maxObservationDelay time.Duration                           // from an event to its report to the checker
	fault               error                                   // the first error of the driver itself
	arrivals            simulation.ArrivalSource                // nil: the day's own
}

// Counts are the numbers of the balancers' connects, migrations and health checks, and their times.
type Counts struct {
	Connects       int
	Crossings      int // connects to another locality
	Migrations     int
	HealthChecks   int
	HealthChecksAt map[simulation.ServerID][]time.Duration
	MigratedAt     []time.Duration
	ConnectedAt    []time.Duration
}

// New prepares a run. program is the command line of a balancer, which finds the path of its configuration in PROXY_CONFIG; directory is
// for configurations and logs. For a run without balancers, by NewLoadDriver or Serve, program is nil.
func New(parent context.Context, day *experiment.Day, checker *invariants.Checker, program []string, directory string) *Driver {
	const significantFigures = 3
	d := &Driver{day: day, world: day.World, checker: checker, program: program, directory: directory, startedAt: time.Now(),
		wake: make(chan struct{}, 1), starts: make(chan func()),
		clients: map[simulation.FlowID]*client{}, connections: map[simulation.ConnID]*connection{},
		awaitingEstablished: map[simulation.FlowID]simulation.ConnID{},
		lateness:            hdrhistogram.New(1, maxRecordedLateness.Microseconds(), significantFigures)}
	d.ctx, d.cancel = context.WithCancel(parent)
	d.Counts.HealthChecksAt = map[simulation.ServerID][]time.Duration{}
	day.World.Driver = d
	d.workers.Go(d.startProcesses)
	return d
}

// NewLoadDriver prepares a run of clients only, against external balancers at these addresses. The day has to have as many balancers; its
// servers are not used.
func NewLoadDriver(parent context.Context, day *experiment.Day, checker *invariants.Checker, addresses []string) *Driver {
	d := New(parent, day, checker, nil, "")
	d.balancersAreExternal = true
	d.world.StartFlowIDsAfter(simulation.FlowID(time.Now().UnixMicro()) << flowIDShift) // ids differ from those of earlier loads
	for b, address := range addresses {
		d.processes = append(d.processes, &process{driver: d, id: simulation.BalancerID(b), address: address, isUp: true})
	}
	return d
}

// SetOptions writes the operators' options file that balancers are started with.
func (d *Driver) SetOptions(text string) error {
	d.options = filepath.Join(d.directory, "options.toml")
	if err := os.WriteFile(d.options, []byte(text), optionsMode); err != nil {
		return fmt.Errorf("write the operators' options: %w", err)
	}
	return nil
}

// CheckerTolerances returns the tolerances for the checker of a run on sockets: slack for delays of the sockets, and how long events are
// held back to be sorted.
func CheckerTolerances() (slack, reordering time.Duration) { return answerTolerance, maxReordering }

// Run runs the day and returns when it is over and all processes have ended. void is the reason why the results do not reflect the
// balancers, empty for a valid run; progress, which may be nil, is called with the time of the run every half second.
func (d *Driver) Run(progress func(time.Duration)) (void string, err error) {
	defer d.Close()
	if err := d.Open(); err != nil {
		return "", err
	}
	if err := d.startBalancers(); err != nil {
		return "", err
	}
	if err := d.establishInitially(); err != nil {
		return "", err
	}
	return d.runToEnd(progress)
}

// RunLoad runs the load of a source until the end of the day.
func (d *Driver) RunLoad(source simulation.ArrivalSource, progress func(time.Duration)) (void string, err error) {
	defer d.Close()
	d.mu.Lock()
	d.world.StartLoad(source)
	d.mu.Unlock()
	return d.runToEnd(progress)
}

// Serve runs servers and discovery without balancers, until the day or the context ends. ready is called when all listeners are open.
func (d *Driver) Serve(ready func() error) error {
	defer d.Close()
	if err := d.Open(); err != nil {
		return err
	}
	if err := ready(); err != nil {
		return err
	}
	d.mu.Lock()
	d.world.ScheduleFaults(d.day.Faults)
	d.mu.Unlock()
	_, err := d.runToEnd(nil)
	return err
}

// Open opens the listeners of servers and discovery.
func (d *Driver) Open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for b := range d.world.Balancers {
		discovery, err := newDiscovery(d, simulation.BalancerID(b))
		if err != nil {
			return err
		}
		d.discoveries = append(d.discoveries, discovery)
	}
	for _, s := range d.world.Servers {
		d.ServerChanged(s.ID)
	}
	if d.fault != nil {
		return d.fault
	}
	for _, discovery := range d.discoveries {
		discovery.storeEntries(d.world.List.Known(discovery.balancer))
	}
	return nil
}

// startBalancers starts all balancers and waits until they are ready.
func (d *Driver) startBalancers() error {
	for _, b := range d.world.Balancers {
		p, err := newProcess(d, b.ID)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.processes = append(d.processes, p)
		d.mu.Unlock()
	}
	for b := range d.processes {
		d.mu.Lock()
		d.StartBalancer(simulation.BalancerID(b))
		d.mu.Unlock()
	}
	for _, p := range d.processes {
		if err := p.awaitReady(d.ctx); err != nil {
			return err
		}
	}
	return nil
}

// establishInitially opens the initially established connections and waits until all are up. The time of the run does not advance
// meanwhile.
func (d *Driver) establishInitially() error {
	d.mu.Lock()
	if d.arrivals == nil {
		d.arrivals = d.day.Source()
	}
	d.world.ScheduleFaults(d.day.Faults)
	d.world.StartLoad(d.arrivals)
	d.world.Schedule.RunTo(0)
	d.mu.Unlock()
	deadline := time.Now().Add(establishTimeout)
	for {
		d.mu.Lock()
		missing, fault := len(d.awaitingEstablished), d.fault
		d.mu.Unlock()
		switch {
		case fault != nil:
			return fault
		case missing == 0:
			return nil
		case time.Now().After(deadline):
			return fmt.Errorf("%d initially established connections were not up after %v", missing, establishTimeout)
		}
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case <-time.After(establishPollInterval):
		}
	}
}

// runToEnd starts the time of the run and executes the schedule until the end of the day.
func (d *Driver) runToEnd(progress func(time.Duration)) (void string, err error) {
	d.mu.Lock()
	d.startedAt, d.isRunning = time.Now(), true
	d.mu.Unlock()
	reported := time.Duration(0)
	for {
		now, isFinished := d.step()
		if progress != nil && now-reported >= progressInterval {
			reported = now
			progress(now)
		}
		if isFinished {
			return d.finish()
		}
		if err := d.pause(); err != nil {
			return "", err
		}
	}
}

// step executes all actions that are due and advances the checker.
func (d *Driver) step() (now time.Duration, isFinished bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	end := d.world.Accounting.Length
	now = d.now()
	if due, ok := d.world.Schedule.Next(); ok && due < now {
		_ = d.lateness.RecordValue(max(1, (now - due).Microseconds())) // values beyond maxRecordedLateness are not recorded
	}
	d.world.Schedule.RunTo(min(now, end))
	d.checker.Advance(now)
	return now, now >= end || d.fault != nil
}

// pause waits until the next action is due, the schedule may have changed or the context ends.
func (d *Driver) pause() error {
	timer := time.NewTimer(max(d.untilNext(), 0))
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return d.ctx.Err()
	case <-d.wake:
	case <-timer.C:
	}
	return nil
}

// untilNext returns the time until the next action is due, at most maxPause; negative if the action is late.
func (d *Driver) untilNext() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next, ok := d.world.Schedule.Next(); ok {
		return min(maxPause, next-d.now())
	}
	return maxPause
}

// finish ends the day and returns why the run is void, or an empty string. The checker stops maxReordering before the end, as later events
// may not have been observed yet. Answers that are due after that time are not required.
func (d *Driver) finish() (void string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.world.End()
	now := d.now()
	d.isOver = true
	d.checker.Finish(now - maxReordering)
	if d.fault != nil {
		return "", d.fault
	}
	return d.voidReason(), nil
}

// voidReason returns why the run is void, or an empty string. A run is void if the driver itself was late, because then the machine was
// too busy to judge the balancers, or if an event reached the checker too late to be sorted.
func (d *Driver) voidReason() string {
	if d.maxObservationDelay > maxReordering {
		return fmt.Sprintf("the machine was too busy: the drive saw something %v after it happened (%v is allowed)",
			d.maxObservationDelay, maxReordering)
	}
	p99 := time.Duration(d.lateness.ValueAtQuantile(99)) * time.Microsecond
	most := time.Duration(d.lateness.Max()) * time.Microsecond
	if p99 > maxLatenessP99 || most > maxLateness {
		return fmt.Sprintf("the machine was too busy: the drive itself ran late by %v at p99 and %v at most (%v and %v are allowed)",
			p99, most, maxLatenessP99, maxLateness)
	}
	return ""
}

// Close ends all processes, listeners, connections and goroutines of the driver, and waits for the goroutines.
func (d *Driver) Close() {
	d.mu.Lock()
	d.isOver = true
	d.cancel()
	for _, p := range d.processes {
		p.kill()
	}
	for _, s := range d.servers {
		s.close()
	}
	for _, discovery := range d.discoveries {
		discovery.close()
	}
	for _, c := range d.clients {
		c.close()
	}
	for _, c := range d.connections {
		c.close(false)
	}
	d.mu.Unlock()
	if d.isolation != nil {
		d.isolation.Network.Close()
	}
	d.workers.Wait()
}
