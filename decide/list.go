package decide

import (
	"cmp"
	"slices"
	"time"
)

// The endpoint list, its updates, and servers disabled by operators.

// maxPollBackoff is the longest backoff after a failed poll. If a poll takes up to 2 s, a change is known within 6 s.
const maxPollBackoff = 1600 * time.Millisecond

// endpointList holds the servers, with sums and indexes over them.
type endpointList struct {
	EndpointSettings
	byID       map[ServerID]*serverState
	all        []*serverState // sorted by ID, except for those added since the last sorting
	unsorted   bool
	ready      []*serverState // sorted by ID
	departing  []*serverState // not ready, with open flows; sorted by ID
	updateKind UpdateKind     // of the current update

	pollBackoff time.Duration // 0: the last poll succeeded

	totals       fleetTotals // over ready; openFlows is always current, the rest is as of the last tick or update
	lowestLoad   float64     // of the servers that a flow could be migrated to, as of the last tick or update
	baselineSize float64     // full size of all ready servers at first, or of all warm ones at a later update if larger; 0: unknown

	meanLargestSize float64 // mean of the largest sizes of the ready servers that have one; 0: there is none

	// The selection of candidates from a long list; see isLong.
	local          []*serverState // ready, in the local zone
	zones          map[Zone][]*serverState
	cells          map[CellID][]*serverState
	preferredIndex bucketIndex
	selection      uint64         // number of the last selection
	candidates     []*serverState // of the last selection
}

// server returns the state of a server. It creates one for a server that is not listed, so that every flow has a server.
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

// BeginEndpoints begins an update of the endpoint list. It is followed by a call of OnEndpoint for each entry and one of
// EndEndpoints. A FailedUpdate consists of this call alone.
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

// pollAfterBackoff schedules the next poll, well within MaxPollInterval. The backoff has jitter, so that balancers do not
// overload a discovery service that has just recovered.
func (b *Balancer) pollAfterBackoff() {
	b.list.pollBackoff = min(max(2*b.list.pollBackoff, tickInterval), b.list.MaxPollInterval/2, maxPollBackoff)
	b.actions.SetTimer(listTimer, time.Duration(float64(b.list.pollBackoff)*(0.5+b.random.uniform()/2)))
}

// OnEndpoint handles one entry. A start time later than the known one means that the server restarted, or that it is new.
func (b *Balancer) OnEndpoint(endpoint Endpoint) {
	server := b.list.server(endpoint.ID)
	if endpoint.StartedAt > server.startedAt && endpoint.Readiness == Ready {
		b.onRestart(server, endpoint.StartedAt)
	}
	if b.health.checksReturnLoad && server.healthCheckedAt == 0 {
		// One check is due at once. The random time of the last check makes balancers check servers in different orders.
		server.healthCheckedAt = b.now - time.Duration(b.random.uniform()*float64(recheckInterval))
		b.health.checkCredit++
	}
	server.zone = endpoint.Zone
	server.cell = endpoint.Cell
	server.size = 0
	if isSize(endpoint.Size) {
		server.size = endpoint.Size
	}
	server.largestSize = max(server.largestSize, server.size)
	server.inUpdate = true
	b.setReadiness(server, endpoint.Readiness)
}

// onRestart resets the state of a server that restarted. Connections to earlier incarnations are kept until their ends
// are reported.
func (b *Balancer) onRestart(server *serverState, startedAt time.Duration) {
	b.clearGroupTallies(server)
	*server = serverState{
		id:          server.id,
		established: server.established,
		incarnation: server.incarnation,
		disabled:    server.disabled,
	}
	b.beginSlowStart(server, startedAt)
}

// setReadiness sets a server's readiness in the list. A server disabled by operators counts as draining at best.
func (b *Balancer) setReadiness(server *serverState, listed Readiness) {
	server.listedReadiness = listed
	server.readiness = listed
	if server.disabled {
		server.readiness = max(listed, Draining)
	}
}

// SetDisabled disables a server or enables it again, independently of the list. A server that is enabled was probably
// restarted, so it begins slow start and its health is reset. Flows that remained there stay in its tallies.
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
			largestSize:     server.largestSize,
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

// rebuildList recomputes what depends on the readiness of servers. All lists are sorted by ID, so that decisions do not
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
	b.updateMeanLargestSize()
	l.buildIndexes(b.localWeight())
	b.updateTotals()
}

func (b *Balancer) updateMeanLargestSize() {
	sum, n := 0.0, 0.0
	for _, server := range b.list.ready {
		if server.largestSize > 0 {
			sum += server.largestSize
			n++
		}
	}
	b.list.meanLargestSize = sum / max(n, 1)
}

func (b *Balancer) updateBaselineSize() {
	all, warm := 0.0, 0.0
	for _, server := range b.list.ready {
		share := b.capacityShare(server)
		size := b.effectiveSize(server) / share
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
