package spread

import (
	"reflect"
	"testing"
	"time"
)

func TestAWordSpreads(t *testing.T) {
	play := func(r Run) *Result {
		t.Helper()
		r.From, r.Length, r.Share, r.Way.Delay = 10*time.Second, 18*time.Second, 0.1, 2*time.Millisecond
		res, err := Play(r)
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	small, large := play(Run{Members: 20, Seed: 1}), play(Run{Members: 200, Seed: 1})
	for _, r := range []*Result{small, large} {
		if r.Most < 0 || r.Most > 5*time.Second || r.FalseDear > 0 {
			t.Errorf("%d members: 99 in 100 know after %v, %d before it began", r.Members, r.Most, r.FalseDear)
		}
	}
	if large.Quiet > 3*small.Quiet {
		t.Errorf("ten times the members cost %.0f bytes a second each, before %.0f", large.Quiet, small.Quiet)
	}
	if again := play(Run{Members: 20, Seed: 1}); !reflect.DeepEqual(small, again) {
		t.Error("one seed gives two runs")
	}
	lossy := play(Run{Members: 50, Seed: 1, Way: Way{Loss: 0.3, Jitter: 500 * time.Millisecond}})
	if lossy.Most < 0 || lossy.Most > 6*time.Second {
		t.Errorf("with 30 %% loss: %v", lossy.Most)
	}
}
