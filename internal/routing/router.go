// Package routing offers the decisions of package decide in blocking style: open a flow, wait for its decision,
// report what became of it. Network code sees neither the events nor the actions of the decisions, so that another
// protocol can be served without a change here.
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
	Full        = decide.Full        // the server rejected it unseen
	TimedOut    = decide.TimedOut    // no answer within the time allowed
	Unreachable = decide.Unreachable // no connection could be established
	Reset       = decide.Reset       // the connection broke
	Cancelled   = decide.Cancelled   // the client left, or was asked to leave
	NeverSent   = decide.NeverSent   // the attempt never went out
)

var (
	// ErrUnknownService says that the configuration names no such service type.
	ErrUnknownService = errors.New("unknown service type")
	// ErrUnknownServer says that no endpoint list ever named a server.
	ErrUnknownServer = errors.New("no list has named this server")
)

// Config is what a Router needs to know before its first flow.
type Config struct {
	// Seed starts the random draws of the decisions.
	Seed uint64
	// LatencyThreshold is the latency of a message from which the decisions get latency samples of a server.
	LatencyThreshold time.Duration
	// ServersReportLoad and ServersReportLatency say what the servers' own metric lines speak of. Where both are
	// set each metric is classified, see Flow.OnServerMetric.
	ServersReportLoad, ServersReportLatency bool
	// Constraints bound what the decisions may do; with none of them the decisions run alone.
	Constraints []constraints.Constraint
	// Configure hands the decisions their settings. It returns what the names of services and customers stand for.
	Configure func(*decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID)
}

// Router owns the one instance of the decisions that a balancer has.
type Router struct {
	checkPending chan struct{} // signalled while pendingChecks has entries
	earlierTimer chan struct{} // signalled when a timer is set that is due before all others

	// mu guards all that follows and the decisions themselves. It is never held over I/O.
	mu          sync.Mutex
	balancer    constraints.Balancer
	constrained *constraints.ConstrainedBalancer // the balancer, where it has constraints; else nil
	startedAt   time.Time
	timers      timerHeap

	services   map[string]decide.ServiceID // read-only once New has returned
	customers  map[string]decide.CustomerID
	flows      map[decide.FlowID]*Flow
	lastFlowID int64

	servers      map[decide.ServerID]*server
	serverIDs    map[string]decide.ServerID
	serverOrder  []*server // as first listed: the order of a map must decide nothing
	hasEndpoints bool
	lastContact  time.Duration // last sign of life of discovery; 0: none so far

	pendingChecks     []decide.ServerID                                // health checks requested and not yet sent, oldest first; each server once
	healthCheckFilter func(id decide.ServerID, now time.Duration) bool // see SetHealthCheckFilter

	latency latencyTracker
}

// New makes a router.
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

// lockForEvent begins an event: it locks the mutex and sets the decisions' clock, so that what they do takes effect at
// this moment. The caller unlocks.
func (r *Router) lockForEvent() (now time.Duration) {
	r.mu.Lock()
	now = r.Now()
	r.balancer.SetTime(now)
	return now
}

// Now is the time on the router's clock, for functions that WithLock runs.
func (r *Router) Now() time.Duration { return time.Since(r.startedAt) }

// WithLock runs do while no decision is made, as a change of a constraint's settings needs it.
func (r *Router) WithLock(do func()) {
	r.lockForEvent()
	defer r.mu.Unlock()
	do()
}

// OnLoadReport takes a server's load report that another balancer received. The caller holds the lock, see WithLock.
func (r *Router) OnLoadReport(id decide.ServerID, load float64) { r.balancer.OnLoadReport(id, load) }

// SetHandedOver says whether another process continues from a snapshot of this router.
func (r *Router) SetHandedOver(handedOver bool) {
	r.lockForEvent()
	defer r.mu.Unlock()
	r.balancer.SetHandedOver(handedOver)
}

// signal wakes the reader of a channel that holds one signal at most.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is waiting already
	}
}

// Tick waits for the next timer or latency check that is due and runs it. Its error is the context's, once that ended.
func (r *Router) Tick(ctx context.Context) error {
	timer := time.NewTimer(r.untilDue())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.earlierTimer: // the wait was too long
	case <-timer.C:
		r.runDue()
	}
	return nil
}

// untilDue is how long until the next timer or latency check is due.
func (r *Router) untilDue() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.latency.nextCheck
	if len(r.timers) > 0 {
		due = min(due, r.timers[0].due)
	}
	return due - r.Now()
}

// runDue runs all timers and the latency check, as far as they are due.
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
