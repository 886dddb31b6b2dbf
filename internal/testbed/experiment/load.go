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
	groupShare      = 0.25 // of its group's load, that a connection brings on average, as a group has several
	leastRequest    = 1e-9 // in place of no requested connections
	steadyGroupZipf = 0.8
)

// establishedAtOnce is how many connections the load stands for. A group's load takes its part of the capacity.
func (d *Day) establishedAtOnce() float64 {
	loadOfConnection := 1 + d.Experiment.fleet.groupLoad.lo*groupShare
	load, shares := 0.0, 0.0
	for _, s := range d.services {
		load += s.Share * s.Load * s.Lifetime
		shares += s.Share * s.Lifetime
	}
	return d.loadShare * d.capacity * d.perCore / (loadOfConnection * load / shares)
}

// meanLifetime of a connection, in seconds.
func (d *Day) meanLifetime() float64 {
	lifetime, shares := 0.0, 0.0
	for _, s := range d.services {
		lifetime += s.Share * s.Lifetime
		shares += s.Share
	}
	return d.lifetime.Seconds() * lifetime / shares
}

// arrivalRate is the usual rate of arrivals, a second.
func (d *Day) arrivalRate() float64 { return d.establishedAtOnce() / d.meanLifetime() }

// Source draws the load: who is connected when the day begins, and then arrivals by thinning at the highest rate.
func (d *Day) Source() simulation.ArrivalSource {
	established := d.establishedAtOnce()
	if simulation.ArrivalRate(d.Faults, 0) > 1 {
		for _, f := range d.Faults { // an overload holds from the first second on, for all that is established
			if f.Kind == simulation.Overload && f.Start == 0 {
				established *= f.Strength
			}
		}
	}
	r := simulation.RandomSource(d.Seed, "load", 0)
	return &source{day: d, random: r, established: int(established), maxRate: d.maxRate(), phase: r.Float64()}
}

// maxRate bounds the rate of arrivals from above, times the usual.
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
	established int     // that are still to come
	at          float64 // of the last candidate, seconds
	maxRate     float64
	phase       float64 // of a wave
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
		if s.random.Float64()*s.maxRate < simulation.ArrivalRate(d.Faults, at)*s.curve(at) {
			arrival := s.drawArrival()
			arrival.At = at
			return arrival, true
		}
	}
}

// drawEstablished draws a client that is connected when the day begins. Such a one is the likelier to have a long lifetime, and is
// somewhere within it.
func (s *source) drawEstablished() simulation.Arrival {
	arrival := s.drawArrival()
	sigma := s.day.lifetimeSigma
	arrival.Lifetime = time.Duration(float64(arrival.Lifetime) * math.Exp(sigma*sigma) * s.random.Float64())
	arrival.IsEstablished = true
	return arrival
}

// curve is the shape of the load over the day, 1 on average.
func (s *source) curve(at time.Duration) float64 {
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
	a.Load = service.Load / d.perCore * simulation.LogNormal(r, service.LoadSpread)
	seconds := service.Lifetime * d.lifetime.Seconds() * simulation.LogNormal(r, service.LifetimeSigma)
	a.Lifetime = time.Duration(seconds * float64(time.Second))
	return a
}

// drawCustomer draws a customer by what each asks for, and whether the connection is beyond its quota.
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
	requested := usage(drawn) / sum * d.establishedAtOnce()
	return simulation.CustomerID(drawn), s.random.Float64() > d.customers[drawn].Quota/math.Max(requested, leastRequest)
}

// drawWeighted draws an index by weights.
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
