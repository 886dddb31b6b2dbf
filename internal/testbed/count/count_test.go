package count

import (
	"math"
	"testing"
	"time"

	"yardwinch/internal/simulation"
)

func TestCount(t *testing.T) {
	accounting := simulation.NewAccounting(40*time.Second, 2, 2, 2, 0.5)
	accounting.AddRequested(simulation.Account{}, 0, 40*time.Second, 1)
	accounting.AddRequested(simulation.Account{Service: 1, Customer: 1}, 0, 40*time.Second, 3)
	accounting.AddRequested(simulation.Account{Customer: 1, IsBeyondShare: true}, 0, 40*time.Second, 2) // weighs half
	accounting.AddServed(simulation.Account{}, 0, 40*time.Second, 1)
	accounting.AddServed(simulation.Account{Service: 1, Customer: 1}, 5*time.Second, 25*time.Second, 3)
	accounting.AddServed(simulation.Account{Customer: 1, IsBeyondShare: true}, 0, 20*time.Second, 2)
	var r Result
	r.Crossings = 5
	totals := &simulation.Totals{
		Clients:       10,
		Setups:        []time.Duration{10 * time.Millisecond, 30 * time.Millisecond},
		EstablishedAt: []time.Duration{0, time.Second},
	}
	r.Count(accounting, totals, 2, 2, Weights{ServedShare: 0.5, WorstWindow: 0.5, Crossing: 0.1})
	for _, test := range []struct {
		name      string
		got, want float64
	}{
		{"whole day", r.ServedShare, (40 + 60 + 20) / 200.},
		{"worst 10 s", r.WorstWindow, 10 / 50.},
		{"start of the worst 10 s", r.WorstWindowStart, 25},
		{"worst customer", r.WorstCustomer, 0.5},
		{"worst service type", r.WorstServiceType, 0.5},
		{"service", r.Service, 0.5*0.6 + 0.5*0.2 - 0.05},
		{"p50", r.SetupTimes.P50, 10},
		{"longest setup", r.SetupTimes.Max, 30},
		{"second 26", r.BySecond[26], 0.2},
	} {
		t.Run(test.name, func(t *testing.T) {
			if math.Abs(test.got-test.want) > 0.01 {
				t.Errorf("got %.4f, want %.4f", test.got, test.want)
			}
		})
	}
}

func TestPairedDifference(t *testing.T) {
	mean, half := PairedDifference([]float64{0.9, 0.8, 0.7, 0.95, 0.85}, []float64{0.8, 0.75, 0.68, 0.85, 0.7})
	// Differences 0.10 0.05 0.02 0.10 0.15: mean 0.084, deviation 0.0503, t(4) 2.776.
	if math.Abs(mean-0.084) > 1e-9 || math.Abs(half-2.776*0.05030/math.Sqrt(5)) > 0.002 {
		t.Errorf("difference %.4f ± %.4f, want 0.0840 ± 0.0624", mean, half)
	}
	if _, half := PairedDifference([]float64{1}, []float64{0}); !math.IsInf(half, 1) {
		t.Errorf("half width %v for one pair, want infinity", half)
	}
	if q := studentQuantile(2); math.Abs(q-4.303) > 0.01 {
		t.Errorf("studentQuantile(2) = %v, want 4.303", q)
	}
	if q := studentQuantile(10); math.Abs(q-2.228) > 0.01 {
		t.Errorf("studentQuantile(10) = %v, want 2.228", q)
	}
}
