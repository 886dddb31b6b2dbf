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
	Agenda    *Agenda
	Carrier   Carrier
	Seed      uint64
	Services  []Service
	Customers []Customer
	Halls     []string
	Servers   []*Server
	Balancers []*Balancer
	Store     *Queue
	Books     *Books
	Net       *Net
	List      *List

	storeRate   float64
	storeSlow   float64
	storeChance *rand.Rand
	lateFrom    time.Duration
	message     float64 // work of a message on a core of speed 1, seconds
	meanLoad    float64

	coldFrom, fallMultiple float64
	fallWindow, warmAfter  time.Duration

	clients    []*Client // who stand, open or wait; the order is that of their coming
	lastConn   ConnID
	conns      map[ConnID]*Server
	flows      map[FlowID]*Client
	lastFlow   FlowID
	source     Source
	wide       *rand.Rand // chance of all that strikes at large
	Fell       []ServerID
	MostPushed float64 // onto any cold server over the window of the rule, over what it took; a few connections are left out
	onFall     func(ServerID)
	Totals     Totals
	noticeMin  time.Duration
	noticeMax  time.Duration
	drainKind  Drain
	homeWeight float64

	frontElsewhere bool
}

// Totals are what a day comes to in numbers of things.
type Totals struct {
	Clients, Tries, Retries, Established, Rejected, Aborted, Nobody, GaveUp, Moved, Cut int
	Setups                                                                              []time.Duration // of those established, as the clients saw them
	SetupAt                                                                             []time.Duration
	FirstUp                                                                             []time.Duration // from when a client meant to come to its first connection
	NeverUp                                                                             []time.Duration // how long those waited who never had one
	RejectedAt, TriedAt                                                                 []time.Duration
}

// Balancer is one place where clients can connect; its decisions are made elsewhere.
type Balancer struct {
	ID       BalancerID
	Hall     HallID
	Up       bool
	believed bool // by the front
}

// New makes an empty world. The books run over length; lateFrom is the delay of a message from which servers tell of it.
func New(seed uint64, length, lateFrom time.Duration) *World {
	a := &Agenda{}
	w := &World{Agenda: a, Seed: seed, lateFrom: lateFrom, storeSlow: 1, homeWeight: 1, conns: map[ConnID]*Server{},
		flows: map[FlowID]*Client{}, wide: Chance(seed, "wide", 0), storeChance: Chance(seed, "store", 0)}
	w.Net = newNet()
	w.List = newList(w)
	w.Books = &Books{Length: length}
	return w
}

// StartServices sets what clients ask for; message is the work of one message on a core of speed 1.
func (w *World) StartServices(services []Service, customers []Customer, halls []string, beyond, meanLoad float64, message time.Duration) {
	w.Services, w.Customers, w.Halls = services, customers, halls
	w.meanLoad, w.message = meanLoad, message.Seconds()
	w.Books = NewBooks(w.Books.Length, len(services), len(customers), len(halls), beyond)
}

// StartStanding sets by how much likelier than elsewhere a connection that stands when the day begins is in its
// client's own hall, server for server.
func (w *World) StartStanding(homeWeight float64) { w.homeWeight = homeWeight }

// StartStore sets the session store that each set-up asks once: calls a second; 0 for none.
func (w *World) StartStore(rate float64) {
	if rate > 0 {
		w.storeRate = rate
		w.Store = NewQueue(w.Agenda, 1, -1, rate)
	}
}

// StartCold sets how servers start: what they can do at first, how long they warm, and when they fall over.
func (w *World) StartCold(from, multiple float64, window, warmAfter time.Duration) {
	w.coldFrom, w.fallMultiple, w.fallWindow, w.warmAfter = from, multiple, window, warmAfter
}

// StartFront sets how late the layer before the balancers notices that one is dead.
func (w *World) StartFront(noticeMin, noticeMax time.Duration) {
	w.noticeMin, w.noticeMax = noticeMin, noticeMax
}

// FirstFlow has the flows' ids begin after one: ids that another run used may be kept by balancers that run on.
func (w *World) FirstFlow(after FlowID) { w.lastFlow = after }

// FrontElsewhere has somebody else say, by Believe, which balancers the front takes for alive.
func (w *World) FrontElsewhere() { w.frontElsewhere = true }

// Believe is that word.
func (w *World) Believe(b BalancerID, alive bool) { w.Balancers[b].believed = alive }

// believe is the front's own word.
func (w *World) believe(b *Balancer, alive bool) {
	if !w.frontElsewhere {
		b.believed = alive
	}
}

// KillBalancer ends one outright.
func (w *World) KillBalancer(b BalancerID) { w.kill([]*Balancer{w.Balancers[b]}) }

// ReviveBalancer starts one again.
func (w *World) ReviveBalancer(b BalancerID) { w.revive([]*Balancer{w.Balancers[b]}) }

// StartDrains sets what a draining server does with its connections.
func (w *World) StartDrains(d Drain) { w.drainKind = d }

// OnFall has somebody told of a server that was pushed over.
func (w *World) OnFall(f func(ServerID)) { w.onFall = f }

// AddServer adds a server that has run for long, or starts now where cold is true.
func (w *World) AddServer(hall HallID, cell CellID, cores int, speed, size float64, most, room int, buffer time.Duration,
	groupLoad, coldFrom float64, warmTime time.Duration, byWork float64, cold bool) *Server {
	s := &Server{w: w, ID: ServerID(len(w.Servers)), Hall: hall, Cell: cell, Cores: cores, Speed: speed, Size: size,
		Cap: most, Buffer: buffer, GroupLoad: groupLoad, coldFrom: max(coldFrom, w.coldFrom), warmTime: warmTime,
		warmByWork: byWork, since: LongAgo, slow: 1, held: map[ConnID]*conn{}, groups: map[GroupID]int{},
		slots: map[slot]float64{}, drain: w.drainKind, settled: w.Agenda.now}
	s.chance = Chance(w.Seed, "server", int(s.ID))
	s.setups = NewQueue(w.Agenda, cores, room, speed)
	if cold {
		s.since = w.Agenda.now
	}
	w.Servers = append(w.Servers, s)
	beat := BetweenTimes(s.chance, 0, time.Second)
	w.every(w.Agenda.now+beat, time.Second, Work, s.lateNote)
	w.every(w.Agenda.now+beat/4, 250*time.Millisecond, Book, func() { s.settle(); s.changed() })
	w.List.changed(s)
	return s
}

// AddBalancer adds one that serves.
func (w *World) AddBalancer(h HallID) *Balancer {
	b := &Balancer{ID: BalancerID(len(w.Balancers)), Hall: h, Up: true, believed: true}
	w.Balancers = append(w.Balancers, b)
	w.List.heldBy = append(w.List.heldBy, holding{asked: true})
	return b
}

// every does something again and again until the end of the day.
func (w *World) every(from, gap time.Duration, r Rank, do func()) {
	var next func()
	next = func() {
		do()
		if w.Agenda.now+gap <= w.Books.Length {
			w.Agenda.After(gap, r, next)
		}
	}
	w.Agenda.At(from, r, next)
}

// setupWork draws the work of one set-up.
func (w *World) setupWork(id ServiceID, r *rand.Rand) float64 {
	v := w.Services[id]
	if v.WorkSpread == 1 {
		return v.Work * r.ExpFloat64()
	}
	return v.Work * Scatter(r, math.Sqrt(math.Log(1+v.WorkSpread*v.WorkSpread)))
}

// chance is the load beyond a budget of N connects that may be put down to chance: that of 2√N + 2.
func (w *World) chance(budget float64) float64 {
	return 2*math.Sqrt(budget*w.meanLoad) + 2*w.meanLoad
}

func (w *World) fall(s *Server) {
	w.Fell = append(w.Fell, s.ID)
	if w.onFall != nil {
		w.onFall(s.ID)
	}
	s.die(Fallen)
	w.List.noticed(s, w.List.notice())
}

// ---- what balancers do to servers

// NextConn is a new id of a connect.
func (w *World) NextConn() ConnID { w.lastConn++; return w.lastConn }

// Knock tells what a new connection from a hall meets at a server now.
func (w *World) Knock(from HallID, id ServerID) Reach {
	s := w.Servers[id]
	switch {
	case s.phase == Silent || w.Net.Blocked(from, s.Hall) || w.Net.Blocked(s.Hall, from):
		return Silence
	case !s.Alive():
		return Refused
	}
	return Open
}

// Arrive brings a connect's line to its server.
func (w *World) Arrive(id ConnID, to ServerID, f FlowID, from HallID) {
	s, c := w.Servers[to], w.flows[f]
	if c == nil {
		return // its client has gone meanwhile, and the balancer is about to hear of it
	}
	if s.phase == Silent || w.Net.Blocked(from, s.Hall) {
		return
	}
	if !s.Alive() {
		w.Carrier.Turn(id, Dropped)
		return
	}
	s.arrive(id, c, from)
}

// Closed says that a balancer has ended its connection to a server.
func (w *World) Closed(id ConnID) {
	if s := w.conns[id]; s != nil {
		s.end(s.held[id])
	}
}

// Find gives the server and client of a connection.
func (w *World) Find(id ConnID) (*Server, *Client) {
	if s := w.conns[id]; s != nil {
		return s, s.held[id].client
	}
	return nil, nil
}

// Connections of a server that stand, oldest place first.
func (s *Server) Connections() (ids []ConnID) {
	for _, k := range s.conns {
		if k.stage == standing {
			ids = append(ids, k.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// HoldsGroup tells whether any connection of a group stands here.
func (s *Server) HoldsGroup(g GroupID) bool { return g != NoGroup && s.groups[g] > 0 }

// Late tells by how much a flow that came now would wait for the cores here, beside others' standing work.
func (s *Server) Late() float64 {
	if can := s.Can(); can > 0 {
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
		c.book()
	}
}

// Client of a flow, nil when the flow is over.
func (w *World) Client(f FlowID) *Client { return w.flows[f] }

// Capacity is what all servers can do, in cores.
func (w *World) Capacity() (full float64) {
	for _, s := range w.Servers {
		full += s.Full()
	}
	return full
}

// EverySecond does something at the end of each second of the day.
func (w *World) EverySecond(do func()) { w.every(time.Second, time.Second, Book, do) }
