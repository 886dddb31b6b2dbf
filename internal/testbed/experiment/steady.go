package experiment

import (
	"math/rand/v2"
	"time"

	"yardwinch/internal/simulation"
)

// SteadyConfig configures a steady load, which does not depend on a fleet.
type SteadyConfig struct {
	Seed          uint64
	Rate          float64       // arrivals per second
	Lifetime      time.Duration // mean lifetime of a connection
	LifetimeSigma float64
	Groups        int
	Localities    int
}

// SteadySource is a Poisson process of arrivals at a constant rate, independent of their outcome (open loop).
type SteadySource struct {
	config SteadyConfig
	random *rand.Rand
	at     float64 // time of the last arrival, in seconds
	groups simulation.Zipf
}

// NewSteadySource returns a source with the given configuration.
func NewSteadySource(c SteadyConfig) *SteadySource {
	return &SteadySource{
		config: c,
		random: simulation.RandomSource(c.Seed, "steady", 0),
		groups: simulation.NewZipf(max(c.Groups, 1), steadyGroupZipf),
	}
}

// Next draws the next arrival. The source never ends; the caller stops at the end of the day.
func (s *SteadySource) Next() (simulation.Arrival, bool) {
	s.at += s.random.ExpFloat64() / s.config.Rate
	arrival := simulation.Arrival{At: time.Duration(s.at * float64(time.Second)), Customer: -1, Load: 1}
	arrival.Group = simulation.GroupID(s.groups.Draw(s.random))
	arrival.Locality = simulation.LocalityID(s.random.IntN(s.config.Localities))
	arrival.Lifetime = time.Duration(float64(s.config.Lifetime) * simulation.LogNormal(s.random, s.config.LifetimeSigma))
	return arrival, true
}
