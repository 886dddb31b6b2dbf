package decide

// The selection of candidates from a long endpoint list.

// fullScanServers is the length of the list up to which decisions consider all servers.
const fullScanServers = 128

// isLong reports whether decisions consider only a selection of the list.
func (l *endpointList) isLong() bool { return len(l.ready) > fullScanServers }

// addCandidate adds a server to the current selection if it is ready and not yet in it.
func (l *endpointList) addCandidate(server *serverState) {
	if server.lastSelection != l.selection && server.readiness == Ready {
		server.lastSelection = l.selection
		l.candidates = append(l.candidates, server)
	}
}

// selectPreferred adds the servers that a group, given by its hash, may prefer, and returns their number. They are the same
// at all balancers of a zone that have the same list. The selection must be empty before.
func (l *endpointList) selectPreferred(group uint64, buckets int) int {
	for i := range buckets {
		for _, server := range l.preferredIndex.bucket(group + uint64(i) + 1) {
			l.addCandidate(server)
		}
	}
	return len(l.candidates)
}

// selectRandom draws servers at random and adds them to the selection. It draws with replacement.
func (l *endpointList) selectRandom(from []*serverState, draws int, random *pcg) {
	for range draws {
		if len(from) > 0 {
			l.addCandidate(from[int(random.uniform()*float64(len(from)))])
		}
	}
}

// retryScope returns the given servers, or the ready servers of the zone or cell to which a retry is confined.
func (l *endpointList) retryScope(f *flow, service *ServiceType, servers []*serverState) []*serverState {
	if !f.isConfined(service) {
		return servers
	}
	if l.zones == nil {
		l.groupByLocation()
	}
	if service.Deduplication == DeduplicatedByZone {
		return l.zones[f.firstRunZone]
	}
	return l.cells[f.firstRunCell]
}

// groupByLocation fills zones and cells. It is called when a retry first needs them after an update.
func (l *endpointList) groupByLocation() {
	l.zones = map[Zone][]*serverState{}
	l.cells = map[CellID][]*serverState{}
	for _, server := range l.ready {
		l.zones[server.zone] = append(l.zones[server.zone], server)
		l.cells[server.cell] = append(l.cells[server.cell], server)
	}
}

// buildIndexes prepares the selection from a long list. Groups may prefer any server, or only local ones if these have
// more than half of the total rendezvous weight.
func (l *endpointList) buildIndexes(localWeight float64) {
	l.local = l.local[:0]
	l.zones = nil
	l.cells = nil
	if !l.isLong() {
		return
	}
	for _, server := range l.ready {
		if server.zone == l.Zone {
			l.local = append(l.local, server)
		}
	}
	preferable := l.ready
	if local := float64(len(l.local)); localWeight*local > float64(len(l.ready))-local {
		preferable = l.local
	}
	l.preferredIndex.build(preferable)
}
