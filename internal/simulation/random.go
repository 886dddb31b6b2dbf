package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	fnvOffset     = 14695981039346656037
	fnvPrime      = 1099511628211
	goldenRatio64 = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio; a multiplier that spreads small numbers over all bits
)

// RandomSource returns an independent random stream for the given name and number. Each part of the model has its own, so that additional
// draws of one part don't change the draws of others; otherwise two policies would not be compared on the same day.
func RandomSource(seed uint64, name string, number int) *rand.Rand {
	hash := uint64(fnvOffset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	return rand.New(rand.NewPCG(seed, hash^uint64(number)*goldenRatio64))
}

// Uniform draws from the uniform distribution over lo to hi.
func Uniform(r *rand.Rand, lo, hi float64) float64 { return lo + (hi-lo)*r.Float64() }

// UniformDuration draws from the uniform distribution over lo to hi.
func UniformDuration(r *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(float64(hi-lo)*r.Float64())
}

// Interval is a range of durations.
type Interval struct{ Min, Max time.Duration }

// Draw draws from the uniform distribution over the interval.
func (i Interval) Draw(r *rand.Rand) time.Duration { return UniformDuration(r, i.Min, i.Max) }

// LogNormal draws from a log-normal distribution with mean 1.
func LogNormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

// Zipf is a Zipf distribution over the indices 0 to n-1: index i has a weight of 1/(i+1)^s. It keeps the running sums of the weights.
type Zipf struct{ sums []float64 }

// NewZipf returns a Zipf distribution over n indices with the exponent s.
func NewZipf(n int, s float64) Zipf {
	z := Zipf{make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -s)
		z.sums[i] = sum
	}
	return z
}

// Draw draws an index.
func (z Zipf) Draw(r *rand.Rand) int { return pickWeighted(r, z.sums) }

// pickWeighted draws an index with probabilities proportional to weights, which are given as running sums.
func pickWeighted(r *rand.Rand, sums []float64) int {
	last := len(sums) - 1
	x := r.Float64() * sums[last]
	return sort.Search(last, func(i int) bool { return sums[i] > x })
}
