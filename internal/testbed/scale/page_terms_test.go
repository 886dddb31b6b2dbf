package scale

import (
	"testing"

	"yardwinch/decide"
)

// The page says how many set-ups one balancer may have out in the fleet; the real decisions let out as many.
func TestSetupsOutAsTheDecisionsHaveThem(t *testing.T) {
	for _, balancers := range []int{1, 48, int(fleetBalancers)} {
		h := newHollow(1, terms{peers: balancers})
		h.list(0, warmServers(100, 5))
		h.advance(beginning)
		for i := range 100 {
			h.module.OnFlow(decide.FlowRequest{ID: flowName(i), Customer: -1, Group: groupName(i), Timeout: connectTimeout})
		}
		want := max(1, allSetupsOut/balancers)
		if got := len(h.requested); got != want {
			t.Errorf("%d balancers: %d set-ups out at once, want %d", balancers, got, want)
		}
	}
	if got := setupsOut(); got != 1 {
		t.Errorf("the page has %v out at once", got)
	}
}
