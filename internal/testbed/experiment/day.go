package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/internal/simulation"
)

const (
	roughSizes           = "rough"
	minServerConnections = 4   // least connection limit of a server
	quotaCapacityShare   = 0.8 // share of the fleet's connection capacity that is assigned as quotas
	delayReportDivisor   = 3   // servers report message delays above the shortest message target divided by this
)

// Day is one random draw from an experiment's ranges: a world that has not started, its faults and its load.
type Day struct {
	Experiment *Experiment
	Seed       uint64
	World      *simulation.World
	Faults     []simulation.Fault

	services           []simulation.Service
	customers          []simulation.Customer
	groups             []groupSampler // by customer
	connectionsPerCore float64        // connections per core of speed 1 at full load
	lifetime           time.Duration  // mean lifetime of a connection, for a service type whose Lifetime is 1
	lifetimeSigma      float64
	loadShare          float64 // load as a share of the fleet's capacity
	rateAmplitude      float64 // amplitude of the arrival rate's variation
	capacity           float64 // of the fleet, in cores of speed 1
	localityWeight     []float64
}

// groupSampler draws the groups of a customer's connections from a Zipf distribution.
type groupSampler struct {
	first simulation.GroupID
	zipf  simulation.Zipf
}

func (n numberRange) draw(r *rand.Rand) float64 { return simulation.Uniform(r, n.lo, n.hi) }

// drawInt draws an integer, both ends included.
func (n numberRange) drawInt(r *rand.Rand) int {
	return int(n.lo) + r.IntN(int(n.hi)-int(n.lo)+1)
}

// Day draws the day of a seed. Every policy gets the same day for the same seed. The order of the draws must not change, as it decides
// which day a seed stands for.
func (e *Experiment) Day(seed uint64) *Day {
	r := simulation.RandomSource(seed, "day", 0)
	d := &Day{Experiment: e, Seed: seed, services: slices.Clone(e.services), customers: slices.Clone(e.customers)}
	d.drawLoad(r)
	d.drawClients(r)
	d.configureWorld(r)
	d.drawFleet(r)
	d.drawGroups(r)
	d.World.ConfigureList(e.list)
	d.World.List.MarkDelivered()
	for _, f := range e.faults {
		if fault, happens := f.draw(r, e.fleet.localities); happens {
			d.Faults = append(d.Faults, fault)
		}
	}
	if headroom := e.fleet.storeHeadroom.draw(r); headroom > 0 {
		d.World.ConfigureStore(headroom * d.arrivalRate()) // each client arrives once, so set-ups have the rate of arrivals
	}
	return d
}

func (d *Day) drawLoad(r *rand.Rand) {
	l := d.Experiment.load
	d.connectionsPerCore = l.connectionsPerCore.draw(r)
	d.lifetimeSigma = l.lifetimeSigma.draw(r)
	d.loadShare = l.share.draw(r)
	shortest, longest := float64(l.lifetime.Min), float64(l.lifetime.Max)
	d.lifetime = time.Duration(shortest * math.Pow(longest/shortest, r.Float64())) // log-uniform
	d.rateAmplitude = l.rateAmplitude.draw(r)
	spread := l.loadSpread.draw(r)
	changeSpread := l.loadChangeSpread.draw(r)
	changeEvery := l.changeEvery.Draw(r)
	for i := range d.services {
		s := &d.services[i]
		s.LoadSpread, s.LoadChangeSpread, s.ChangeEvery = spread, changeSpread, changeEvery
		s.LifetimeSigma = d.lifetimeSigma
	}
}

// retryPolicies by their names in experiment files.
var retryPolicies = map[string]simulation.RetryPolicy{"never": simulation.NeverRetry, "at-once": simulation.RetryAtOnce,
	"fixed": simulation.RetryAfterFixedDelay, "backoff": simulation.RetryWithBackoff}

func (d *Day) drawClients(r *rand.Rand) {
	c := d.Experiment.clients
	policy := retryPolicies[c.retryPolicies[r.IntN(len(c.retryPolicies))]]
	retries := c.retries.drawInt(r)
	delay := c.retryDelay.Draw(r)
	obeys := c.obeysRetryAfter.draw(r)
	silence := c.silenceTimeout.Draw(r)
	for i := range d.services {
		s := &d.services[i]
		s.RetriesInARow, s.Retry, s.RetryDelay = retries, policy, delay
		s.ObeysRetryAfter, s.SilenceTimeout, s.ReconnectDelay = obeys, silence, c.reconnectDelay
	}
}

// drains by their names in experiment files.
var drains = map[string]simulation.Drain{"quiet": simulation.Quiet, "paced": simulation.Paced, "at-once": simulation.AtOnce}

func (d *Day) configureWorld(r *rand.Rand) {
	e := d.Experiment
	shortest := time.Duration(math.MaxInt64)
	for _, s := range d.services {
		shortest = min(shortest, s.MessageTarget)
	}
	w := simulation.New(d.Seed, e.Length, shortest/delayReportDivisor)
	d.World = w
	w.ConfigureSlowStart(simulation.SlowStartConfig{
		InitialShare:     e.limits.SlowStartInitialShare,
		CollapseMultiple: e.limits.SlowStartMultiple,
		CollapseWindow:   e.limits.SlowStartWindow,
	})
	w.ConfigureServices(simulation.ServicesConfig{
		Services:         d.services,
		Customers:        d.customers,
		Localities:       e.fleet.localities,
		BeyondShareValue: e.beyondShareValue,
		MeanLoad:         d.MeanLoad(),
		MessageWork:      d.services[0].MessageWork,
	})
	w.ConfigureEstablished(e.load.localWeight)
	within := e.network.within.Draw(r)
	between := e.network.between.Draw(r)
	w.ConfigureNetwork(within, between, e.network.client.Draw(r))
	w.ConfigureFront(e.network.frontNotice)
	w.ConfigureDrains(drains[e.fleet.drain])
}

func (d *Day) drawFleet(r *rand.Rand) {
	e, w := d.Experiment, d.World
	localities := len(e.fleet.localities)
	servers := e.fleet.servers.drawInt(r)
	connections := e.fleet.connections.draw(r)
	queue := e.fleet.queuePerCore.draw(r)
	all := simulation.ServerSpec{MaxMessageDelay: e.fleet.maxMessageDelay.Draw(r), GroupLoad: e.fleet.groupLoad.draw(r) * d.MeanLoad(),
		SlowStartInitialShare: e.fleet.slowStartInitialShare.draw(r), SlowStartByWork: e.fleet.slowStartByWork.draw(r)}
	for i := range servers {
		spec := all
		spec.Locality, spec.Cell = simulation.LocalityID(i%localities), simulation.CellID(i/e.fleet.serversPerCell)
		spec.Cores = e.fleet.cores.drawInt(r)
		spec.Speed = e.fleet.speed.draw(r)
		spec.Size = e.drawSize(r, spec)
		spec.MaxConnections = max(minServerConnections, int(connections*(float64(spec.Cores)*spec.Speed*d.connectionsPerCore)))
		spec.MaxWaiting = int(queue * float64(spec.Cores))
		spec.SlowStart = e.fleet.slowStart.Draw(r)
		w.AddServer(spec)
	}
	for i := range e.fleet.balancers.drawInt(r) {
		w.AddBalancer(simulation.LocalityID(i % localities))
	}
	d.capacity = w.Capacity()
	skew := e.load.localitySkew.draw(r)
	for range localities {
		d.localityWeight = append(d.localityWeight, math.Exp(skew*r.NormFloat64()))
	}
}

// drawSize returns the size of a server in the server list: its approximate capacity, or 1 for every server.
func (e *Experiment) drawSize(r *rand.Rand, spec simulation.ServerSpec) float64 {
	const roughMin, roughMax = 0.85, 1.15
	if e.fleet.sizes != roughSizes {
		return 1
	}
	return float64(spec.Cores) * spec.Speed * simulation.Uniform(r, roughMin, roughMax)
}

// drawGroups sets the customers' quotas, and the number of groups and the Zipf distribution that the groups of their connections are drawn
// from.
func (d *Day) drawGroups(r *rand.Rand) {
	connectionCapacity := d.capacity * d.connectionsPerCore
	size := d.Experiment.load.groupSize.draw(r)
	zipf := d.Experiment.load.groupZipf.draw(r)
	next := simulation.GroupID(0)
	for i := range max(1, len(d.customers)) {
		share := 1.0
		if len(d.customers) > 0 {
			share = d.customers[i].Share
			d.customers[i].Quota = connectionCapacity * quotaCapacityShare * share
		}
		groups := max(1, int(connectionCapacity*d.loadShare*share/size))
		d.groups = append(d.groups, groupSampler{next, simulation.NewZipf(groups, zipf)})
		next += simulation.GroupID(groups)
	}
}

// MeanLoad returns the mean load of a connection, in cores of speed 1.
func (d *Day) MeanLoad() float64 { return 1 / d.connectionsPerCore }

// Begin schedules the day's faults and starts its load. The world's driver must be set.
func (d *Day) Begin() {
	d.World.ScheduleFaults(d.Faults)
	d.World.StartLoad(d.Source())
}
