package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	reportInterval = time.Second // at which a server looks whether it is late
	settleInterval = 250 * time.Millisecond
	storeCores     = 1
)

// World is one day of the model. Call New, the Configure calls, AddServer and AddBalancer for all there are, and then List.Begin,
// ScheduleFaults and StartLoad; from then on what happens is on the Schedule, and the surroundings answer by ArriveConnect, CloseConnect,
// AnswerFlow and BreakFlow.
type World struct {
	Schedule   *Schedule
	Driver     Driver
	Seed       uint64
	Services   []Service
	Customers  []Customer
	Localities []string
	Servers    []*Server
	Balancers  []*Balancer
	Store      *Queue // nil: there is none
	Accounting *Accounting
	Network    *Network
	List       *List
	Totals     Totals

	Collapsed []ServerID
	// MaxSlowStartExcess is the most load that was sent to a starting server over the window of the rule, in times its capacity and less
	// what is put down to chance.
	MaxSlowStartExcess float64

	random          *rand.Rand // of what concerns no single client or server
	slowStart       SlowStartConfig
	drainKind       Drain
	reportDelayFrom time.Duration // a message that takes longer is late
	messageWork     float64       // of a message on a core of speed 1, seconds
	meanLoad        float64       // of a connection
	localWeight     float64

	storeRate     float64 // calls a second
	storeSlowdown float64
	storeRandom   *rand.Rand

	source   ArrivalSource
	clients  []*Client // that have not finished; the order changes when one does
	conns    map[ConnID]*Server
	flows    map[FlowID]*Client
	lastConn ConnID
	lastFlow FlowID

	frontNotice    Interval
	frontElsewhere bool // the front's beliefs are set from outside
}

// Balancer is a place where clients can connect. Its decisions are made elsewhere.
type Balancer struct {
	ID       BalancerID
	Locality LocalityID
	IsUp     bool

	believedUp bool // by the front, the layer that leads clients to balancers
}

// SlowStartConfig says how servers start, and when they collapse.
type SlowStartConfig struct {
	From             float64 // least share of its capacity that a server starts with
	CollapseMultiple float64 // a server that is sent more times its capacity over the window collapses; 0: none does
	CollapseWindow   time.Duration
}

// ServicesConfig says what clients ask for.
type ServicesConfig struct {
	Services         []Service
	Customers        []Customer
	Localities       []string
	BeyondShareValue float64       // what a value counts beyond a customer's share
	MeanLoad         float64       // of a connection
	MessageWork      time.Duration // of a message on a core of speed 1
}

// New makes an empty world for a day of a length. Servers report the delay of their messages from reportDelayFrom on.
func New(seed uint64, length, reportDelayFrom time.Duration) *World {
	w := &World{Schedule: &Schedule{}, Seed: seed, reportDelayFrom: reportDelayFrom, storeSlowdown: 1, localWeight: 1,
		conns: map[ConnID]*Server{}, flows: map[FlowID]*Client{},
		random: RandomSource(seed, "wide", 0), storeRandom: RandomSource(seed, "store", 0)}
	w.Network = newNetwork()
	w.List = newList(w)
	w.Accounting = &Accounting{Length: length}
	return w
}

// ConfigureServices sets what clients ask for.
func (w *World) ConfigureServices(c ServicesConfig) {
	w.Services, w.Customers, w.Localities = c.Services, c.Customers, c.Localities
	w.meanLoad, w.messageWork = c.MeanLoad, c.MessageWork.Seconds()
	w.Accounting = NewAccounting(w.Accounting.Length, len(c.Services), len(c.Customers), len(c.Localities), c.BeyondShareValue)
}

// ConfigureEstablished sets by how much likelier than elsewhere a connection that is established when the day begins is in its client's
// own locality, server for server.
func (w *World) ConfigureEstablished(localWeight float64) { w.localWeight = localWeight }

// ConfigureStore sets the session store that each set-up calls once: calls a second; 0 for none.
func (w *World) ConfigureStore(rate float64) {
	if rate > 0 {
		w.storeRate = rate
		w.Store = NewQueue(w.Schedule, storeCores, anyNumber, rate)
	}
}

// ConfigureSlowStart sets how servers start.
func (w *World) ConfigureSlowStart(c SlowStartConfig) { w.slowStart = c }

// ConfigureFront sets how late the layer before the balancers notices that one is dead.
func (w *World) ConfigureFront(notice Interval) { w.frontNotice = notice }

// ConfigureDrains sets what a draining server does with its connections.
func (w *World) ConfigureDrains(d Drain) { w.drainKind = d }

// FirstFlow has the flows' ids begin after one: balancers that run on may still know ids that another run used.
func (w *World) FirstFlow(after FlowID) { w.lastFlow = after }

// FrontElsewhere has SetFrontBelief say which balancers the front believes to be up, in place of the model.
func (w *World) FrontElsewhere() { w.frontElsewhere = true }

// SetFrontBelief sets whether the front believes a balancer to be up.
func (w *World) SetFrontBelief(b BalancerID, isUp bool) { w.Balancers[b].believedUp = isUp }

// believe is the model's own belief.
func (w *World) believe(b *Balancer, isUp bool) {
	if !w.frontElsewhere {
		b.believedUp = isUp
	}
}

// KillBalancer ends a balancer outright.
func (w *World) KillBalancer(b BalancerID) { w.killBalancers([]*Balancer{w.Balancers[b]}) }

// ReviveBalancer starts a balancer again.
func (w *World) ReviveBalancer(b BalancerID) { w.reviveBalancers([]*Balancer{w.Balancers[b]}) }

// AddServer adds a server that has run for long.
func (w *World) AddServer(spec ServerSpec) *Server { return w.addServer(spec, LongAgo) }

// StartServer adds a server that starts now.
func (w *World) StartServer(spec ServerSpec) *Server { return w.addServer(spec, w.Schedule.now) }

func (w *World) addServer(spec ServerSpec, startedAt time.Duration) *Server {
	spec.SlowStartFrom = max(spec.SlowStartFrom, w.slowStart.From)
	s := &Server{ServerSpec: spec, ID: ServerID(len(w.Servers)), w: w, startedAt: startedAt, slowdown: 1,
		connByID: map[ConnID]*conn{}, groups: map[GroupID]int{}, values: map[valueKey]float64{}, settledAt: w.Schedule.now}
	s.random = RandomSource(w.Seed, "server", int(s.ID))
	s.setups = NewQueue(w.Schedule, spec.Cores, spec.MaxWaiting, spec.Speed)
	w.Servers = append(w.Servers, s)
	phase := UniformDuration(s.random, 0, reportInterval)
	w.every(w.Schedule.now+phase, reportInterval, Work, s.reportDelay)
	w.every(w.Schedule.now+phase/4, settleInterval, Measure, func() {
		s.settle()
		s.updateSetupSpeed()
	})
	w.List.changed(s)
	return s
}

// AddBalancer adds a balancer that is up.
func (w *World) AddBalancer(l LocalityID) *Balancer {
	b := &Balancer{ID: BalancerID(len(w.Balancers)), Locality: l, IsUp: true, believedUp: true}
	w.Balancers = append(w.Balancers, b)
	w.List.subscribers = append(w.List.subscribers, subscriber{isSubscribed: true})
	return b
}

// every does something again and again until the end of the day.
func (w *World) every(from, interval time.Duration, r Rank, do func()) {
	var next func()
	next = func() {
		do()
		if w.Schedule.now+interval <= w.Accounting.Length {
			w.Schedule.After(interval, r, next)
		}
	}
	w.Schedule.At(from, r, next)
}

// EverySecond does something at the end of each second of the day.
func (w *World) EverySecond(do func()) { w.every(time.Second, time.Second, Measure, do) }

// setupWork draws the work of one set-up.
func (w *World) setupWork(id ServiceID, r *rand.Rand) float64 {
	service := w.Services[id]
	if service.WorkSpread == 1 {
		return service.Work * r.ExpFloat64()
	}
	return service.Work * LogNormal(r, math.Sqrt(math.Log(1+service.WorkSpread*service.WorkSpread)))
}

// StoreWait is how long a set-up would wait for the store now, in seconds.
func (w *World) StoreWait() float64 {
	if w.Store == nil {
		return 0
	}
	return float64(w.Store.Jobs()) * w.storeSlowdown / w.storeRate
}

// NewConnID is a new id of a connect.
func (w *World) NewConnID() ConnID {
	w.lastConn++
	return w.lastConn
}

// Reach is what a new connection from a locality would meet at a server now.
func (w *World) Reach(from LocalityID, id ServerID) Reach {
	s := w.Servers[id]
	switch {
	case s.phase == Silent || w.Network.isPartitioned(from, s.Locality):
		return Unresponsive
	case !s.IsServing():
		return Refused
	}
	return Open
}

// ArriveConnect brings a connect's line to its server.
func (w *World) ArriveConnect(id ConnID, to ServerID, f FlowID, from LocalityID) {
	s, c := w.Servers[to], w.flows[f]
	switch {
	case c == nil: // its client has left, and the balancer is about to learn of it
	case s.phase == Silent || w.Network.IsBlocked(from, s.Locality): // the line is lost
	case !s.IsServing():
		w.Driver.EndConnect(id, Dropped)
	default:
		s.arrive(id, c, from)
	}
}

// CloseConnect says that a balancer has ended its connection to a server.
func (w *World) CloseConnect(id ConnID) {
	if s := w.conns[id]; s != nil {
		s.end(s.connByID[id])
	}
}

// Connections are the established connections of a server, by id.
func (s *Server) Connections() (ids []ConnID) {
	for _, k := range s.conns {
		if k.stage == established {
			ids = append(ids, k.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Client of a flow; nil when the flow is over.
func (w *World) Client(f FlowID) *Client { return w.flows[f] }

// Capacity is the work a second that all servers do when they are warm and have no faults.
func (w *World) Capacity() (sum float64) {
	for _, s := range w.Servers {
		sum += s.FullCapacity()
	}
	return sum
}

// End closes the accounts: what is established has been served until now.
func (w *World) End() {
	for _, s := range w.Servers {
		s.settle()
	}
	for _, c := range w.clients {
		c.countNeverEstablished()
	}
}
