// Package routing is the decision module in blocking style: pick, report, tick. Network code sees neither the
// module's events nor its actions; another protocol fits before it as well as ours.
package routing

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// Outcome says how a connect, a connection or a probe ended.
type Outcome = decide.Outcome

// Outcomes, for packages that must not see the decisions.
const (
	OK          = decide.OK
	Error       = decide.Error
	Full        = decide.Full
	TimedOut    = decide.TimedOut
	Unreachable = decide.Unreachable
	Reset       = decide.Reset
	Cancelled   = decide.Cancelled
	NeverSent   = decide.NeverSent
)

// Marks of a flow as it arrives.
const (
	FlagLoadHint  = decide.FlagLoadHint
	FlagRetry     = decide.FlagRetry
	FlagReturning = decide.FlagReturning
)

// ErrUnknownService says that the configuration names no such service type.
var ErrUnknownService = errors.New("unknown service type")

// MaxIDLength is how many bytes a server's id may have. Who told it names the bound.
const MaxIDLength = 4 << 10

// Router keeps the one instance of the module that a balancer has. The mutex guards all of it and the module, and
// is never held over I/O.
type Router struct {
	mu        sync.Mutex
	b         constraints.Balancer
	host      *constraints.ConstrainedBalancer // b, where other deciders stand round the module; else nil
	start     time.Time
	services  map[string]decide.ServiceID
	customers map[string]decide.CustomerID
	flows     map[decide.FlowID]*Flow
	lastFlow  int64
	servers   map[decide.ServerID]*server
	numbers   map[string]decide.ServerID
	listed    bool
	heard     time.Duration // last sign of life of discovery; 0: none so far
	order     []*server     // as first listed: map order must decide nothing

	timers timers
	sooner chan struct{} // a timer was set that is due before all others
	late   lateness

	// What noteDelays may have to look at, so that flows and servers in time cost it nothing.
	asking   flowList  // stands, and a line of its client's waits for an answer; the longest first
	quiet    flowList  // stands; the one whose client sent nothing for longest first
	suspects []*server // with a late trip of late, or noted as late

	fetch   chan struct{}
	probes  []decide.ServerID // wanted and not yet sent, the longest first; each server once
	toProbe chan struct{}     // there are some

	mayProbe func(decide.ServerID, time.Duration) bool // nil: any
}

type server struct {
	name string
	addr string

	startTold time.Time     // when it last started, as the list last told; the zero time: long ago
	started   time.Duration // and by the router's clock

	listed  bool // as ready
	byHand  bool // staff have taken it out
	lines   roundTrips
	said    []said
	beat    time.Duration // when the last of a row of delays was told; 0: none is under way
	point   time.Duration // when the last of any row was told
	dropped time.Duration // when it last reset a connection
	wanted  bool          // among the probes not yet sent
	suspect bool          // among the router's
	place   int           // in the router's order
	up      []*Flow       // that stand here
}

// ready tells whether anything new may be sent there.
func (s *server) ready() bool { return s.listed && !s.byHand }

// New makes the instance. start hands the module's parts their settings and tells what names stand for; lateFrom is
// the delay of a message from which the module wants to hear of it, tellLoad and tellLag what servers tell. deciders, where
// there are any, bound what the module may do.
func New(seed uint64, lateFrom time.Duration, tellLoad, tellLag bool, deciders []constraints.Constraint,
	start func(*decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID)) *Router {
	r := &Router{start: time.Now(), flows: map[decide.FlowID]*Flow{}, servers: map[decide.ServerID]*server{},
		numbers: map[string]decide.ServerID{}, sooner: make(chan struct{}, 1),
		fetch: make(chan struct{}, 1), toProbe: make(chan struct{}, 1)}
	r.asking.which, r.quiet.which = inAsking, inQuiet
	r.late = lateness{from: lateFrom, next: noteEvery, tellLoad: tellLoad, tellLag: tellLag}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(deciders) > 0 {
		r.host = constraints.New(seed, actions{r}, deciders, func(b *decide.Balancer) { r.services, r.customers = start(b) })
		r.b = r.host
		return r
	}
	b := decide.New(seed, actions{r})
	r.b = b
	r.services, r.customers = start(b)
	return r
}

// enter begins an event: what the module does takes effect at this moment. The caller unlocks.
func (r *Router) enter() time.Duration {
	r.mu.Lock()
	now := time.Since(r.start)
	r.b.SetTime(now)
	return now
}

// ServerID is the id that a server's name comes to at every balancer, unless another name has it there already.
func ServerID(name string) decide.ServerID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash takes all
	return decide.ServerID(h.Sum32())
}

// number is the module's id of a server. It comes from the name alone, as all balancers must draw the same home for
// a group; a second name with the same figure takes the next one.
func (r *Router) number(name string) decide.ServerID {
	if id, ok := r.numbers[name]; ok {
		return id
	}
	id := ServerID(name)
	for r.servers[id] != nil {
		id++
	}
	s := &server{name: name, place: len(r.order), started: decide.LongAgo}
	r.numbers[name], r.servers[id] = id, s
	r.order = append(r.order, s)
	return id
}

// Tick waits for the next thing due and does it; an error says that the context ended.
func (r *Router) Tick(ctx context.Context) error {
	r.mu.Lock()
	due := r.late.next
	if len(r.timers) > 0 {
		due = min(due, r.timers[0].due)
	}
	r.mu.Unlock()
	t := time.NewTimer(due - time.Since(r.start))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.sooner:
		return nil
	case <-t.C:
	}
	now := r.enter()
	defer r.mu.Unlock()
	for len(r.timers) > 0 && r.timers[0].due <= now {
		r.b.OnTimer(heap.Pop(&r.timers).(timer).mark)
	}
	if now >= r.late.next {
		r.noteDelays(now)
	}
	return nil
}

// timer and timers are a heap by the time due.
type timer struct {
	due  time.Duration
	mark decide.TimerID
}
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// HasEndpoints tells whether any list was taken so far.
func (r *Router) HasEndpoints() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// ErrUnknownServer says that no list ever named a server.
var ErrUnknownServer = errors.New("no list has named this server")

// SetDisabled takes a server out by hand, or gives it back. It is in force on return, also for connects coming up.
func (r *Router) SetDisabled(name string, out bool) error {
	r.enter()
	defer r.mu.Unlock()
	id, ok := r.numbers[name]
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownServer, name)
	}
	if s := r.servers[id]; s.byHand != out {
		s.byHand = out
		slog.Info("server by hand", "server", name, "out", out)
		r.b.SetDisabled(id, out)
	}
	return nil
}

// OnWatchLost says that the watch broke; the module may want it again at a time of its own.
func (r *Router) OnWatchLost() {
	r.enter()
	defer r.mu.Unlock()
	r.b.BeginEndpoints(decide.FailedUpdate)
}

// FetchRequests signals that the module wants the list brought once as a whole.
func (r *Router) FetchRequests() <-chan struct{} { return r.fetch }

// NextHealthCheck waits for a server that the module wants probed. The load it told is below nought where none came.
func (r *Router) NextHealthCheck(ctx context.Context) (string, func(o Outcome, load float64), error) {
	for {
		select {
		case <-ctx.Done():
			return "", nil, ctx.Err()
		case <-r.toProbe:
		}
		if id, addr, ok := r.nextProbe(); ok {
			return addr, func(o Outcome, load float64) {
				r.enter()
				defer r.mu.Unlock()
				if load >= 0 {
					r.b.OnLoadReport(id, load)
				}
				r.b.OnHealthCheck(id, o)
			}, nil
		}
	}
}

// nextProbe takes the first that still takes anything new, and tells whoever waits beside of the rest.
func (r *Router) nextProbe() (id decide.ServerID, addr string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.probes) > 0 && !ok {
		id, r.probes = r.probes[0], r.probes[1:]
		s := r.servers[id]
		s.wanted = false
		addr, ok = s.addr, s.ready()
	}
	if len(r.probes) > 0 {
		signal(r.toProbe)
	} else {
		r.probes = nil // at rest it holds nothing
	}
	return id, addr, ok
}

// SetHealthCheckFilter has somebody else say, with the router locked and before each probe, whether this balancer is to ask a server.
func (r *Router) SetHealthCheckFilter(may func(s decide.ServerID, now time.Duration) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayProbe = may
}

// OnLoadReport takes a server's word on its load that another balancer was told.
func (r *Router) OnLoadReport(s decide.ServerID, load float64) { r.b.OnLoadReport(s, load) }

// Now is the router's time, for those that Tell runs.
func (r *Router) Now() time.Duration { return time.Since(r.start) }

// actions is decide.Act. Each call comes with the mutex held, and only notes what others then do.
type actions struct{ r *Router }

func (a actions) Connect(id decide.FlowID, s decide.ServerID, limit time.Duration) {
	if f := a.r.flows[id]; f != nil {
		f.sentAt = time.Since(a.r.start)
		f.server = a.r.servers[s]
		f.decided(Decision{Verdict: Connect, Addr: f.server.addr, Deadline: a.r.start.Add(f.sentAt + limit)})
	}
}
func (a actions) Cancel(id decide.FlowID, _ int) {
	if f := a.r.flows[id]; f != nil && f.cancel != nil {
		f.cancel()
	}
}
func (a actions) Reject(id decide.FlowID, after time.Duration) {
	if f := a.r.flows[id]; f != nil {
		f.decided(Decision{Verdict: Reject, RetryAfter: after})
	}
}
func (a actions) Abort(id decide.FlowID) {
	if f := a.r.flows[id]; f != nil {
		f.decided(Decision{Verdict: Abort})
	}
}
func (a actions) Migrate(id decide.FlowID) {
	if f := a.r.flows[id]; f != nil {
		slog.Debug("move", "flow", id, "server", f.server.name)
		f.move()
	}
}
func (a actions) HealthCheck(s decide.ServerID) {
	if a.r.mayProbe != nil && !a.r.mayProbe(s, time.Since(a.r.start)) {
		return // another asks for all
	}
	if x := a.r.servers[s]; !x.wanted {
		x.wanted = true
		a.r.probes = append(a.r.probes, s)
		signal(a.r.toProbe)
	}
}
func (a actions) SetTimer(m decide.TimerID, d time.Duration) {
	r := a.r
	t := timer{time.Since(r.start) + d, m}
	if len(r.timers) == 0 || t.due < r.timers[0].due {
		signal(r.sooner)
	}
	heap.Push(&r.timers, t)
}

// WatchEndpoints is no news: the list is always watched, and a watch that fails is opened again by whoever follows it. A second
// timer for the same, set at each failure, made the attempts of a balancer grow without end.
func (a actions) WatchEndpoints(bool) {}
func (a actions) FetchEndpoints()     { signal(a.r.fetch) }
func (a actions) Log(s string)        { slog.Info("module", "says", s) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// OpenFlow takes a new flow that its client gives up after left; name is what the client calls it.
func (r *Router) OpenFlow(name, service, customer, key, group string, left time.Duration, marks int) (*Flow, error) {
	f, s, c, err := r.newFlow(service, customer)
	if err != nil {
		return nil, err
	}
	r.enter()
	defer r.mu.Unlock()
	r.flows[f.id] = f
	if r.host != nil {
		r.host.NameNextFlow(name)
	}
	r.b.OnFlow(decide.FlowRequest{ID: f.id, Service: s, Customer: c, Key: decide.FlowKey(key), Group: decide.GroupKey(group), Timeout: left, Flags: marks})
	return f, nil
}

// ResumeFlow takes over a connection that was open at a server before this start, and tells where that is.
func (r *Router) ResumeFlow(service, customer, key, group, name string) (*Flow, string, error) {
	f, s, c, err := r.newFlow(service, customer)
	if err != nil {
		return nil, "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.numbers[name]
	if !ok {
		return nil, "", fmt.Errorf("unknown server %q", name)
	}
	f.server = r.servers[id]
	f.hold = func() {
		r.flows[f.id] = f
		r.b.AdoptFlow(decide.FlowRequest{ID: f.id, Service: s, Customer: c, Key: decide.FlowKey(key), Group: decide.GroupKey(group)}, id)
	}
	return f, f.server.addr, nil
}

// AdoptFlow takes over a connection that stands at a server, from another process.
func (r *Router) AdoptFlow(service, customer, key, group, name string) (*Flow, error) {
	f, _, err := r.ResumeFlow(service, customer, key, group, name)
	if err == nil {
		f.OnEstablished()
	}
	return f, err
}

func (r *Router) newFlow(service, customer string) (*Flow, decide.ServiceID, decide.CustomerID, error) {
	s, ok := r.services[service] // read-only since the start
	if !ok {
		return nil, 0, 0, fmt.Errorf("%w %q", ErrUnknownService, service)
	}
	c, ok := r.customers[customer]
	if !ok {
		c = decide.NoCustomer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFlow++ // clients choose their ids: two alike must not meet in the module
	return &Flow{r: r, id: decide.FlowID(strconv.FormatInt(r.lastFlow, 10)), choice: make(chan Decision, 1)}, s, c, nil
}
