package decide

import "time"

// state is the state of a flow. Only Balancer.transition changes it.
type state int

const (
	waiting     state = iota // needs an attempt, and may be in the admission queue
	connecting               // an attempt is outstanding
	established              // connected to a server
	migrating                // the client was asked to reconnect; the end of the connection is not reported yet
	awaitingEnd              // answered, or its client left; the end of the attempt or connection is not reported yet
	done
)

// flow is one flow of this balancer.
type flow struct {
	id                    FlowID
	service               ServiceID
	customer              CustomerID
	group                 GroupKey
	state                 state
	arrivedAt             time.Duration
	deadline              time.Duration // when the client gives up
	attempts, outstanding int           // attempts made, and those of them whose end is not reported yet
	server                *serverState  // of the last attempt
	incarnation           int           // of the server when the tally was leased
	leased                bool          // counted in the server's tallies
	onProbation           bool          // its last attempt was to an ejected server
	inSlowStart           bool          // its last attempt was taken from a slow-start budget
	attempted             []ServerID
	sentAt                time.Duration // of the last attempt

	mayHaveRun   bool // some attempt may have had an effect; the next three fields describe the first one
	firstRunAt   time.Duration
	firstRunZone Zone
	firstRunCell CellID
	listIndex    int // in the flowList of its state
	serverIndex  int // in its server's established flows
}

func newFlow(request FlowRequest) *flow {
	return &flow{id: request.ID, service: request.Service, customer: request.Customer, group: request.Group}
}

// flowTable holds all flows of this balancer.
type flowTable struct {
	byID          map[FlowID]*flow
	connecting    flowList
	established   flowList // a round of rechecks follows this order
	lastRechecked int      // index into established
	maxAttempts   int
	retryAfter    time.Duration // 0: clients are sent none
}

// flowList is an unordered list of flows. A removal takes constant time: each flow stores its index, and the last flow
// replaces the one removed.
type flowList []*flow

func (l *flowList) add(f *flow) {
	f.listIndex = len(*l)
	*l = append(*l, f)
}

func (l *flowList) remove(f *flow) {
	last := (*l)[len(*l)-1]
	(*l)[f.listIndex] = last
	last.listIndex = f.listIndex
	*l = (*l)[:len(*l)-1]
}
