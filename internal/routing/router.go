// Package routing provides a blocking API to package decide: open a flow, wait for its decision, report the outcome.
// Network code sees neither the events nor the actions of package decide, so that another protocol can be served
// without a change here.
package routing

import (
	"context"
	"errors"
	"sync"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// Outcome says how an attempt, a connection or a health check ended.
type Outcome = decide.Outcome

// The outcomes, for packages that must not import decide.
const (
	OK          = decide.OK          // served to its end
	Error       = decide.Error       // the server answered with an error
	Full        = decide.Full        // the server rejected it without processing it
	TimedOut    = decide.TimedOut    // no answer before the deadline
	Unreachable = decide.Unreachable // no connection could be established
	Reset       = decide.Reset       // the connection broke
	Cancelled   = decide.Cancelled   // the client left, or was asked to reconnect
	NeverSent   = decide.NeverSent   // nothing was sent to the server
)

var (
	// ErrUnknownService means that the configuration has no such service type.
	ErrUnknownService = errors.New("unknown service type")
	// ErrUnknownServer means that no endpoint list has ever contained the server.
	ErrUnknownServer = errors.New("no list has named this server")
)

// Config configures a Router.
type Config struct {
	// Seed seeds the balancer's random generator.
	Seed uint64
	// LatencyThreshold is the message latency above which latency samples of a server are reported to the balancer.
	LatencyThreshold time.Duration
	// ServersReportLoad and ServersReportLatency say what the servers' metric lines carry. If both are set, each metric
	// is classified, see Flow.OnServerMetric.
	ServersReportLoad, ServersReportLatency bool
	// Constraints restrict the balancer's decisions; if there are none, the balancer runs unconstrained.
	Constraints []constraints.Constraint
	// Configure configures the balancer. It returns the ids of service types and customers by name.
	Configure func(*decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID)
}

// Router owns the decide.Balancer of a process and serialises access to it.
type Router struct {
	checkPending chan struct{} // signalled while pendingChecks is not empty
	earlierTimer chan struct{} // signalled when a timer is set that is due before all others

	// mu guards the fields below, the balancer included. It is never held during I/O.
	mu          sync.Mutex
	balancer    constraints.Balancer
	constrained *constraints.ConstrainedBalancer // the same balancer if it has constraints; otherwise nil
	startedAt   time.Time
	timers      timerHeap

	services   map[string]decide.ServiceID // read-only once New has returned
	customers  map[string]decide.CustomerID
	flows      map[decide.FlowID]*Flow
	lastFlowID int64

	servers      map[decide.ServerID]*server
	serverIDs    map[string]decide.ServerID
	serverOrder  []*server // in the order in which they became known: decisions must not depend on map iteration order
	hasEndpoints bool
	lastContact  time.Duration // time of the last contact with discovery; 0: none so far

	pendingChecks     []decide.ServerID                                // servers with a requested health check, oldest request first, no duplicates
	healthCheckFilter func(id decide.ServerID, now time.Duration) bool // see SetHealthCheckFilter

	latency latencyTracker
}

// New returns a router that uses the given configuration.
func New(config Config) *Router {
	r := &Router{
		startedAt: time.Now(),
		flows:     map[decide.FlowID]*Flow{},
		servers:   map[decide.ServerID]*server{},
		serverIDs: map[string]decide.ServerID{},
		latency: latencyTracker{
			threshold:            config.LatencyThreshold,
			nextCheck:            latencySampleInterval,
			serversReportLoad:    config.ServersReportLoad,
			serversReportLatency: config.ServersReportLatency,
			awaitingReply:        flowList{linkIndex: awaitingReplyLinks},
			byLastRequest:        flowList{linkIndex: lastRequestLinks},
		},
		earlierTimer: make(chan struct{}, 1),
		checkPending: make(chan struct{}, 1),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	configure := func(b *decide.Balancer) { r.services, r.customers = config.Configure(b) }
	if len(config.Constraints) > 0 {
		r.constrained = constraints.New(config.Seed, actions{r}, config.Constraints, configure)
		r.balancer = r.constrained
		return r
	}
	b := decide.New(config.Seed, actions{r})
	r.balancer = b
	configure(b)
	return r
}

// lockForEvent locks the mutex and advances the balancer's clock to the current time, which must precede each event.
// The caller unlocks.
func (r *Router) lockForEvent() (now time.Duration) {
	r.mu.Lock()
	now = r.Now()
	r.balancer.SetTime(now)
	return now
}

// Now returns the time on the router's clock.
func (r *Router) Now() time.Duration { return time.Since(r.startedAt) }

// WithLock calls do with the router locked, so that no decision is made meanwhile; a change of a constraint's settings
// requires this.
func (r *Router) WithLock(do func()) {
	r.lockForEvent()
	defer r.mu.Unlock()
	do()
}

// OnLoadReport reports a server's load that another balancer received. The caller must hold the lock, see WithLock.
func (r *Router) OnLoadReport(id decide.ServerID, load float64) { r.balancer.OnLoadReport(id, load) }

// SetHandedOver records that another process continues from a snapshot of this router or, with false, that the other
// process has ended.
func (r *Router) SetHandedOver(handedOver bool) {
	r.lockForEvent()
	defer r.mu.Unlock()
	r.balancer.SetHandedOver(handedOver)
}

// signal sends to a channel of capacity 1 without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is pending already
	}
}

// Tick waits until a timer or latency check is due and runs all that are due. It returns early without running any when
// an earlier timer has been set. It fails only when the context ends, with the context's error.
func (r *Router) Tick(ctx context.Context) error {
	timer := time.NewTimer(r.timeUntilDue())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.earlierTimer: // the next call computes the shorter wait
	case <-timer.C:
		r.runDue()
	}
	return nil
}

// timeUntilDue returns the time until the next timer or latency check is due.
func (r *Router) timeUntilDue() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.latency.nextCheck
	if len(r.timers) > 0 {
		due = min(due, r.timers[0].due)
	}
	return due - r.Now()
}

// runDue runs all due timers, and the latency check if it is due.
func (r *Router) runDue() {
	now := r.lockForEvent()
	defer r.mu.Unlock()
	for len(r.timers) > 0 && r.timers[0].due <= now {
		r.balancer.OnTimer(r.timers.popFirst())
	}
	if now >= r.latency.nextCheck {
		r.checkLatencies(now)
	}
}
