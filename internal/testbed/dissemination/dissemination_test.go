package dissemination

import (
	"reflect"
	"testing"
	"time"
)

func TestReportReachesAllMembers(t *testing.T) {
	simulate := func(c Config) *Result {
		t.Helper()
		c.FaultAt, c.Duration, c.ObserverShare, c.Network.Delay = 10*time.Second, 18*time.Second, 0.1, 2*time.Millisecond
		result, err := Simulate(c)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	small, large := simulate(Config{Members: 20, Seed: 1}), simulate(Config{Members: 200, Seed: 1})
	for _, r := range []*Result{small, large} {
		if r.TimeToMost < 0 || r.TimeToMost > 5*time.Second || r.FalsePenalties > 0 {
			t.Errorf("%d members: 99 in 100 are informed after %v (below 0: never), with %d false penalties; want at most 5s and none",
				r.Members, r.TimeToMost, r.FalsePenalties)
		}
	}
	if large.QuietBytes > 3*small.QuietBytes {
		t.Errorf("200 members send %.0f bytes a second each before the fault, 20 members %.0f; want at most three times as many",
			large.QuietBytes, small.QuietBytes)
	}
	if repeated := simulate(Config{Members: 20, Seed: 1}); !reflect.DeepEqual(small, repeated) {
		t.Error("two runs with the same seed have different results")
	}
	lossy := simulate(Config{Members: 50, Seed: 1, Network: Network{Loss: 0.3, Jitter: 500 * time.Millisecond}})
	if lossy.TimeToMost < 0 || lossy.TimeToMost > 6*time.Second {
		t.Errorf("with 30 %% loss 99 in 100 members are informed after %v (below 0: never), want at most 6s", lossy.TimeToMost)
	}
}
