package scale

import (
	"testing"

	"yardwinch/decide"
)

// The document states how many connection setups one balancer may have in flight; the real decisions allow as many.
func TestSetupLimitMatchesDecide(t *testing.T) {
	for _, balancers := range []int{1, 48, int(fleetBalancers)} {
		h := newSimulatedBalancer(1, simulatedSettings{peers: balancers})
		h.updateList(decide.DeltaUpdate, warmServers(100, 5))
		h.advance(settlingPeriod)
		for i := range 100 {
			h.decider.OnFlow(decide.FlowRequest{ID: flowName(i), Customer: -1, Group: groupName(i), Timeout: connectTimeout})
		}
		want := max(1, fleetSetupLimit/balancers)
		if got := len(h.connecting); got != want {
			t.Errorf("%d balancers: %d setups in flight, want %d", balancers, got, want)
		}
	}
	if got := setupLimit(); got != 1 {
		t.Errorf("the page has %v in flight", got)
	}
}
