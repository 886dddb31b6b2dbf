package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// World is one day of it. Call New, the Start calls, AddServer and AddBalancer for all there are, then Begin; from
// then on what happens is on the Agenda, and the surroundings answer by Arrive, Closed, Answered and Broken.
type World struct {
	Schedule   *Schedule
	Driver     Driver
	Seed       uint64
	Services   []Service
	Customers  []Customer
	Localities []string
	Servers    []*Server
	Balancers  []*Balancer
	Store      *Queue
	Accounting *Accounting
	Network    *Network
	List       *List

	storeRate       float64
	storeSlowdown   float64
	storeRandom     *rand.Rand
	reportDelayFrom time.Duration
	messageWork     float64 // work of a message on a core of speed 1, seconds
	meanLoad        float64

	slowStartFrom, collapseMultiple float64
	collapseWindow, slowStartWithin time.Duration

	clients            []*Client // who stand, open or wait; the order is that of their coming
	lastConn           ConnID
	conns              map[ConnID]*Server
	flows              map[FlowID]*Client
	lastFlow           FlowID
	source             ArrivalSource
	random             *rand.Rand // chance of all that strikes at large
	Collapsed          []ServerID
	MaxSlowStartExcess float64 // onto any cold server over the window of the rule, over what it took; a few connections are left out
	onCollapse         func(ServerID)
	Totals             Totals
	noticeMin          time.Duration
	noticeMax          time.Duration
	drainKind          Drain
	localWeight        float64

	frontElsewhere bool
}

// Totals are what a day comes to in numbers of things.
type Totals struct {
	Clients, Attempts, Retries, Established, Rejected, Aborted, NoBalancer, TimedOut, Migrated, Cut int
	Setups                                                                                          []time.Duration // of those established, as the clients saw them
	EstablishedAt                                                                                   []time.Duration
	FirstEstablished                                                                                []time.Duration // from when a client meant to come to its first connection
	NeverEstablished                                                                                []time.Duration // how long those waited who never had one
	RejectedAt, AttemptedAt                                                                         []time.Duration
}

// Balancer is one place where clients can connect; its decisions are made elsewhere.
type Balancer struct {
	ID         BalancerID
	Locality   LocalityID
	IsUp       bool
	believedUp bool // by the front
}

// New makes an empty world. The books run over length; lateFrom is the delay of a message from which servers tell of it.
func New(seed uint64, length, lateFrom time.Duration) *World {
	a := &Schedule{}
	w := &World{Schedule: a, Seed: seed, reportDelayFrom: lateFrom, storeSlowdown: 1, localWeight: 1, conns: map[ConnID]*Server{},
		flows: map[FlowID]*Client{}, random: RandomSource(seed, "wide", 0), storeRandom: RandomSource(seed, "store", 0)}
	w.Network = newNetwork()
	w.List = newList(w)
	w.Accounting = &Accounting{Length: length}
	return w
}

// ConfigureServices sets what clients ask for; message is the work of one message on a core of speed 1.
func (w *World) ConfigureServices(services []Service, customers []Customer, halls []string, beyond, meanLoad float64, message time.Duration) {
	w.Services, w.Customers, w.Localities = services, customers, halls
	w.meanLoad, w.messageWork = meanLoad, message.Seconds()
	w.Accounting = NewAccounting(w.Accounting.Length, len(services), len(customers), len(halls), beyond)
}

// ConfigureEstablished sets by how much likelier than elsewhere a connection that stands when the day begins is in its
// client's own hall, server for server.
func (w *World) ConfigureEstablished(homeWeight float64) { w.localWeight = homeWeight }

// ConfigureStore sets the session store that each set-up asks once: calls a second; 0 for none.
func (w *World) ConfigureStore(rate float64) {
	if rate > 0 {
		w.storeRate = rate
		w.Store = NewQueue(w.Schedule, 1, -1, rate)
	}
}

// ConfigureSlowStart sets how servers start: what they can do at first, how long they warm, and when they fall over.
func (w *World) ConfigureSlowStart(from, multiple float64, window, warmAfter time.Duration) {
	w.slowStartFrom, w.collapseMultiple, w.collapseWindow, w.slowStartWithin = from, multiple, window, warmAfter
}

// ConfigureFront sets how late the layer before the balancers notices that one is dead.
func (w *World) ConfigureFront(noticeMin, noticeMax time.Duration) {
	w.noticeMin, w.noticeMax = noticeMin, noticeMax
}

// FirstFlow has the flows' ids begin after one: ids that another run used may be kept by balancers that run on.
func (w *World) FirstFlow(after FlowID) { w.lastFlow = after }

// FrontElsewhere has somebody else say, by Believe, which balancers the front takes for alive.
func (w *World) FrontElsewhere() { w.frontElsewhere = true }

// SetFrontBelief is that word.
func (w *World) SetFrontBelief(b BalancerID, alive bool) { w.Balancers[b].believedUp = alive }

// believe is the front's own word.
func (w *World) believe(b *Balancer, alive bool) {
	if !w.frontElsewhere {
		b.believedUp = alive
	}
}

// KillBalancer ends one outright.
func (w *World) KillBalancer(b BalancerID) { w.killBalancers([]*Balancer{w.Balancers[b]}) }

// ReviveBalancer starts one again.
func (w *World) ReviveBalancer(b BalancerID) { w.reviveBalancers([]*Balancer{w.Balancers[b]}) }

// ConfigureDrains sets what a draining server does with its connections.
func (w *World) ConfigureDrains(d Drain) { w.drainKind = d }

// OnCollapse has somebody told of a server that was pushed over.
func (w *World) OnCollapse(f func(ServerID)) { w.onCollapse = f }

// AddServer adds a server that has run for long, or starts now where cold is true.
func (w *World) AddServer(hall LocalityID, cell CellID, cores int, speed, size float64, most, room int, buffer time.Duration,
	groupLoad, coldFrom float64, warmTime time.Duration, byWork float64, cold bool) *Server {
	s := &Server{w: w, ID: ServerID(len(w.Servers)), Locality: hall, Cell: cell, Cores: cores, Speed: speed, Size: size,
		MaxConnections: most, Buffer: buffer, GroupLoad: groupLoad, slowStartFrom: max(coldFrom, w.slowStartFrom), slowStart: warmTime,
		slowStartByWork: byWork, startedAt: LongAgo, slowdown: 1, connByID: map[ConnID]*conn{}, groups: map[GroupID]int{},
		values: map[valueKey]float64{}, drain: w.drainKind, settled: w.Schedule.now}
	s.chance = RandomSource(w.Seed, "server", int(s.ID))
	s.setups = NewQueue(w.Schedule, cores, room, speed)
	if cold {
		s.startedAt = w.Schedule.now
	}
	w.Servers = append(w.Servers, s)
	beat := UniformDuration(s.chance, 0, time.Second)
	w.every(w.Schedule.now+beat, time.Second, Work, s.reportDelay)
	w.every(w.Schedule.now+beat/4, 250*time.Millisecond, Book, func() { s.settle(); s.changed() })
	w.List.changed(s)
	return s
}

// AddBalancer adds one that serves.
func (w *World) AddBalancer(h LocalityID) *Balancer {
	b := &Balancer{ID: BalancerID(len(w.Balancers)), Locality: h, IsUp: true, believedUp: true}
	w.Balancers = append(w.Balancers, b)
	w.List.subscribers = append(w.List.subscribers, subscriber{subscribed: true})
	return b
}

// every does something again and again until the end of the day.
func (w *World) every(from, gap time.Duration, r Rank, do func()) {
	var next func()
	next = func() {
		do()
		if w.Schedule.now+gap <= w.Accounting.Length {
			w.Schedule.After(gap, r, next)
		}
	}
	w.Schedule.At(from, r, next)
}

// setupWork draws the work of one set-up.
func (w *World) setupWork(id ServiceID, r *rand.Rand) float64 {
	v := w.Services[id]
	if v.WorkSpread == 1 {
		return v.Work * r.ExpFloat64()
	}
	return v.Work * LogNormal(r, math.Sqrt(math.Log(1+v.WorkSpread*v.WorkSpread)))
}

// chanceAllowance is the load beyond a budget of N connects that may be put down to chance: that of 2√N + 2.
func (w *World) chanceAllowance(budget float64) float64 {
	return 2*math.Sqrt(budget*w.meanLoad) + 2*w.meanLoad
}

func (w *World) collapse(s *Server) {
	w.Collapsed = append(w.Collapsed, s.ID)
	if w.onCollapse != nil {
		w.onCollapse(s.ID)
	}
	s.goDown(Collapsed)
	w.List.updateAfter(s, w.List.noticeDelay())
}

// ---- what balancers do to servers

// NewConnID is a new id of a connect.
func (w *World) NewConnID() ConnID { w.lastConn++; return w.lastConn }

// Reach tells what a new connection from a hall meets at a server now.
func (w *World) Reach(from LocalityID, id ServerID) Reach {
	s := w.Servers[id]
	switch {
	case s.phase == Silent || w.Network.IsBlocked(from, s.Locality) || w.Network.IsBlocked(s.Locality, from):
		return Unresponsive
	case !s.IsServing():
		return Refused
	}
	return Open
}

// ArriveConnect brings a connect's line to its server.
func (w *World) ArriveConnect(id ConnID, to ServerID, f FlowID, from LocalityID) {
	s, c := w.Servers[to], w.flows[f]
	if c == nil {
		return // its client has gone meanwhile, and the balancer is about to hear of it
	}
	if s.phase == Silent || w.Network.IsBlocked(from, s.Locality) {
		return
	}
	if !s.IsServing() {
		w.Driver.EndConnect(id, Dropped)
		return
	}
	s.arrive(id, c, from)
}

// CloseConnect says that a balancer has ended its connection to a server.
func (w *World) CloseConnect(id ConnID) {
	if s := w.conns[id]; s != nil {
		s.end(s.connByID[id])
	}
}

// Find gives the server and client of a connection.
func (w *World) Find(id ConnID) (*Server, *Client) {
	if s := w.conns[id]; s != nil {
		return s, s.connByID[id].client
	}
	return nil, nil
}

// Connections of a server that stand, oldest place first.
func (s *Server) Connections() (ids []ConnID) {
	for _, k := range s.conns {
		if k.stage == established {
			ids = append(ids, k.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// HoldsGroup tells whether any connection of a group stands here.
func (s *Server) HoldsGroup(g GroupID) bool { return g != NoGroup && s.groups[g] > 0 }

// QueueDelay tells by how much a flow that came now would wait for the cores here, beside others' standing work.
func (s *Server) QueueDelay() float64 {
	if can := s.CurrentCapacity(); can > 0 {
		return s.backlog / can
	}
	return math.Inf(1)
}

// ---- end of the day

// End closes the books: what stands has been served until now.
func (w *World) End() {
	for _, s := range w.Servers {
		s.settle()
	}
	for _, c := range w.clients {
		c.countNeverEstablished()
	}
}

// Client of a flow, nil when the flow is over.
func (w *World) Client(f FlowID) *Client { return w.flows[f] }

// Capacity is what all servers can do, in cores.
func (w *World) Capacity() (full float64) {
	for _, s := range w.Servers {
		full += s.FullCapacity()
	}
	return full
}

// EverySecond does something at the end of each second of the day.
func (w *World) EverySecond(do func()) { w.every(time.Second, time.Second, Book, do) }
