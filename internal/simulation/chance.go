package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// RandomSource is a stream of its own for each thing that draws: what one draws more must not shift what others draw, or
// two policies would not be compared on the same day.
func RandomSource(seed uint64, what string, i int) *rand.Rand {
	h := uint64(14695981039346656037)
	for k := range len(what) {
		h = (h ^ uint64(what[k])) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h^uint64(i)*0x9e3779b97f4a7c15))
}

// Uniform is uniform from lo to hi.
func Uniform(r *rand.Rand, lo, hi float64) float64 { return lo + (hi-lo)*r.Float64() }

// UniformDuration is uniform from lo to hi.
func UniformDuration(r *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(float64(hi-lo)*r.Float64())
}

// LogNormal is log-normal with mean 1.
func LogNormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

// Zipf is one of n things, the first the likeliest, by 1/(i+1)^s. The sums are worked out once.
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
	x := r.Float64() * sums[len(sums)-1]
	lo, hi := 0, len(sums)-1
	for lo < hi {
		if mid := (lo + hi) / 2; sums[mid] > x {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}
