package scale

import (
	"container/heap"
	"strconv"
	"time"

	"yardwinch/decide"
)

// Settings of the simulated balancers, typical of a deployment.
const (
	defaultPeers     = 8_100 // balancers that share the limits of setups in flight and of slow start
	maxConnects      = 4
	connectTimeout   = 1800 * time.Millisecond // of a flow, within which its client is answered
	setupTarget      = 300 * time.Millisecond
	retryWindow      = 2 * time.Second
	messageTarget    = 100 * time.Millisecond
	maxPollInterval  = 10 * time.Second
	initialCapacity  = 0.2
	overloadMultiple = 3
	warmUp           = 20 * time.Second
	slowStartWindow  = 1500 * time.Millisecond
	crossZoneCost    = 0.08
	migrationCost    = 0.026
	typicalSetup     = 10 * time.Millisecond
	settlingPeriod   = 10 * time.Second // after which the start no longer influences decisions
)

// simulatedSettings are the settings of one simulated balancer.
type simulatedSettings struct {
	peers        int
	healthChecks bool // health checks provide load reports
	zone         int
}

// simulatedBalancer is a balancer without sockets: the real decisions, with their timers in virtual time. It records
// what the decisions request, for the sweep that drives it.
type simulatedBalancer struct {
	decider        *decide.Balancer
	now            time.Duration
	timers         timers
	connecting     map[decide.FlowID]decide.ServerID // connects in flight
	migrated       []decide.FlowID                   // flows asked to migrate since the sweep last cleared the list
	rejected       int                               // number of flows rejected or aborted
	migratedReturn bool                              // migrated flows are placed again at the end of a tick
	healthChecked  []decide.ServerID                 // servers whose health checks were requested so far
}

func newSimulatedBalancer(seed uint64, t simulatedSettings) *simulatedBalancer {
	h := &simulatedBalancer{connecting: map[decide.FlowID]decide.ServerID{}}
	h.decider = decide.New(seed, h)
	configureSimulatedBalancer(h.decider, t)
	h.decider.SetTime(0)
	return h
}

// configureSimulatedBalancer applies the settings.
func configureSimulatedBalancer(b *decide.Balancer, t simulatedSettings) {
	b.ConfigureFlows(maxConnects, 0)
	for _, s := range services {
		b.AddService(decide.ServiceType{
			Effect:        s.effect,
			Deduplication: decide.DeduplicatedByFleet,
			SetupTarget:   setupTarget,
			RetryWindow:   retryWindow,
			Value:         1,
		})
	}
	b.ConfigureSlowStart(decide.SlowStart{
		InitialCapacity:  initialCapacity,
		OverloadMultiple: overloadMultiple,
		WarmUp:           warmUp,
		Window:           slowStartWindow,
		Balancers:        t.peers,
	})
	b.ConfigureHealthChecks(t.healthChecks)
	b.ConfigurePlacement(crossZoneCost, migrationCost, true)
	b.ConfigureEndpoints(decide.EndpointSettings{
		Zone:            zoneName(t.zone),
		Polled:          false,
		MaxPollInterval: maxPollInterval,
		MessageTarget:   messageTarget,
	})
}

// zoneNames are allocated once and shared by all balancers of the process.
var zoneNames = func() (names []decide.Zone) {
	for n := range maxima[keyZones] {
		names = append(names, decide.Zone("zone-"+strconv.Itoa(n)))
	}
	return names
}()

func zoneName(n int) decide.Zone { return zoneNames[n] }

func groupName(n int) decide.GroupKey { return decide.GroupKey("group-" + strconv.Itoa(n)) }

func flowName(n int) decide.FlowID { return decide.FlowID(strconv.FormatInt(int64(n), 36)) }

// listedServer is an entry of the endpoint list; ids count from 1.
type listedServer struct {
	id    decide.ServerID
	zone  int
	state decide.Readiness
	since time.Duration
}

// warmServers returns a list of servers that started long ago, spread over the zones.
func warmServers(count, zones int) []listedServer {
	servers := make([]listedServer, count)
	for i := range servers {
		servers[i] = listedServer{id: decide.ServerID(i + 1), zone: i % zones, since: decide.LongAgo}
	}
	return servers
}

// updateList passes a list, or changes to it, to the decisions.
func (h *simulatedBalancer) updateList(kind decide.UpdateKind, servers []listedServer) {
	h.decider.SetTime(h.now)
	h.decider.BeginEndpoints(kind)
	for _, s := range servers {
		h.decider.OnEndpoint(decide.Endpoint{
			ID:        s.id,
			Zone:      zoneName(s.zone),
			Cell:      decide.CellID(s.zone),
			Size:      1,
			Readiness: s.state,
			StartedAt: s.since,
		})
	}
	h.decider.EndEndpoints()
}

// adoptConnections adds established connections, spread evenly over the servers, with each group on as few servers as
// that allows: the state of a settled fleet.
func (h *simulatedBalancer) adoptConnections(connections, servers, groups int) {
	h.decider.SetTime(h.now)
	for i := range connections {
		at := i % servers
		h.decider.AdoptFlow(decide.FlowRequest{
			ID:       flowName(i),
			Customer: decide.NoCustomer,
			Group:    groupName(settledGroup(i, at, servers, groups)),
		}, decide.ServerID(at+1))
	}
}

// settledGroup returns the group of the i-th connection, which is on server at. With at least as many groups as
// servers, each group is on one server; otherwise each server has one group.
func settledGroup(i, at, servers, groups int) int {
	if groups <= servers {
		return at % groups
	}
	layers := groups / servers
	return at + servers*(i/servers%layers)
}

// placeFlow places and establishes one flow. It returns the server, or false if the flow was rejected or waits.
func (h *simulatedBalancer) placeFlow(id decide.FlowID, group decide.GroupKey) (decide.ServerID, bool) {
	h.decider.SetTime(h.now)
	h.decider.OnFlow(decide.FlowRequest{ID: id, Customer: decide.NoCustomer, Group: group, Timeout: connectTimeout})
	at, ok := h.connecting[id]
	if ok {
		delete(h.connecting, id)
		h.decider.OnEstablished(id, typicalSetup)
	}
	return at, ok
}

// endFlow ends an established flow.
func (h *simulatedBalancer) endFlow(id decide.FlowID) {
	h.decider.SetTime(h.now)
	h.decider.OnEnded(id, decide.OK, typicalSetup, true)
}

// settle advances the time to settlingPeriod without running timers; they are delayed by as much.
func (h *simulatedBalancer) settle() {
	h.now = settlingPeriod
	h.decider.SetTime(h.now)
	for i := range h.timers {
		h.timers[i].at += settlingPeriod
	}
}

// advance advances virtual time and runs the timers that are due, in order.
func (h *simulatedBalancer) advance(to time.Duration) {
	for len(h.timers) > 0 && h.timers[0].at <= to {
		t := heap.Pop(&h.timers).(timer)
		h.now = t.at
		h.decider.SetTime(h.now)
		h.decider.OnTimer(t.id)
	}
	h.now = to
	h.decider.SetTime(h.now)
}

// The following methods implement decide.Actions.

func (h *simulatedBalancer) Connect(f decide.FlowID, to decide.ServerID, _ time.Duration) {
	h.connecting[f] = to
}
func (h *simulatedBalancer) Reject(decide.FlowID, time.Duration) { h.rejected++ }
func (h *simulatedBalancer) Abort(decide.FlowID)                 { h.rejected++ }
func (h *simulatedBalancer) Migrate(f decide.FlowID)             { h.migrated = append(h.migrated, f) }
func (h *simulatedBalancer) HealthCheck(s decide.ServerID) {
	h.healthChecked = append(h.healthChecked, s)
}
func (h *simulatedBalancer) WatchEndpoints(bool) {}
func (h *simulatedBalancer) SetTimer(id decide.TimerID, in time.Duration) {
	heap.Push(&h.timers, timer{h.now + in, id})
}

// timer is a timer that the decisions set.
type timer struct {
	at time.Duration
	id decide.TimerID
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

// evaluationCounter counts the servers that decisions evaluate: they ask their constraints for the cost of each.
type evaluationCounter struct{ count int }

func (c *evaluationCounter) ServerCost(decide.FlowID, decide.ServerID) (float64, bool) {
	c.count++
	return 0, true
}
func (c *evaluationCounter) AdmitFlow(decide.FlowID) bool { return true }
func (c *evaluationCounter) RetryAfter(_ decide.FlowID, suggested time.Duration) time.Duration {
	return suggested
}
func (c *evaluationCounter) AllowMigration(decide.FlowID) bool { return true }
func (c *evaluationCounter) MigrateFirst() []decide.FlowID     { return nil }

// countEvaluations counts the servers that the decisions evaluate during work.
func (h *simulatedBalancer) countEvaluations(work func()) int {
	var counter evaluationCounter
	h.decider.SetConstraints(&counter)
	work()
	h.decider.SetConstraints(nil)
	return counter.count
}
