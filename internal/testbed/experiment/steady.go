package experiment

import (
	"math/rand/v2"
	"time"

	"yardwinch/internal/simulation"
)

// SteadyConfig describes a load that needs no fleet.
type SteadyConfig struct {
	Seed          uint64
	Rate          float64       // of arrivals, a second
	Lifetime      time.Duration // of a connection, on average
	LifetimeSigma float64
	Groups        int
	Localities    int
}

// Steady is a source of arrivals at a steady rate, whatever becomes of them.
type Steady struct {
	config SteadyConfig
	random *rand.Rand
	at     float64 // of the last arrival, seconds
	groups simulation.Zipf
}

// NewSteady makes a source.
func NewSteady(c SteadyConfig) *Steady {
	return &Steady{
		config: c,
		random: simulation.RandomSource(c.Seed, "steady", 0),
		groups: simulation.NewZipf(max(c.Groups, 1), steadyGroupZipf),
	}
}

// Next draws the next arrival. There is always one: the day ends, not the source.
func (s *Steady) Next() (simulation.Arrival, bool) {
	s.at += s.random.ExpFloat64() / s.config.Rate
	arrival := simulation.Arrival{At: time.Duration(s.at * float64(time.Second)), Customer: -1, Load: 1}
	arrival.Group = simulation.GroupID(s.groups.Draw(s.random))
	arrival.Locality = simulation.LocalityID(s.random.IntN(s.config.Localities))
	arrival.Lifetime = time.Duration(float64(s.config.Lifetime) * simulation.LogNormal(s.random, s.config.LifetimeSigma))
	return arrival, true
}
