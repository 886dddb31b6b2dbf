// Package sockets runs a simulated world in real time on loopback: stand-in servers, discovery and clients that speak the platform's
// lines, before real balancer processes. The model behind them is the same as in virtual time.
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
	answerTolerance = 50 * time.Millisecond  // beyond the rules' times, for the way over sockets
	maxReordering   = 300 * time.Millisecond // events wait that long to be put in order
	establishWithin = 20 * time.Second       // what is established when the day begins must be up by then
	establishPoll   = 10 * time.Millisecond

	// Of the driver itself: beyond them, a run says nothing of the balancers.
	maxLatenessP99 = 25 * time.Millisecond
	maxLateness    = 400 * time.Millisecond

	progressInterval = 500 * time.Millisecond
	longestPause     = 50 * time.Millisecond // between two looks at the schedule
	longestRecorded  = time.Minute           // lateness
	flowIDShift      = 10                    // of the time, to the first flow's id of a load
	optionsMode      = 0o600
)

// Driver is one run on sockets.
type Driver struct {
	Tally Tally

	day                  *experiment.Day
	world                *simulation.World
	checker              *invariants.Checker
	program              []string // starts a balancer; its configuration is added
	directory            string   // for configurations and logs
	options              string   // the path of the operators' file that balancers are started with
	balancersAreExternal bool     // what runs is only seen from outside
	isolation            *Isolation
	ctx                  context.Context // ends with Close
	cancel               context.CancelFunc
	workers              sync.WaitGroup
	wake                 chan struct{} // has an item after the schedule may have changed
	starts               chan func()   // run on the thread that starts all processes

	mu                  sync.Mutex // guards the world and what follows
	startedAt           time.Time
	isRunning           bool
	isOver              bool
	servers             []*server
	discoveries         []*discovery // by balancer
	processes           []*process   // by balancer
	clients             map[simulation.FlowID]*client
	connections         map[simulation.ConnID]*connection
	awaitingEstablished map[simulation.FlowID]simulation.ConnID // that are established when the day begins
	lateness            *hdrhistogram.Histogram                 // of actions after their time
	maxObservationDelay time.Duration                           // from something that happened until it was observed
	fault               error                                   // the first thing that went wrong with the driver itself
	source              simulation.ArrivalSource                // nil: the day's own
}

// Tally counts what was seen of the balancers.
type Tally struct {
	Connects       int
	Crossings      int // connects to another locality
	Migrations     int
	HealthChecks   int
	HealthChecksAt map[simulation.ServerID][]time.Duration
	MigratedAt     []time.Duration
	ConnectedAt    []time.Duration
}

// New prepares a run. program starts a balancer, which finds the path of its configuration in PROXY_CONFIG; directory is for configurations
// and logs. An empty program leaves balancers out: servers and discovery alone.
func New(parent context.Context, day *experiment.Day, checker *invariants.Checker, program []string, directory string) *Driver {
	const significantFigures = 3
	d := &Driver{day: day, world: day.World, checker: checker, program: program, directory: directory, startedAt: time.Now(),
		wake: make(chan struct{}, 1), starts: make(chan func()),
		clients: map[simulation.FlowID]*client{}, connections: map[simulation.ConnID]*connection{},
		awaitingEstablished: map[simulation.FlowID]simulation.ConnID{},
		lateness:            hdrhistogram.New(1, longestRecorded.Microseconds(), significantFigures)}
	d.ctx, d.cancel = context.WithCancel(parent)
	d.Tally.HealthChecksAt = map[simulation.ServerID][]time.Duration{}
	day.World.Driver = d
	d.workers.Go(d.startProcesses)
	return d
}

// Load prepares a run of clients alone, against balancers at these addresses. The day has as many balancers, and its servers are not used.
func Load(parent context.Context, day *experiment.Day, checker *invariants.Checker, addresses []string) *Driver {
	d := New(parent, day, checker, nil, "")
	d.balancersAreExternal = true
	d.world.FirstFlow(simulation.FlowID(time.Now().UnixMicro()) << flowIDShift) // no id of an earlier load comes again
	for b, address := range addresses {
		d.processes = append(d.processes, &process{driver: d, id: simulation.BalancerID(b), address: address, isUp: true})
	}
	return d
}

// SetOptions has balancers started with an operators' file.
func (d *Driver) SetOptions(text string) error {
	d.options = filepath.Join(d.directory, "options.toml")
	if err := os.WriteFile(d.options, []byte(text), optionsMode); err != nil {
		return fmt.Errorf("write the operators' options: %w", err)
	}
	return nil
}

// CheckerTimes are what the checker of such a run has to allow: slack for the way over sockets, and reordering of events.
func CheckerTimes() (slack, reordering time.Duration) { return answerTolerance, maxReordering }

// Run runs the day and returns when it is over and all processes have ended. void says why the figures tell nothing of the balancers;
// progress, which may be nil, gets the time each half second.
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
	return d.play(progress)
}

// RunLoad runs the load of a source to the end of the day.
func (d *Driver) RunLoad(source simulation.ArrivalSource, progress func(time.Duration)) (void string, err error) {
	defer d.Close()
	d.mu.Lock()
	d.world.StartLoad(source)
	d.mu.Unlock()
	return d.play(progress)
}

// Serve runs servers and discovery alone, until the end of the day or of the context. ready is called when all of them are open.
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
	_, err := d.play(nil)
	return err
}

// Open opens servers and discovery.
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
		discovery.takeAll(d.world.List.Known(discovery.balancer))
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

// establishInitially brings up what is established when the day begins, while the day's time stands still.
func (d *Driver) establishInitially() error {
	d.mu.Lock()
	if d.source == nil {
		d.source = d.day.Source()
	}
	d.world.ScheduleFaults(d.day.Faults)
	d.world.StartLoad(d.source)
	d.world.Schedule.RunTo(0)
	d.mu.Unlock()
	deadline := time.Now().Add(establishWithin)
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
			return fmt.Errorf("%d connections that stand at the beginning were not up after %v", missing, establishWithin)
		}
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case <-time.After(establishPoll):
		}
	}
}

// play lets the time run to the end of the day.
func (d *Driver) play(progress func(time.Duration)) (void string, err error) {
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

// step does what is due.
func (d *Driver) step() (now time.Duration, isFinished bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	end := d.world.Accounting.Length
	now = d.now()
	if due, ok := d.world.Schedule.Next(); ok && due < now {
		_ = d.lateness.RecordValue(max(1, (now - due).Microseconds())) // one beyond the longest is not recorded
	}
	d.world.Schedule.RunTo(min(now, end))
	d.checker.Advance(now)
	return now, now >= end || d.fault != nil
}

// pause waits until something is due or may be, or the context ends.
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

// untilNext is the time from now until the next action is due, up to longestPause; below 0 where it is late.
func (d *Driver) untilNext() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next, ok := d.world.Schedule.Next(); ok {
		return min(longestPause, next-d.now())
	}
	return longestPause
}

// finish ends the day. What was accepted in the last moments is not owed an answer that nobody waits for.
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

// voidReason reports whether the driver itself was late, or empty: a busy machine must not be held against the balancers, nor can what the
// checker was told later than it puts events in order.
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

// Close ends all that the driver started, and waits for it.
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
