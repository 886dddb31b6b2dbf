package scale

import (
	"container/heap"
	"strconv"
	"time"

	"yardwinch/decide"
)

// Terms of the hollow balancers, as deployments set them.
const (
	peers             = 8_100 // balancers that share the budget of a cold server
	maxConnects       = 4
	connectTimeout    = 1800 * time.Millisecond // of a flow: by then its client has an answer
	setupTarget       = 300 * time.Millisecond
	repeatWindow      = 2 * time.Second
	messageTarget     = 100 * time.Millisecond
	requestTimeout    = 10 * time.Second
	slowStartFrom     = 0.2
	slowStartMultiple = 3
	warmAfter         = 20 * time.Second
	slowStartWindow   = 1500 * time.Millisecond
	crossingPrice     = 0.08
	movePrice         = 0.026
	usualSetup        = 10 * time.Millisecond
	beginning         = 10 * time.Second // by then nothing that the start brought counts any more
)

// terms are what one hollow balancer is told at its start.
type terms struct {
	peers  int
	pulls  bool // load reports come by probes
	inZone int
}

// hollow is a balancer without sockets: the real decisions, its timers in virtual time. Connects are written down for
// whoever drives it.
type hollow struct {
	module    *decide.Balancer
	now       time.Duration
	timers    timers
	requested map[decide.FlowID]decide.ServerID // connects out
	moved     []decide.FlowID                   // asked to move since last taken
	rejected  int                               // flows turned away
	returns   bool                              // those asked to move come again at the next tick
	probed    []decide.ServerID                 // probes wanted since last taken
}

func newHollow(seed uint64, t terms) *hollow {
	h := &hollow{requested: map[decide.FlowID]decide.ServerID{}}
	h.module = decide.New(seed, h)
	startHollow(h.module, t)
	h.module.SetTime(0)
	return h
}

// startHollow hands over the terms.
func startHollow(b *decide.Balancer, t terms) {
	b.ConfigureFlows(maxConnects, 0)
	for _, s := range services {
		b.AddService(decide.ServiceType{Effect: s.effect, Deduplication: decide.DeduplicatedByFleet, SetupTarget: setupTarget, RetryWindow: repeatWindow, Value: 1})
	}
	b.ConfigureSlowStart(decide.SlowStart{InitialCapacity: slowStartFrom, OverloadMultiple: slowStartMultiple, WarmUp: warmAfter, Window: slowStartWindow, Balancers: t.peers})
	b.ConfigureHealthChecks(t.pulls)
	b.ConfigurePlacement(crossingPrice, movePrice, true)
	b.ConfigureEndpoints(decide.EndpointSettings{Zone: zoneName(t.inZone), Polled: false, MaxPollInterval: requestTimeout, MessageTarget: messageTarget})
}

// zoneNames are made once, so that balancers that share a process share them.
var zoneNames = func() (names []decide.Zone) {
	for n := range most[byZones] {
		names = append(names, decide.Zone("zone-"+strconv.Itoa(n)))
	}
	return names
}()

func zoneName(n int) decide.Zone { return zoneNames[n] }

func groupName(n int) decide.GroupKey { return decide.GroupKey("group-" + strconv.Itoa(n)) }

func flowName(n int) decide.FlowID { return decide.FlowID(strconv.FormatInt(int64(n), 36)) }

// server is an entry of a list, numbered from 1.
type server struct {
	id    decide.ServerID
	zone  int
	state decide.Readiness
	since time.Duration
}

// warmServers are the servers of a list that has run for long, spread over zones.
func warmServers(count, zones int) []server {
	servers := make([]server, count)
	for i := range servers {
		servers[i] = server{id: decide.ServerID(i + 1), zone: i % zones, since: decide.LongAgo}
	}
	return servers
}

// list hands over a list, or changes of it.
func (h *hollow) list(kind decide.UpdateKind, servers []server) {
	h.module.SetTime(h.now)
	h.module.BeginEndpoints(kind)
	for _, s := range servers {
		h.module.OnEndpoint(decide.Endpoint{ID: s.id, Zone: zoneName(s.zone), Cell: decide.CellID(s.zone), Size: 1, Readiness: s.state, StartedAt: s.since})
	}
	h.module.EndEndpoints()
}

// hold has connections stand evenly on warm servers, each group on as few of them as that allows: what is there once all
// is at rest.
func (h *hollow) hold(connections, servers, groups int) {
	h.module.SetTime(h.now)
	for i := range connections {
		at := i % servers
		h.module.AdoptFlow(decide.FlowRequest{ID: flowName(i), Customer: decide.NoCustomer, Group: groupName(establishedGroup(i, at, servers, groups))}, decide.ServerID(at+1))
	}
}

// establishedGroup is the group of the i-th connection, which stands at a server: a group has one server where there are as
// many groups as servers or more, else a server has one group.
func establishedGroup(i, at, servers, groups int) int {
	if groups <= servers {
		return at % groups
	}
	layers := groups / servers
	return at + servers*(i/servers%layers)
}

// place has one flow come and stand. It tells where, and false where it was turned away or waits.
func (h *hollow) place(id decide.FlowID, group decide.GroupKey) (decide.ServerID, bool) {
	h.module.SetTime(h.now)
	h.module.OnFlow(decide.FlowRequest{ID: id, Customer: decide.NoCustomer, Group: group, Timeout: connectTimeout})
	at, ok := h.requested[id]
	if ok {
		delete(h.requested, id)
		h.module.OnEstablished(id, usualSetup)
	}
	return at, ok
}

// end has a standing flow go.
func (h *hollow) end(id decide.FlowID) {
	h.module.SetTime(h.now)
	h.module.OnEnded(id, decide.OK, usualSetup, true)
}

// settle goes on to when nothing that the start brought counts any more, as if no timer had come due by then.
func (h *hollow) settle() {
	h.now = beginning
	h.module.SetTime(h.now)
	for i := range h.timers {
		h.timers[i].at += beginning
	}
}

// advance lets virtual time go on; timers that come due fire in order.
func (h *hollow) advance(to time.Duration) {
	for len(h.timers) > 0 && h.timers[0].at <= to {
		t := heap.Pop(&h.timers).(timer)
		h.now = t.at
		h.module.SetTime(h.now)
		h.module.OnTimer(t.mark)
	}
	h.now = to
	h.module.SetTime(h.now)
}

// What the decisions ask for; see decide.Act.

func (h *hollow) Connect(f decide.FlowID, to decide.ServerID, _ time.Duration) { h.requested[f] = to }
func (h *hollow) Cancel(decide.FlowID, int)                                    {}
func (h *hollow) Reject(decide.FlowID, time.Duration)                          { h.rejected++ }
func (h *hollow) Abort(decide.FlowID)                                          { h.rejected++ }
func (h *hollow) Migrate(f decide.FlowID)                                      { h.moved = append(h.moved, f) }
func (h *hollow) HealthCheck(s decide.ServerID)                                { h.probed = append(h.probed, s) }
func (h *hollow) WatchEndpoints(bool)                                          {}
func (h *hollow) FetchEndpoints()                                              {}
func (h *hollow) Log(string)                                                   {}
func (h *hollow) SetTimer(mark decide.TimerID, in time.Duration) {
	heap.Push(&h.timers, timer{h.now + in, mark})
}

// timer is one that was asked for.
type timer struct {
	at   time.Duration
	mark decide.TimerID
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// looks counts the servers that decisions look at: each asks the other deciders of every server it considers.
type looks struct{ count int }

func (l *looks) ServerCost(decide.FlowID, decide.ServerID) (float64, bool) {
	l.count++
	return 0, true
}
func (l *looks) AdmitFlow(decide.FlowID) bool                                 { return true }
func (l *looks) RetryAfter(_ decide.FlowID, told time.Duration) time.Duration { return told }
func (l *looks) AllowMigration(decide.FlowID) bool                            { return true }
func (l *looks) MigrateFirst() []decide.FlowID                                { return nil }

// looksOf counts the servers looked at during a piece of work.
func (h *hollow) looksOf(work func()) int {
	var l looks
	h.module.SetConstraints(&l)
	work()
	h.module.SetConstraints(nil)
	return l.count
}
