// Package experiment reads what a run of the testbed is to be: fleet, load, faults, policies, seeds and how service is counted. A file
// gives ranges; a day is one draw from them.
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

// Policies that experiment files name: the project's own, with or without deciders round it, and baselines.
const (
	Ours               = "ours"         // the decisions alone
	OursWithLocalities = "ours+halls"   // with locality-aware failover
	OursWithSignals    = "ours+signals" // with signals between balancers
	RandomServer       = "random"       // any server
	LeastConnections   = "least"        // the server with the fewest own connections
	TwoChoices         = "two-choices"  // the better one of two random servers
	BoundedHashing     = "hashing"      // hashing with bounded loads
	Omniscient         = "top"          // sees the true state of all servers, as no real balancer does
)

// Policies are all there are.
var Policies = []string{Ours, OursWithLocalities, OursWithSignals, RandomServer, LeastConnections, TwoChoices, BoundedHashing, Omniscient}

// Experiment is one file, read and checked.
type Experiment struct {
	Name, About string
	Length      time.Duration
	Seeds       int
	Policies    []string
	Locality    config.Locality // settings of the policy OursWithLocalities

	fleet     fleetRanges
	load      loadRanges
	clients   clientRanges
	services  []simulation.Service
	customers []simulation.Customer
	network   networkRanges
	list      simulation.ListConfig
	terms     Terms
	probes    bool // servers report their load to those that probe; on sockets only
	weights   count.Weights
	beyond    float64 // what a value counts beyond a customer's share
	faults    []faultRanges

	retryAfter time.Duration
}

// fleetRanges are what a fleet is drawn from.
type fleetRanges struct {
	localities         []string
	servers, balancers numbers
	cores, speed       numbers
	connections        numbers // that a server takes, times what its cores can carry
	queuePerCore       numbers // set-ups that wait
	slowStartFrom      numbers
	slowStartByWork    numbers
	groupLoad          numbers // that the first connection of a group adds, times the mean load
	slowStart, buffer  simulation.Interval
	drain              string
	sizes              string // rough: the list tells servers' sizes
	cell               int    // servers in a row that share a cell
	storeHeadroom      numbers
}

// loadRanges are what a load is drawn from.
type loadRanges struct {
	share                        numbers // of the fleet's capacity
	rateAmplitude                numbers // of the rate of arrivals over the day
	perCore                      numbers // connections that a core of speed 1 carries
	loadSpread, loadChangeSpread numbers
	groupSize, groupZipf         numbers
	lifetimeSigma                numbers
	localitySkew                 numbers
	lifetime, changeEvery        simulation.Interval
	localWeight                  float64
	shape                        string
}

// clientRanges are what the clients' behaviour is drawn from.
type clientRanges struct {
	retries              numbers
	retryPolicies        []string
	retryDelay, comeBack simulation.Interval
	silence              simulation.Interval
	obeysRetryAfter      numbers
}

// networkRanges are what the network's delays are drawn from.
type networkRanges struct {
	within, between, client simulation.Interval
	frontNotice             simulation.Interval
}

// Terms are the limits that an invariant checker and a driver hold a run to.
type Terms struct {
	DrainGrace        time.Duration // from the announcement of a drain until no connect may be sent
	SlowStartMultiple float64       // of its capacity that a starting server may be sent over a window
	SlowStartWindow   time.Duration
	SlowStart         time.Duration // how long a server starts at the most
	SlowStartFrom     float64       // least share of its capacity that a server starts with
	MaxConnects       int           // that a flow may use
	ConnectTimeout    time.Duration
}

// Open reads a file. Its error names line and key.
func Open(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Read(path, text)
}

// Read reads the text of a file.
func Read(name string, text []byte) (*Experiment, error) {
	t, err := strict.Parse(name, text)
	if err != nil {
		return nil, err
	}
	e := From(t)
	if err := t.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

// Terms of the experiment.
func (e *Experiment) Terms() Terms { return e.terms }

// Probes reports whether servers report their load to those that probe.
func (e *Experiment) Probes() bool { return e.probes }

// RetryAfter is how long rejected clients may be told to wait.
func (e *Experiment) RetryAfter() time.Duration { return e.retryAfter }

// Weights are how service is counted.
func (e *Experiment) Weights() count.Weights { return e.weights }
