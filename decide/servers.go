package decide

import "time"

// serverState is what this balancer knows of one server. Each concern keeps its own part.
type serverState struct {
	// What each decision reads of each candidate comes first, so that it fits two cache lines.
	lastSelection          uint64 // the last selection of candidates that contains the server
	readiness              Readiness
	openFlows              int // leased: connecting and established
	size                   float64
	startedAt              time.Duration
	consecutiveUnreachable int // attempts in a row that ended as Unreachable, with no sign of life since
	latency                time.Duration
	id                     ServerID
	ejected                bool
	disabled               bool // operators have taken it out of service
	inUpdate               bool // the endpoint update in hand has named it

	// Location, load and limit.
	zone           Zone
	overloadedAt   time.Duration // when a latency last showed overload
	loadReportedAt time.Duration
	reportedLoad   float64 // over its capacity
	limit          flowLimit

	// Endpoint list.
	cell            CellID
	listedReadiness Readiness // as the list has it; readiness respects operators too
	incarnation     int       // counts restarts in place; flows of an earlier one are in no tally

	// Accounting.
	groupTallies map[GroupKey]int
	established  []*flow // of any incarnation

	// Outlier detection and health checks.
	samples         []sample
	ejectedUntil    time.Duration
	ejectionTime    time.Duration // of the last ejection
	probationLimit  int           // flows that may be out while on probation
	probationFlows  int
	latencyAt       time.Duration
	healthCheckedAt time.Duration

	// Slow-start budget: attempts due at budgetAt, and those of them that were spent or have expired.
	budgetDue   float64
	budgetSpent int
	budgetAt    time.Duration
}

// addFlow adds an established flow to its server.
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
