package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"yardwinch/internal/simulation"
)

const (
	waveShape       = "wave"
	dailyShape      = "daily"
	wavesPerDay     = 4
	groupLoadShare  = 0.25 // mean share of the group load per connection, as several connections share a group
	minRequested    = 1e-9 // avoids a division by 0 requested connections
	steadyGroupZipf = 0.8
)

// meanEstablished returns the mean number of established connections that corresponds to the day's load. The groups' additional load,
// at the lower end of its range, uses up some of the capacity.
func (d *Day) meanEstablished() float64 {
	loadOfConnection := 1 + d.Experiment.fleet.groupLoad.lo*groupLoadShare
	load, shares := 0.0, 0.0
	for _, s := range d.services {
		load += s.Share * s.Load * s.Lifetime
		shares += s.Share * s.Lifetime
	}
	return d.loadShare * d.capacity * d.connectionsPerCore / (loadOfConnection * load / shares)
}

// meanLifetime returns the lifetime of a connection, averaged over the service types, in seconds.
func (d *Day) meanLifetime() float64 {
	lifetime, shares := 0.0, 0.0
	for _, s := range d.services {
		lifetime += s.Share * s.Lifetime
		shares += s.Share
	}
	return d.lifetime.Seconds() * lifetime / shares
}

// arrivalRate returns the mean number of arrivals per second, without faults.
func (d *Day) arrivalRate() float64 { return d.meanEstablished() / d.meanLifetime() }

// Source returns the day's load: first the connections that are established when the day begins, then arrivals of a Poisson process of
// varying rate, drawn by thinning.
func (d *Day) Source() simulation.ArrivalSource {
	established := d.meanEstablished()
	if simulation.ArrivalRate(d.Faults, 0) > 1 {
		for _, f := range d.Faults { // an overload from the start multiplies the initially established connections, too
			if f.Kind == simulation.Overload && f.Start == 0 {
				established *= f.Strength
			}
		}
	}
	r := simulation.RandomSource(d.Seed, "load", 0)
	return &source{day: d, random: r, established: int(established), maxRate: d.maxRate(), phase: r.Float64()}
}

// maxRate returns an upper bound of the arrival rate, as a multiple of arrivalRate.
func (d *Day) maxRate() float64 {
	rate := 1.0
	for _, f := range d.Faults {
		if f.Kind == simulation.Burst || f.Kind == simulation.Overload {
			rate *= math.Max(1, f.Strength)
		}
	}
	return rate * (1 + d.rateAmplitude)
}

type source struct {
	day         *Day
	random      *rand.Rand
	established int     // initially established connections that are still to be drawn
	at          float64 // time of the last candidate of the thinning, in seconds
	maxRate     float64
	phase       float64 // of the wave shape
}

// Next draws the next arrival.
func (s *source) Next() (simulation.Arrival, bool) {
	if s.established > 0 {
		s.established--
		return s.drawEstablished(), true
	}
	d := s.day
	for {
		s.at += s.random.ExpFloat64() / (d.arrivalRate() * s.maxRate)
		at := time.Duration(s.at * float64(time.Second))
		if at > d.Experiment.Length {
			return simulation.Arrival{}, false
		}
		if s.random.Float64()*s.maxRate < simulation.ArrivalRate(d.Faults, at)*s.loadFactor(at) {
			arrival := s.drawArrival()
			arrival.At = at
			return arrival, true
		}
	}
}

// drawEstablished draws a client that is connected when the day begins. Long lifetimes are over-represented among such connections, which
// multiplies the log-normal lifetime by exp(sigma²), and the remaining time is uniform within the lifetime.
func (s *source) drawEstablished() simulation.Arrival {
	arrival := s.drawArrival()
	sigma := s.day.lifetimeSigma
	arrival.Lifetime = time.Duration(float64(arrival.Lifetime) * math.Exp(sigma*sigma) * s.random.Float64())
	arrival.IsEstablished = true
	return arrival
}

// loadFactor returns the arrival rate at a time of the day as a multiple of the mean rate.
func (s *source) loadFactor(at time.Duration) float64 {
	part := at.Seconds() / s.day.Experiment.Length.Seconds()
	switch s.day.Experiment.load.shape {
	case waveShape:
		return 1 + s.day.rateAmplitude*math.Sin(2*math.Pi*(wavesPerDay*part+s.phase))
	case dailyShape:
		return 1 - s.day.rateAmplitude*math.Cos(2*math.Pi*part)
	}
	return 1
}

func (s *source) drawArrival() (a simulation.Arrival) {
	d, r := s.day, s.random
	a.Service = simulation.ServiceID(drawWeighted(r, len(d.services), func(i int) float64 { return d.services[i].Share }))
	service := d.services[a.Service]
	a.Customer, a.IsBeyondShare = s.drawCustomer()
	groups := d.groups[max(int(a.Customer), 0)]
	a.Group = groups.first + simulation.GroupID(groups.zipf.Draw(r))
	a.Locality = simulation.LocalityID(drawWeighted(r, len(d.localityWeight), func(i int) float64 { return d.localityWeight[i] }))
	a.Load = service.Load / d.connectionsPerCore * simulation.LogNormal(r, service.LoadSpread)
	seconds := service.Lifetime * d.lifetime.Seconds() * simulation.LogNormal(r, service.LifetimeSigma)
	a.Lifetime = time.Duration(seconds * float64(time.Second))
	return a
}

// drawCustomer draws a customer, weighted by demand, and whether the connection exceeds the customer's quota.
func (s *source) drawCustomer() (id simulation.CustomerID, isBeyondShare bool) {
	d := s.day
	if len(d.customers) == 0 {
		return -1, false
	}
	usage := func(i int) float64 { return d.customers[i].Share * d.customers[i].Usage }
	drawn := drawWeighted(s.random, len(d.customers), usage)
	sum := 0.0
	for i := range d.customers {
		sum += usage(i)
	}
	requested := usage(drawn) / sum * d.meanEstablished()
	return simulation.CustomerID(drawn), s.random.Float64() > d.customers[drawn].Quota/math.Max(requested, minRequested)
}

// drawWeighted draws an index below count with probability proportional to its weight.
func drawWeighted(r *rand.Rand, count int, weightOf func(int) float64) int {
	sum := 0.0
	for i := range count {
		sum += weightOf(i)
	}
	x := r.Float64() * sum
	for i := range count {
		if x -= weightOf(i); x < 0 {
			return i
		}
	}
	return count - 1
}
