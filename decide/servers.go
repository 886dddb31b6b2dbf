package decide

import "time"

// serverState holds what this balancer knows of one server.
type serverState struct {
	// The first two blocks are read for every candidate of a decision. They come first, so that they fit into two cache
	// lines.
	lastSelection          uint64 // number of the last selection of candidates that contains the server
	readiness              Readiness
	openFlows              int // flows in the leased tally: connecting and established
	size                   float64
	startedAt              time.Duration
	consecutiveUnreachable int // attempts that ended as Unreachable since the server was last known to be alive
	latency                time.Duration
	id                     ServerID
	ejected                bool // in its ejection time, or on probation after it
	disabled               bool // taken out of service by operators
	inUpdate               bool // has an entry in the current update of the list

	// Location, load and limit.
	zone           Zone
	overloadedAt   time.Duration // time of the last latency sample that showed overload
	loadReportedAt time.Duration
	reportedLoad   float64 // as a share of its capacity
	limit          flowLimit

	// Endpoint list.
	cell            CellID
	largestSize     float64   // that was listed since the server started
	listedReadiness Readiness // in the endpoint list; readiness takes disabled into account
	incarnation     int       // number of restarts; flows of earlier incarnations are in no tally

	// Accounting.
	groupTallies map[GroupKey]int
	established  []*flow // at any incarnation of the server

	// Outlier detection and health checks.
	samples         []sample
	ejectedUntil    time.Duration
	ejectionTime    time.Duration // of the last ejection
	probationLimit  int           // maximum of probationFlows
	probationFlows  int           // connecting and established flows that were sent here while the server was ejected
	latencyAt       time.Duration
	healthCheckedAt time.Duration

	// Slow-start budget: number of attempts that were due at budgetAt, and how many of them were spent or have expired.
	budgetDue   float64
	budgetSpent int
	budgetAt    time.Duration
}

// addFlow adds an established flow.
func (s *serverState) addFlow(f *flow) {
	f.serverIndex = len(s.established)
	s.established = append(s.established, f)
}

// removeFlow removes a flow that is no longer established.
func (s *serverState) removeFlow(f *flow) {
	last := s.established[len(s.established)-1]
	s.established[f.serverIndex] = last
	last.serverIndex = f.serverIndex
	s.established = s.established[:len(s.established)-1]
}
