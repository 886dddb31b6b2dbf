package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	golden    = 0x9e3779b97f4a7c15 // spreads numbers over all bits
)

// RandomSource is a stream of its own for each thing that draws, by its name and number: what one draws more must not shift what others
// draw, or two policies would not be compared on the same day.
func RandomSource(seed uint64, name string, number int) *rand.Rand {
	hash := uint64(fnvOffset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	return rand.New(rand.NewPCG(seed, hash^uint64(number)*golden))
}

// Uniform draws evenly from lo to hi.
func Uniform(r *rand.Rand, lo, hi float64) float64 { return lo + (hi-lo)*r.Float64() }

// UniformDuration draws evenly from lo to hi.
func UniformDuration(r *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(float64(hi-lo)*r.Float64())
}

// Interval is the least and the greatest of times that are drawn evenly.
type Interval struct{ Min, Max time.Duration }

// Draw draws a time of the interval.
func (i Interval) Draw(r *rand.Rand) time.Duration { return UniformDuration(r, i.Min, i.Max) }

// LogNormal draws from a log-normal distribution with mean 1.
func LogNormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

// Zipf draws one of n things, the first the likeliest, by 1/(i+1)^s. The sums are worked out once.
type Zipf struct{ sums []float64 }

// NewZipf makes one of n things with the exponent s.
func NewZipf(n int, s float64) Zipf {
	z := Zipf{make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -s)
		z.sums[i] = sum
	}
	return z
}

// Draw draws the index of one.
func (z Zipf) Draw(r *rand.Rand) int { return pickWeighted(r, z.sums) }

// pickWeighted draws an index by running sums of weights.
func pickWeighted(r *rand.Rand, sums []float64) int {
	last := len(sums) - 1
	x := r.Float64() * sums[last]
	return sort.Search(last, func(i int) bool { return sums[i] > x })
}
