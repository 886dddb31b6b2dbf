// Package locality decides which halls a balancer's flows may go to: by preference, within a bounded spill, and gently when
// a hall comes back. It sees what its own balancer sees and nothing else, does no I/O and is told the time.
package locality

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// State is what a hall is held to be in.
type State string

// States of a hall.
const (
	Healthy     State = "well"
	Unavailable State = "lost"      // nobody is met there; one flow now and then is let through to see
	Recovering  State = "returning" // takes a growing part of its usual flows
)

const (
	tierCost = 4.0 // in units of the design's cost: more than grouping and load are usually worth together

	evidence    = 5 * time.Second // connects older than that say nothing of now
	kept        = 24              // of the last connects to a hall
	firstPause  = time.Second     // between trials of a lost hall
	alonePause  = time.Second     // the most while no hall is well
	mostPause   = 8 * time.Second
	trialWithin = 2 * time.Second // a trial that says nothing for longer is over

	steps     = 5 // of a return, over the time in which a server warms
	holdMost  = 4 // times a step's length, while set-ups are slow
	flapAgain = time.Minute
	flapMost  = 4 // times gentler

	riseIn = 4 * time.Second  // in which what is held to be usual follows a rise, while the hall is in time
	fallIn = 60 * time.Second // and a fall
	lateOf = 3 * time.Second  // a late note counts that long

	knownAfter = 10 * time.Second // of learning, a balancer knows what is usual

	tokens = 2.0 // moves home that may be saved up
)

// shares of its usual flows that a hall may take by the steps of its return.
var shares = [steps]float64{0.1, 0.25, 0.5, 0.75, 1}

type server struct {
	id     decide.ServerID
	hall   *hall
	size   float64
	state  decide.Readiness
	since  time.Duration
	lateAt time.Duration
}

type result struct {
	at     time.Duration
	server decide.ServerID
	good   bool
	weak   bool // a time-out: what all set-ups share may be the cause
	took   time.Duration
}

type hall struct {
	name    decide.Zone
	tier    int
	state   State
	why     constraints.Reason // of the state
	servers map[decide.ServerID]*server
	ready   int
	size    float64 // of those ready
	own     int     // flows of this balancer there, out or standing
	results []result

	retryAt, pause time.Duration // lost
	trial          decide.FlowID
	trialAt        time.Duration
	since          time.Duration // of the state
	step           int           // returning
	stepAt         time.Duration
	sent           int
	gentler        float64
	lastReturn     time.Duration
	coin           float64 // rounds a part of one flow; drawn anew at each change of state
	listed         bool    // it had a ready server once
}

type flow struct {
	server *server
	stands bool
	group  decide.GroupKey
	stood  time.Duration
}

// Policy is one balancer's view.
type Policy struct {
	constraints.Unconstrained
	now      time.Duration
	rng      *rand.Rand
	own      decide.Zone
	tiers    [][]decide.Zone
	spill    float64
	surge    float64
	home     float64 // moves home a second, of this balancer
	tokens   float64
	target   time.Duration // of set-ups
	late     time.Duration // a message later than this is late
	warm     time.Duration
	again    time.Duration
	halls    map[decide.Zone]*hall
	order    []*hall
	servers  map[decide.ServerID]*server
	flows    map[decide.FlowID]*flow
	perSize  float64 // own flows a unit of size in the nearest tier, as usual
	learntAt time.Duration
	learnt   time.Duration // for how long
	begun    bool
	moved    int
}

// New makes a decider. tiers are the halls as own prefers them, the nearest first; halls not named come last. spill is the
// part of a hall's usual flows that others may bring there; surge the part by which the own may grow at once beyond
// what is usual, 0 for any. homeward moves a minute are let go home by all balancers together, of which there are
// peers. target and late are what set-ups and messages are wanted within, warm how long a server warms; again, those
// turned away come again by, spread by chance.
func New(seed uint64, own decide.Zone, tiers [][]decide.Zone, spill, surge, homeward float64, peers int,
	target, late, warm, again time.Duration) *Policy {
	return &Policy{rng: rand.New(rand.NewPCG(seed, 0x68616c6c)), own: own, tiers: tiers, spill: spill, surge: surge,
		home: homeward / 60 / float64(max(peers, 1)), target: target, late: late, warm: max(warm, time.Second), again: again,
		halls: map[decide.Zone]*hall{}, servers: map[decide.ServerID]*server{}, flows: map[decide.FlowID]*flow{}}
}

// Reconfigure takes in what may change while the balancer runs.
func (h *Policy) Reconfigure(tiers [][]decide.Zone, spill, surge, homeward float64, peers int, again time.Duration) {
	h.tiers, h.spill, h.surge, h.again = tiers, spill, surge, again
	h.home = homeward / 60 / float64(max(peers, 1))
	for _, x := range h.order {
		x.tier = h.tierOf(x.name)
	}
}

// Name is the name under which this decider is explained and counted.
func (h *Policy) Name() string { return "halls" }

func (h *Policy) tierOf(z decide.Zone) int {
	for i, t := range h.tiers {
		if slices.Contains(t, z) {
			return i
		}
	}
	if len(h.tiers) == 0 && z == h.own {
		return 0
	}
	return max(len(h.tiers), 1)
}

func (h *Policy) hall(z decide.Zone) *hall {
	x := h.halls[z]
	if x == nil {
		x = &hall{name: z, tier: h.tierOf(z), state: Healthy, servers: map[decide.ServerID]*server{}, gentler: 1, since: h.now, coin: h.rng.Float64()}
		h.halls[z] = x
		h.order = append(h.order, x)
		slices.SortFunc(h.order, func(a, b *hall) int { return cmp.Compare(a.name, b.name) })
	}
	return x
}

// SetTime sets the time of the calls that follow, and does what is due by it.
func (h *Policy) SetTime(now time.Duration) {
	h.now = now
	if h.begun {
		h.tokens = min(tokens, h.tokens+h.home*(now-h.learntAt).Seconds())
		h.learn(now - h.learntAt)
	}
	h.learntAt = now
	for _, x := range h.order {
		if x.state == Recovering {
			h.goOn(x)
		}
	}
}

// StateOf tells the state of a hall.
func (h *Policy) StateOf(z decide.Zone) State { return h.hall(z).state }
