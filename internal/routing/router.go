// Package routing offers the decisions of package decide in blocking style: open a flow, wait for its decision,
// report what became of it. Network code sees neither the events nor the actions of the decisions, so that another
// protocol can be served without a change here.
package routing

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
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
	// LatencyThreshold is the delay of a message from which the decisions get latency samples of a server.
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
	fetchRequests chan struct{}
	checkPending  chan struct{} // signalled while pendingChecks has entries
	earlierTimer  chan struct{} // signalled when a timer is set that is due before all others

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

	pendingChecks     []decide.ServerID // health checks requested and not yet sent, oldest first; each server once
	healthCheckFilter func(decide.ServerID, time.Duration) bool

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
		earlierTimer:  make(chan struct{}, 1),
		fetchRequests: make(chan struct{}, 1),
		checkPending:  make(chan struct{}, 1),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(config.Constraints) > 0 {
		r.constrained = constraints.New(config.Seed, actions{r}, config.Constraints, func(b *decide.Balancer) {
			r.services, r.customers = config.Configure(b)
		})
		r.balancer = r.constrained
		return r
	}
	b := decide.New(config.Seed, actions{r})
	r.balancer = b
	r.services, r.customers = config.Configure(b)
	return r
}

// enter begins an event: it locks the mutex and sets the decisions' clock, so that what they do takes effect at this
// moment. The caller unlocks.
func (r *Router) enter() time.Duration {
	r.mu.Lock()
	now := r.Now()
	r.balancer.SetTime(now)
	return now
}

// Now is the time on the router's clock, for functions that WithLock runs.
func (r *Router) Now() time.Duration { return time.Since(r.startedAt) }

// WithLock runs do while no decision is made, as a change of a constraint's settings needs it.
func (r *Router) WithLock(do func()) {
	r.enter()
	defer r.mu.Unlock()
	do()
}

// MaxIDLength is the most bytes that a server's id may have.
const MaxIDLength = 4 << 10

// server is what the router knows of one server.
type server struct {
	name  string
	addr  string
	index int // in the router's serverOrder

	reportedStart time.Time     // when it last started, by the endpoint list's clock; the zero time: long ago
	startedAt     time.Duration // the same by the router's clock

	isListedReady  bool
	isDisabled     bool // administratively
	checkIsPending bool // it stands in the router's pendingChecks
	isLateSuspect  bool // it stands in the latency tracker's suspects

	roundTrips  roundTripWindow
	metrics     metricClassifier
	established []*Flow // flows whose connection is established here
}

// acceptsFlows reports whether new flows may be sent to the server.
func (s *server) acceptsFlows() bool { return s.isListedReady && !s.isDisabled }

// ServerID is the id that a server's name gets at every balancer, unless another name holds it already.
func ServerID(name string) decide.ServerID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return decide.ServerID(h.Sum32())
}

// assignServerID returns the decisions' id of a server. It is derived from the name alone, as all balancers must
// choose the same preferred server for a group; where two names share a hash the second gets the next free id.
func (r *Router) assignServerID(name string) decide.ServerID {
	if id, ok := r.serverIDs[name]; ok {
		return id
	}
	id := ServerID(name)
	for r.servers[id] != nil {
		id++
	}
	s := &server{name: name, index: len(r.serverOrder), startedAt: decide.LongAgo}
	r.serverIDs[name], r.servers[id] = id, s
	r.serverOrder = append(r.serverOrder, s)
	return id
}

// SetDisabled disables a server administratively, or enables it again. It is in force on return, also for connections
// that are being established. An ErrUnknownServer says that no endpoint list ever named the server.
func (r *Router) SetDisabled(name string, disabled bool) error {
	r.enter()
	defer r.mu.Unlock()
	id, ok := r.serverIDs[name]
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownServer, name)
	}
	if s := r.servers[id]; s.isDisabled != disabled {
		s.isDisabled = disabled
		slog.Info("server administrative state changed", "server", name, "disabled", disabled)
		r.balancer.SetDisabled(id, disabled)
	}
	return nil
}

// DisableAll disables servers that no endpoint list may have named yet, as they were before a restart.
func (r *Router) DisableAll(names []string) {
	r.enter()
	defer r.mu.Unlock()
	for _, name := range names {
		id := r.assignServerID(name)
		r.servers[id].isDisabled = true
		r.balancer.SetDisabled(id, true)
	}
}

// DisabledServers names the servers that are administratively disabled.
func (r *Router) DisabledServers() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.serverOrder {
		if s.isDisabled {
			names = append(names, s.name)
		}
	}
	return names
}

// IsDisabled reports whether a server is administratively disabled, and whether any endpoint list ever named it.
func (r *Router) IsDisabled(name string) (disabled, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, known := r.serverIDs[name]
	return known && r.servers[id].isDisabled, known
}

// OnLoadReport takes a server's load report that another balancer received. The caller holds the lock, see WithLock.
func (r *Router) OnLoadReport(s decide.ServerID, load float64) { r.balancer.OnLoadReport(s, load) }

// SetHandedOver says whether another process goes on with what is known here.
func (r *Router) SetHandedOver(handedOver bool) {
	r.enter()
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
	r.mu.Lock()
	due := r.latency.nextCheck
	if len(r.timers) > 0 {
		due = min(due, r.timers[0].due)
	}
	wait := due - r.Now()
	r.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.earlierTimer:
		return nil
	case <-timer.C:
	}
	now := r.enter()
	defer r.mu.Unlock()
	for len(r.timers) > 0 && r.timers[0].due <= now {
		r.balancer.OnTimer(r.timers.popFirst())
	}
	if now >= r.latency.nextCheck {
		r.checkLatencies(now)
	}
	return nil
}
