package decide

import "time"

// state is where a flow stands. Only Balancer.transition changes it.
type state int

const (
	waiting     state = iota // needs an attempt, and may be in the admission queue
	connecting               // an attempt is out
	established              // held by a server
	migrating                // its client was asked to reconnect; its end is still to come
	awaitingEnd              // the final answer is given, an attempt still out
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
	deadline              time.Duration // when its client gives up
	attempts, outstanding int           // made so far, and not ended yet
	server                *serverState  // of the last attempt
	incarnation           int           // of the server, when its tally was leased
	leased                bool          // counted in the tallies of its server
	onProbation           bool          // its attempt goes to an ejected server
	inSlowStart           bool          // its attempt was taken from a slow-start budget
	attempted             []ServerID
	sentAt                time.Duration // of the last attempt

	mayHaveRun   bool // some attempt may have had an effect; the next three describe the first such
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
	established   flowList // in the order of a round of rechecks
	lastRechecked int      // index into established
	maxAttempts   int
	retryAfter    time.Duration // 0: clients are given none
}

// flowList holds flows; a removal puts the last one in the place of the one removed. Each flow knows its index, so that
// this takes constant time.
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
