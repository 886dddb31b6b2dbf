package scale

import (
	"testing"

	"yardwinch/decide"
)

// The page states how many connection setups one balancer may have in flight. The decisions must allow as many.
func TestSetupLimitMatchesDecide(t *testing.T) {
	for _, balancers := range []int{1, 48, int(fleetBalancers)} {
		balancer := newSimulatedBalancer(1, simulatedSettings{peers: balancers})
		balancer.updateList(decide.DeltaUpdate, warmServers(100, 5))
		balancer.advance(settlingPeriod)
		for i := range 100 {
			balancer.decider.OnFlow(decide.FlowRequest{ID: flowName(i), Customer: -1, Group: groupName(i), Timeout: connectTimeout})
		}
		want := max(1, fleetSetupLimit/balancers)
		if got := len(balancer.connecting); got != want {
			t.Errorf("%d balancers: %d setups in flight, want %d", balancers, got, want)
		}
	}
	if got := setupLimit(); got != 1 {
		t.Errorf("the page states %v setups in flight, want 1", got)
	}
}
