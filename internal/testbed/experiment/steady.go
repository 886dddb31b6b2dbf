package experiment

import (
	"math/rand/v2"
	"time"

	"yardwinch/internal/simulation"
)

// Steady is a source of load that needs no fleet: so many arrivals a second, at random, whatever becomes of them.
type Steady struct {
	r      *rand.Rand
	at     float64
	rate   float64
	life   time.Duration
	sigma  float64
	groups simulation.Zipf
	halls  int
}

// NewSteady draws arrivals at a rate a second, of clients that want their connection for life on average.
func NewSteady(seed uint64, rate float64, life time.Duration, sigma float64, groups, halls int) *Steady {
	return &Steady{r: simulation.RandomSource(seed, "steady", 0), rate: rate, life: life, sigma: sigma, groups: simulation.NewZipf(max(groups, 1), 0.8), halls: halls}
}

// Next never ends; the day does.
func (s *Steady) Next() (simulation.Arrival, bool) {
	s.at += s.r.ExpFloat64() / s.rate
	return simulation.Arrival{At: time.Duration(s.at * float64(time.Second)), Customer: -1, Group: simulation.GroupID(s.groups.Draw(s.r)),
		Locality: simulation.LocalityID(s.r.IntN(s.halls)), Load: 1,
		Lifetime: time.Duration(float64(s.life) * simulation.LogNormal(s.r, s.sigma))}, true
}
