package count

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxHistogramTime  = time.Hour // upper limit of histograms; longer than any connect timeout
	significantDigits = 3         // of a histogram
)

// PerSecond counts times by second. Times outside [0, seconds) are left out.
func PerSecond(times []time.Duration, seconds int) []int {
	counts := make([]int, seconds)
	for _, t := range times {
		if second := int(t / time.Second); second >= 0 && second < seconds {
			counts[second]++
		}
	}
	return counts
}

// quantiles returns quantiles in milliseconds, 0 if there are no times.
func quantiles(times []time.Duration) Quantiles {
	const microsecondsPerMillisecond = 1000
	if len(times) == 0 {
		return Quantiles{}
	}
	histogram := hdrhistogram.New(1, maxHistogramTime.Microseconds(), significantDigits)
	for _, t := range times {
		_ = histogram.RecordValue(max(1, t.Microseconds())) // fails for a time over the limit, which is left out
	}
	at := func(percent float64) float64 {
		return float64(histogram.ValueAtQuantile(percent)) / microsecondsPerMillisecond
	}
	longest := float64(slices.Max(times).Microseconds()) / microsecondsPerMillisecond
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), Max: longest}
}

// PairedDifference returns the mean difference of a's and b's figures over the same seeds, and half the width of its 95 % confidence interval.
func PairedDifference(a, b []float64) (mean, halfWidth float64) {
	n := float64(len(a))
	if n == 0 {
		return 0, 0
	}
	for i := range a {
		mean += (a[i] - b[i]) / n
	}
	if n < 2 {
		return mean, math.Inf(1)
	}
	squares := 0.0
	for i := range a {
		deviation := a[i] - b[i] - mean
		squares += deviation * deviation
	}
	return mean, studentQuantile(len(a)-1) * math.Sqrt(squares/(n-1)/n)
}

// studentQuantile returns the 97.5 % quantile of Student's t-distribution, by the Cornish-Fisher expansion around the normal quantile. For one
// and two degrees of freedom, where the expansion is too inaccurate, it returns tabulated values.
func studentQuantile(degreesOfFreedom int) float64 {
	if exact := [...]float64{0, 12.706, 4.303}; degreesOfFreedom < len(exact) {
		return exact[degreesOfFreedom]
	}
	z, v := 1.959964, float64(degreesOfFreedom)
	z3, z5, z7 := z*z*z, math.Pow(z, 5), math.Pow(z, 7)
	return z + (z3+z)/(4*v) + (5*z5+16*z3+3*z)/(96*v*v) + (3*z7+19*z5+17*z3-15*z)/(384*v*v*v)
}

// Mean returns the mean figures of a policy over its days, and the number of days. Counts of events are sums.
func Mean(results []*Result, policy string) (m Result, days int) {
	m.Policy = policy
	for _, r := range results {
		if r.Policy != policy {
			continue
		}
		days++
		m.Service += r.Service
		m.ServedShare += r.ServedShare
		m.WorstWindow += r.WorstWindow
		m.WorstCustomer += r.WorstCustomer
		m.SetupTimes.P50 += r.SetupTimes.P50
		m.SetupTimes.P99 += r.SetupTimes.P99
		m.Connects += r.Connects
		m.Clients += r.Clients
		m.Migrations += r.Migrations
		m.Rejected += r.Rejected
		m.ViolationCount += r.ViolationCount
	}
	n := float64(max(days, 1))
	for _, sum := range []*float64{&m.Service, &m.ServedShare, &m.WorstWindow, &m.WorstCustomer, &m.SetupTimes.P50, &m.SetupTimes.P99} {
		*sum /= n
	}
	return m, days
}
