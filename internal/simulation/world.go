package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	reportInterval = time.Second            // between a server's checks of its message delay
	settleInterval = 250 * time.Millisecond // between updates of a server's accounts and set-up speed
	storeCores     = 1
)

// World is the model of one simulated day. To prepare it, call New, the Configure methods, AddServer and AddBalancer for each server and
// balancer, and then List.MarkDelivered, ScheduleFaults and StartLoad. From then on its Schedule drives it: the world calls its Driver, and
// the driver calls DeliverConnect, CloseConnect, AnswerFlow and BreakFlow.
type World struct {
	Schedule   *Schedule
	Driver     Driver
	Seed       uint64
	Services   []Service
	Customers  []Customer
	Localities []string
	Servers    []*Server
	Balancers  []*Balancer
	Store      *Queue // session store; nil: none
	Accounting *Accounting
	Network    *Network
	List       *List
	Totals     Totals

	Collapsed []ServerID
	// MaxSlowStartExcess is the highest load sent to a server in slow start within SlowStartConfig.CollapseWindow, less the allowance for
	// chance, as a multiple of what the server can take in that time.
	MaxSlowStartExcess float64

	random          *rand.Rand // for draws that concern no single client or server
	slowStart       SlowStartConfig
	drainKind       Drain
	reportDelayFrom time.Duration // servers report message delays above it
	messageWork     float64       // seconds that a message takes on a core of speed 1
	meanLoad        float64       // of a connection
	localWeight     float64       // see ConfigureEstablished

	storeRate     float64 // calls per second
	storeSlowdown float64
	storeRandom   *rand.Rand

	source       ArrivalSource
	clients      []*Client // those that have not finished; the order changes when one finishes
	serverByConn map[ConnID]*Server
	flows        map[FlowID]*Client
	lastConn     ConnID
	lastFlow     FlowID

	frontNotice      Interval
	hasExternalFront bool // SetExternalFrontView sets the front's view
}

// Balancer is a balancer that clients can connect to. The driver makes its decisions.
type Balancer struct {
	ID       BalancerID
	Locality LocalityID
	IsUp     bool

	frontSeesUp bool // whether the front, the layer that distributes clients over balancers, considers it up
}

// SlowStartConfig sets how servers start, and which load makes a starting server collapse.
type SlowStartConfig struct {
	InitialShare     float64 // minimum share of its capacity that a server starts with
	CollapseMultiple float64 // a server collapses when it is sent more than this multiple of what it can take in the window; 0: never
	CollapseWindow   time.Duration
}

// ServicesConfig describes the service types, customers and localities of clients.
type ServicesConfig struct {
	Services         []Service
	Customers        []Customer
	Localities       []string
	BeyondShareValue float64       // factor for value beyond a customer's share
	MeanLoad         float64       // of a connection
	MessageWork      time.Duration // time that a message takes on a core of speed 1
}

// New returns an empty world for a day of a length. Servers report message delays above reportDelayFrom.
func New(seed uint64, length, reportDelayFrom time.Duration) *World {
	w := &World{Schedule: &Schedule{}, Seed: seed, reportDelayFrom: reportDelayFrom, storeSlowdown: 1, localWeight: 1,
		serverByConn: map[ConnID]*Server{}, flows: map[FlowID]*Client{},
		random: RandomSource(seed, "wide", 0), storeRandom: RandomSource(seed, "store", 0)}
	w.Network = newNetwork()
	w.List = newList(w)
	w.Accounting = &Accounting{Length: length}
	return w
}

// ConfigureServices sets the service types, customers and localities.
func (w *World) ConfigureServices(c ServicesConfig) {
	w.Services, w.Customers, w.Localities = c.Services, c.Customers, c.Localities
	w.meanLoad, w.messageWork = c.MeanLoad, c.MessageWork.Seconds()
	w.Accounting = NewAccounting(w.Accounting.Length, len(c.Services), len(c.Customers), len(c.Localities), c.BeyondShareValue)
}

// ConfigureEstablished sets the weight of servers in the client's own locality, relative to equal servers elsewhere, when the server of a
// connection that is established when the day begins is drawn.
func (w *World) ConfigureEstablished(localWeight float64) { w.localWeight = localWeight }

// ConfigureStore sets the rate, in calls per second, of the session store that each set-up calls once. 0: there is no store.
func (w *World) ConfigureStore(rate float64) {
	if rate > 0 {
		w.storeRate = rate
		w.Store = NewQueue(w.Schedule, storeCores, unbounded, rate)
	}
}

// ConfigureSlowStart sets how servers start.
func (w *World) ConfigureSlowStart(c SlowStartConfig) { w.slowStart = c }

// ConfigureFront sets the delay after which the front, the layer that distributes clients over balancers, detects that a balancer is dead.
func (w *World) ConfigureFront(notice Interval) { w.frontNotice = notice }

// ConfigureDrains sets what a draining server does with its connections.
func (w *World) ConfigureDrains(d Drain) { w.drainKind = d }

// StartFlowIDsAfter makes flow IDs begin after the given one. Balancers that keep running from one world to the next may still know earlier
// IDs.
func (w *World) StartFlowIDsAfter(after FlowID) { w.lastFlow = after }

// UseExternalFront turns off the model of the front: from then on only SetExternalFrontView sets which balancers the front
// considers up.
func (w *World) UseExternalFront() { w.hasExternalFront = true }

// SetExternalFrontView sets whether the external front considers a balancer up.
func (w *World) SetExternalFrontView(b BalancerID, isUp bool) { w.Balancers[b].frontSeesUp = isUp }

// setFrontView sets whether the modelled front considers a balancer up. It does nothing where the front is external.
func (w *World) setFrontView(b *Balancer, isUp bool) {
	if !w.hasExternalFront {
		b.frontSeesUp = isUp
	}
}

// KillBalancer kills a balancer without a drain.
func (w *World) KillBalancer(b BalancerID) { w.killBalancers([]*Balancer{w.Balancers[b]}) }

// ReviveBalancer starts a balancer again.
func (w *World) ReviveBalancer(b BalancerID) { w.reviveBalancers([]*Balancer{w.Balancers[b]}) }

// AddServer adds a server that is past its slow start.
func (w *World) AddServer(spec ServerSpec) *Server { return w.addServer(spec, LongAgo) }

// StartServer adds a server that starts now, in slow start.
func (w *World) StartServer(spec ServerSpec) *Server { return w.addServer(spec, w.Schedule.now) }

func (w *World) addServer(spec ServerSpec, startedAt time.Duration) *Server {
	spec.SlowStartInitialShare = max(spec.SlowStartInitialShare, w.slowStart.InitialShare)
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
	b := &Balancer{ID: BalancerID(len(w.Balancers)), Locality: l, IsUp: true, frontSeesUp: true}
	w.Balancers = append(w.Balancers, b)
	w.List.subscribers = append(w.List.subscribers, subscriber{isSubscribed: true})
	return b
}

// every schedules a periodic action until the end of the day.
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

// EverySecond schedules an action for the end of each second of the day.
func (w *World) EverySecond(do func()) { w.every(time.Second, time.Second, Measure, do) }

// setupWork draws the work of one set-up.
func (w *World) setupWork(id ServiceID, r *rand.Rand) float64 {
	service := w.Services[id]
	if service.WorkSpread == 1 {
		return service.Work * r.ExpFloat64()
	}
	return service.Work * LogNormal(r, math.Sqrt(math.Log(1+service.WorkSpread*service.WorkSpread)))
}

// StoreWait is the estimated wait of a new call to the store, in seconds.
func (w *World) StoreWait() float64 {
	if w.Store == nil {
		return 0
	}
	return float64(w.Store.Jobs()) * w.storeSlowdown / w.storeRate
}

// NewConnID returns an unused connect ID.
func (w *World) NewConnID() ConnID {
	w.lastConn++
	return w.lastConn
}

// Reachability returns the outcome of opening a connection from a locality to a server now.
func (w *World) Reachability(from LocalityID, id ServerID) Reachability {
	s := w.Servers[id]
	switch {
	case s.phase == Silent || w.Network.isPartitioned(from, s.Locality):
		return Unresponsive
	case !s.IsServing():
		return Refused
	}
	return Open
}

// DeliverConnect delivers a connect's request line to its server.
func (w *World) DeliverConnect(id ConnID, to ServerID, f FlowID, from LocalityID) {
	s, c := w.Servers[to], w.flows[f]
	switch {
	case c == nil: // the client has left, and the balancer is about to be told
	case s.phase == Silent || w.Network.IsBlocked(from, s.Locality): // the request line is lost
	case !s.IsServing():
		w.Driver.EndConnect(id, Dropped)
	default:
		s.receiveConnect(id, c, from)
	}
}

// CloseConnect tells a server that the balancer has closed a connect or a connection.
func (w *World) CloseConnect(id ConnID) {
	if s := w.serverByConn[id]; s != nil {
		s.end(s.connByID[id])
	}
}

// Connections returns the IDs of a server's established connections in ascending order.
func (s *Server) Connections() (ids []ConnID) {
	for _, k := range s.conns {
		if k.stage == established {
			ids = append(ids, k.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Client returns the client of a flow; nil when the flow has ended.
func (w *World) Client(f FlowID) *Client { return w.flows[f] }

// Capacity is the work per second that all servers together do when they are warm and have no faults.
func (w *World) Capacity() (sum float64) {
	for _, s := range w.Servers {
		sum += s.FullCapacity()
	}
	return sum
}

// End completes the accounts at the end of the day: it settles all servers, and counts clients that never had a connection.
func (w *World) End() {
	for _, s := range w.Servers {
		s.settle()
	}
	for _, c := range w.clients {
		c.countNeverEstablished()
	}
}
