package decide

import (
	"slices"
	"time"
)

// state names where a flow stands.
type state int

const (
	waiting state = iota
	connecting
	established
	leaving  // asked to move; its end is still to come
	answered // final answer given, a connect still out
	done
)

// flow is one flow; only transition in decide.go changes its state.
type flow struct {
	id            FlowID
	service       ServiceID
	customer      CustomerID
	group         GroupKey
	state         state
	came, due     time.Duration // due: its own connect timeout
	connects, out int
	server        *server
	life          int
	leased, trial bool
	cold          bool // its connect was taken from a cold server's budget
	tried         []ServerID
	sentAt        time.Duration
	mayRan        bool // some connect may have run; the next three say where and when first
	ranAt         time.Duration
	ranZone       Zone
	ranCell       CellID
	place         int // in the flowList of its state
	seat          int // in its server's flows, while established
}

// server is one real server as this balancer knows it; each part keeps its own share of it.
type server struct {
	// What each decision reads of each candidate comes first: it fills two lines of the processor's cache.
	taken   uint64    // the last selection of candidates that holds it
	state   Readiness // as it is dealt with; listed: as the list has it; byHand: staff have taken it out
	open    int       // tallies: booked and confirmed
	size    float64
	since   time.Duration
	silent  int // connects in a row that found nobody, with no sign of life since
	delay   time.Duration
	id      ServerID
	ejected bool
	byHand  bool
	seen    bool

	zone     Zone
	hotAt    time.Duration // last heard of a delay that counts
	probedAt time.Duration
	probed   float64
	limit    limit

	cell   CellID // server list
	listed Readiness
	life   int // counts restarts in place: flows of an earlier life touch no tally

	groups map[GroupKey]int // tallies
	flows  []*flow          // established here, of any life

	samples             []sample // health
	ejectedUntil, pause time.Duration
	trickle, trying     int
	delayAt             time.Duration
	askedAt             time.Duration // of the last probe

	coldDue  float64 // cold budget: connects due at coldAt, and those spent or lapsed
	coldSent int
	coldAt   time.Duration
}

// Balancer is one instance: the parts, each owning its state, and what they share.
type Balancer struct {
	actions     Actions
	now         time.Duration
	rng         pcg
	constraints Constraints // nil: none

	flows    flowBook
	tallies  tallies
	pace     pace
	picks    pick
	health   health
	cold     cold
	list     serverList
	services []ServiceType
	fair     map[CustomerID]int // open flows of each customer
}

// The parts of a Balancer and the state that each owns.

type flowBook struct {
	byID        map[FlowID]*flow
	connecting  flowList
	open        flowList // established, in the order of a round of rechecks
	next        int      // the one rechecked last
	maxConnects int
	retryAfter  time.Duration // 0: clients are given none
}

type pace struct {
	window             float64
	line               []*flow // waiting, oldest first
	pause, opens, last time.Duration
	results            []sample      // of the last set-ups, over all servers
	sent               time.Duration // when the last connect went out
	refused            int           // flows answered since then for which none did
}

type tallies struct {
	holders map[GroupKey][]*server // servers on which this balancer's tally of the group is above nought
	held    int                    // how many those are over all groups
}

type pick struct {
	crossing, moving float64 // their prices
	sizes            bool    // the list's sizes mean something
}

type health struct {
	setups   []time.Duration // of the last set-ups, over all servers
	setupAt  time.Duration   // when the last of them ended
	pull     bool
	credit   float64  // probes that may go out
	limit    limit    // on all flows
	survey   survey   // the last one taken
	failures failures // the same
	healthy  healthy  // the same
}

type cold struct {
	SlowStart
	quota      []float64 // of customers, in connections over all balancers
	handedOver bool      // another process spends the budgets
}

type serverList struct {
	byID           map[ServerID]*server
	all            []*server // by id, but for those that came since the last sorting
	unsorted       bool
	ready, leaving []*server // by id
	near           []*server // ready, in the own zone
	zones          map[Zone][]*server
	cells          map[CellID][]*server
	homes          serverIndex // of a long list: where groups are at home
	sums           sums        // over ready: flows at all times, the rest as of the last tick or list
	lowest         float64     // least load of any server that a flow could be moved to, as of the last tick
	selections     uint64
	candidates     []*server // the last selection from a long list
	EndpointSettings
	gap   time.Duration
	kind  UpdateKind
	usual float64 // size in service: of the first list, or of the most warm servers since; 0: none
}

// sums are figures added up over servers.
type sums struct {
	open       float64 // own open connections
	size       float64
	load, told float64 // reported load times size, and the size of those that reported
}

// survey is what was heard of all ready servers together.
type survey struct {
	at         time.Duration
	hot, heard float64
	ejected    int
}

// healthy are the servers in no trouble, as of a time.
type healthy struct {
	at      time.Duration
	servers []*server
}

// failures is the median over servers of their share of failed connects, as of a time.
type failures struct {
	at     time.Duration
	median float64
}

// view is what one pick or recheck compares servers against.
type view struct {
	candidates []*server
	homes      int       // so many of them, the first, may be the home
	holders    []*server // of the group, at this balancer
	mean       float64   // own open connections per unit of size in service
	fair       float64   // the same with the flow in hand
	told       float64   // mean load over capacity, of servers that told theirs
	relief     bool      // some server sits below the guard
	held       bool      // one of those holds the group
	home       *server
}

// count is how many flows of the group the server holds. Few hold it: most need no look into their tallies.
func (v view) count(r *server, g GroupKey) int {
	if len(v.holders) <= fewHolders && !slices.Contains(v.holders, r) {
		return 0
	}
	return r.groups[g]
}

const fewHolders = 4

// limit is how many flows may be held: the share kept at the last sign of too many, grown back since.
type limit struct {
	held float64
	was  float64       // at the first sign of a row
	at   time.Duration // 0: no limit
}
