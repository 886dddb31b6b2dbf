package decide

import (
	"cmp"
	"slices"
	"time"
)

// The endpoint list, its updates, and servers that operators disable.

// maxPollBackoff bounds the time between polls that fail. With polls of 2 s each, a change is known within 6 s.
const maxPollBackoff = 1600 * time.Millisecond

// endpointList holds the servers, and figures and indexes over them.
type endpointList struct {
	EndpointSettings
	byID       map[ServerID]*serverState
	all        []*serverState // by id, but for those added since the last sorting
	unsorted   bool
	ready      []*serverState // by id
	departing  []*serverState // not ready, with open flows; by id
	updateKind UpdateKind     // of the update in hand

	pollBackoff time.Duration // 0: the last poll succeeded

	totals       fleetTotals // over ready: flows at all times, the rest as of the last tick or update
	lowestLoad   float64     // of any server that a flow could be migrated to, as of the last tick or update
	baselineSize float64     // in service: of the first list, or of the most warm servers since; 0: none

	// The selection from a long list; see isLong.
	local          []*serverState // ready, in the own zone
	zones          map[Zone][]*serverState
	cells          map[CellID][]*serverState
	preferredIndex bucketIndex
	selection      uint64         // counts selections
	candidates     []*serverState // of the last selection
}

// server returns what is known of a server, also of one that the list does not name, so that every flow has its server.
func (l *endpointList) server(id ServerID) *serverState {
	state := l.byID[id]
	if state == nil {
		state = &serverState{id: id, readiness: Gone, listedReadiness: Gone, startedAt: LongAgo}
		l.byID[id] = state
		l.all = append(l.all, state)
		l.unsorted = true
	}
	return state
}

// BeginEndpoints begins an update of the endpoint list; OnEndpoint brings each entry, EndEndpoints closes it. A
// FailedUpdate consists of this call alone.
func (b *Balancer) BeginEndpoints(kind UpdateKind) {
	b.list.updateKind = kind
	for _, server := range b.list.all {
		server.inUpdate = false
	}
	if kind != FailedUpdate {
		b.list.pollBackoff = 0
	} else if b.list.Polled {
		b.pollAfterBackoff()
	}
}

// pollAfterBackoff waits well below the interval at which the list has to be polled. The wait is spread, so that
// balancers do not overload a service that has just recovered.
func (b *Balancer) pollAfterBackoff() {
	b.list.pollBackoff = min(max(2*b.list.pollBackoff, tickInterval), b.list.MaxPollInterval/2, maxPollBackoff)
	b.actions.SetTimer(listTimer, time.Duration(float64(b.list.pollBackoff)*(0.5+b.random.uniform()/2)))
}

// OnEndpoint handles one entry. A later start than the one known is a restart, or the start of a server that is new.
func (b *Balancer) OnEndpoint(endpoint Endpoint) {
	server := b.list.server(endpoint.ID)
	if endpoint.StartedAt > server.startedAt && endpoint.Readiness == Ready {
		b.onRestart(server, endpoint.StartedAt)
	}
	if b.health.checksLoad && server.healthCheckedAt == 0 { // a check is due, at a random time
		server.healthCheckedAt = b.now - time.Duration(b.random.uniform()*float64(recheckInterval))
		b.health.checkCredit++
	}
	server.zone = endpoint.Zone
	server.cell = endpoint.Cell
	server.size = endpoint.Size
	server.inUpdate = true
	b.setReadiness(server, endpoint.Readiness)
}

// onRestart forgets what is known of a server's earlier incarnations. Their connections stay until their ends are
// reported.
func (b *Balancer) onRestart(server *serverState, startedAt time.Duration) {
	b.clearTallies(server)
	*server = serverState{
		id:          server.id,
		established: server.established,
		incarnation: server.incarnation,
		disabled:    server.disabled,
	}
	b.beginSlowStart(server, startedAt)
}

// setReadiness combines the list with what operators decided: a disabled server takes no new flows.
func (b *Balancer) setReadiness(server *serverState, listed Readiness) {
	server.listedReadiness = listed
	server.readiness = listed
	if server.disabled {
		server.readiness = max(listed, Draining)
	}
}

// SetDisabled disables a server administratively or enables it again, whatever the list says. One that is enabled was
// likely restarted: it warms up, and its health is unknown. Flows that stayed on it remain in its tallies.
func (b *Balancer) SetDisabled(id ServerID, disabled bool) {
	server := b.list.server(id)
	if server.disabled == disabled {
		return
	}
	server.disabled = disabled
	if !disabled {
		*server = serverState{
			id:              id,
			zone:            server.zone,
			cell:            server.cell,
			size:            server.size,
			readiness:       server.readiness,
			listedReadiness: server.listedReadiness,
			incarnation:     server.incarnation,
			openFlows:       server.openFlows,
			groupTallies:    server.groupTallies,
			established:     server.established,
			probationFlows:  server.probationFlows,
		}
		b.beginSlowStart(server, b.now)
	}
	b.setReadiness(server, server.listedReadiness)
	b.rebuildList()
}

// EndEndpoints ends an update of the endpoint list.
func (b *Balancer) EndEndpoints() {
	for _, server := range b.list.all {
		if !server.inUpdate && b.list.updateKind != DeltaUpdate {
			b.setReadiness(server, Gone)
		}
	}
	b.rebuildList()
}

// rebuildList computes what depends on the readiness of servers. All lists are sorted by id, so that decisions do not
// depend on the order of updates.
func (b *Balancer) rebuildList() {
	l := &b.list
	if l.unsorted {
		slices.SortFunc(l.all, func(one, other *serverState) int { return cmp.Compare(one.id, other.id) })
		l.unsorted = false
	}
	l.ready = l.ready[:0]
	l.departing = l.departing[:0]
	for _, server := range l.all {
		if server.readiness == Ready {
			l.ready = append(l.ready, server)
		} else if server.openFlows > 0 {
			l.departing = append(l.departing, server)
		}
	}
	b.updateBaselineSize()
	l.buildIndexes(b.localWeight())
	b.updateTotals()
}

func (b *Balancer) updateBaselineSize() {
	all, warm := 0.0, 0.0
	for _, server := range b.list.ready {
		share := b.capacityShare(server)
		size := b.size(server) / share
		all += size
		if share == 1 {
			warm += size
		}
	}
	if b.list.baselineSize == 0 {
		b.list.baselineSize = all
	}
	b.list.baselineSize = max(b.list.baselineSize, warm)
}
