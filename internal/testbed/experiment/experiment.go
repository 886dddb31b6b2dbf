// Package experiment reads the description of a testbed run: fleet, load, faults, policies, seeds and the weights of the service score. A
// file gives ranges; a day is one random draw from them.
package experiment

import (
	"fmt"
	"os"
	"time"

	"yardwinch/internal/config"
	"yardwinch/internal/simulation"
	"yardwinch/internal/strict"
	"yardwinch/internal/testbed/count"
)

// Policies by their names in experiment files: the project's own, alone or with additional constraints, and baselines.
const (
	Ours               = "ours"         // the project's policy without additions
	OursWithLocalities = "ours+halls"   // with locality-aware failover
	OursWithSignals    = "ours+signals" // with signals between balancers
	RandomServer       = "random"       // a random server
	LeastConnections   = "least"        // the server with the fewest connections of this balancer
	TwoChoices         = "two-choices"  // the better one of two random servers
	BoundedHashing     = "hashing"      // hashing with bounded loads
	Omniscient         = "top"          // knows the true state of all servers, as no real balancer can
)

// Policies lists all policies.
var Policies = []string{Ours, OursWithLocalities, OursWithSignals, RandomServer, LeastConnections, TwoChoices, BoundedHashing, Omniscient}

// Experiment is one experiment file, parsed and validated.
type Experiment struct {
	Name, About string
	Length      time.Duration
	Seeds       int
	Policies    []string
	Locality    config.Locality // settings of the policy OursWithLocalities

	fleet             fleetRanges
	load              loadRanges
	clients           clientRanges
	services          []simulation.Service
	customers         []simulation.Customer
	network           networkRanges
	list              simulation.ListConfig
	limits            Limits
	serversReportLoad bool // servers answer health checks with their load; on sockets only
	weights           count.Weights
	beyondShareValue  float64 // factor on the value of connections beyond a customer's share
	faults            []faultRanges

	retryAfter time.Duration // longest retry delay that balancers may send to rejected clients; 0: none
}

// fleetRanges are the ranges that a fleet is drawn from.
type fleetRanges struct {
	localities                 []string
	servers, balancers         numberRange
	cores, speed               numberRange
	connections                numberRange // connection limit of a server, as a multiple of what its cores can carry
	queuePerCore               numberRange // limit of waiting set-ups per core
	slowStartInitialShare      numberRange
	slowStartByWork            numberRange
	groupLoad                  numberRange // additional load of a group's first connection, as a multiple of the mean load
	slowStart, maxMessageDelay simulation.Interval
	drain                      string
	sizes                      string      // rough: the server list has approximate sizes
	serversPerCell             int         // consecutive servers share a cell
	storeHeadroom              numberRange // rate of the session store, as a multiple of the arrival rate; 0: no store
}

// loadRanges are the ranges that a load is drawn from.
type loadRanges struct {
	share                        numberRange // load as a share of the fleet's capacity
	rateAmplitude                numberRange // amplitude of the arrival rate's variation over the day
	connectionsPerCore           numberRange // connections per core of speed 1 at full load
	loadSpread, loadChangeSpread numberRange
	groupSize, groupZipf         numberRange
	lifetimeSigma                numberRange
	localitySkew                 numberRange
	lifetime, changeEvery        simulation.Interval
	localWeight                  float64
	shape                        string
}

// clientRanges are the ranges that the clients' behaviour is drawn from.
type clientRanges struct {
	retries                    numberRange
	retryPolicies              []string
	retryDelay, reconnectDelay simulation.Interval
	silenceTimeout             simulation.Interval
	obeysRetryAfter            numberRange
}

// networkRanges are the ranges that the network's delays are drawn from.
type networkRanges struct {
	within, between, client simulation.Interval
	frontNotice             simulation.Interval
}

// Limits are the limits that the invariant checker enforces and that balancers are configured with.
type Limits struct {
	DrainGrace            time.Duration // time after the announcement of a drain in which connects may still be sent
	SlowStartMultiple     float64       // limit of the load sent to a starting server in a window, as a multiple of its capacity
	SlowStartWindow       time.Duration
	MaxSlowStart          time.Duration // longest slow start of a server
	SlowStartInitialShare float64       // least share of its capacity that a server has when it starts
	MaxConnects           int           // per flow
	ConnectTimeout        time.Duration
}

// Open reads an experiment file. Errors of its content name the line and the key.
func Open(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Read(path, text)
}

// Read parses the text of an experiment file; name is the file's name in errors.
func Read(name string, text []byte) (*Experiment, error) {
	t, err := strict.Parse(name, text)
	if err != nil {
		return nil, err
	}
	e := FromTable(t)
	if err := t.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

// Limits returns the limits of the experiment.
func (e *Experiment) Limits() Limits { return e.limits }

// ServersReportLoad reports whether servers answer health checks with their load.
func (e *Experiment) ServersReportLoad() bool { return e.serversReportLoad }

// RetryAfter returns the longest retry delay that a balancer may send to rejected clients; 0: it may send none.
func (e *Experiment) RetryAfter() time.Duration { return e.retryAfter }

// Weights returns the weights of the service score.
func (e *Experiment) Weights() count.Weights { return e.weights }
