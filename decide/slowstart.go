package decide

import (
	"cmp"
	"time"
)

// Slow start: the budget of attempts at a server that started recently.

const (
	budgetWindows     = 1.0 // number of windows whose budget may be saved
	maxBudgetDue      = 1e9 // bounds the attempts that are due, for their conversion to integers
	smallBudgetFactor = 3   // factor on budgetWindows as long as the saved budget does not exceed one attempt
)

// slowStart holds the slow-start settings and the other inputs of slow-start budgets.
type slowStart struct {
	SlowStart
	quotas     []float64 // of customers, in connections over all balancers
	handedOver bool      // another process now spends the budgets
}

// capacityShare returns the share of its full capacity that a server has now.
func (b *Balancer) capacityShare(server *serverState) float64 {
	return b.capacityShareAt(server, b.now)
}

func (b *Balancer) capacityShareAt(server *serverState, at time.Duration) float64 {
	settings := &b.slowStart
	if age := at - server.startedAt; server.startedAt != LongAgo && age < settings.WarmUp {
		return settings.InitialCapacity + (1-settings.InitialCapacity)*max(0, age.Seconds())/settings.WarmUp.Seconds()
	}
	return 1
}

// beginSlowStart starts a server's budget at the present time, with a random fraction of one attempt: the share of each
// balancer may be less than one attempt, and rounding up would overload the server. What was due before this balancer
// learned of the start is excluded: all balancers learn of the start at once, and a balancer that restarts would spend
// that budget again.
func (b *Balancer) beginSlowStart(server *serverState, startedAt time.Duration) {
	server.startedAt = startedAt
	server.budgetAt = b.now
	server.budgetSpent = 0
	server.budgetDue = b.random.uniform()
}

// slowStartBudget returns how many attempts were due to a warming server until now, and how many of them were spent or
// have expired. Per warm-up time, the budget grows by the flows that would overload the server at its present capacity
// share. Unspent budget expires soon, as a mass reconnect would otherwise spend it at once.
func (b *Balancer) slowStartBudget(server *serverState, view placementView) (due float64, spent int) {
	settings := &b.slowStart
	share := b.capacityShare(server)
	shareBefore := b.capacityShareAt(server, server.budgetAt)
	overloadFlows := settings.OverloadMultiple * b.capacityPerSize(view) * b.slowStartSize(server) // at full capacity
	// The share grows linearly, so that its integral over time is a difference of squares.
	due = min(server.budgetDue+overloadFlows*(share*share-shareBefore*shareBefore)/(2-2*settings.InitialCapacity), maxBudgetDue)
	perWindow := overloadFlows * share * settings.Window.Seconds() / settings.WarmUp.Seconds()
	savable := max(budgetWindows*perWindow, min(smallBudgetFactor*budgetWindows*perWindow, 1))
	return due, max(server.budgetSpent, int(due-savable))
}

// slowStartSize returns the size of a server at full capacity for its budget. Where the sizes of the list shrink, a server
// that has just started is still listed at its capacity, as it holds nothing, and others may have been. It counts as
// smaller than the mean if the largest sizes that were listed say so, but never as larger: the capacity of a server that
// was in use all the time is unknown.
func (b *Balancer) slowStartSize(server *serverState) float64 {
	if !b.placement.sizesShrink || server.largestSize <= 0 {
		return b.CapacitySize(server.size)
	}
	return min(1, server.largestSize/b.list.meanLargestSize)
}

// capacityPerSize returns this balancer's estimate of the flows that a unit of size can serve. With quotas it is derived
// from them, but is never less than half of the present mean of flows per unit of size, as flows differ in load.
// Without quotas it is that mean.
func (b *Balancer) capacityPerSize(view placementView) float64 {
	return max(view.meanWithFlow/2, cmp.Or(b.quotaPerSize(), view.meanWithFlow))
}

// quotaPerSize returns this balancer's share of the connections that a unit of size is meant to serve by the customers'
// quotas, or 0 without quotas. The present mean would be too low an estimate while the fleet is not fully utilized.
func (b *Balancer) quotaPerSize() float64 {
	sum := 0.0
	for _, quota := range b.slowStart.quotas {
		sum += quota
	}
	return sum / float64(b.slowStart.Balancers) / max(b.list.baselineSize, minSize)
}

// hasSlowStartBudget reports whether a server is warm or has budget left for one more attempt. During a hand-over only
// one of the two processes spends the budget.
func (b *Balancer) hasSlowStartBudget(server *serverState, view placementView) bool {
	if b.capacityShare(server) == 1 {
		return true
	}
	if b.slowStart.handedOver {
		return false
	}
	due, spent := b.slowStartBudget(server, view)
	return float64(spent+1) <= due
}

// spendBudget takes one attempt from a warming server's budget.
func (b *Balancer) spendBudget(server *serverState, view placementView) {
	due, spent := b.slowStartBudget(server, view)
	server.budgetDue = due
	server.budgetSpent = spent + 1
	server.budgetAt = b.now
}

// refundBudget returns a flow's last attempt, of which nothing was sent to the server, to the slow-start budget.
func (b *Balancer) refundBudget(f *flow) {
	server := f.server
	if f.inSlowStart && f.incarnation == server.incarnation {
		server.budgetSpent = max(0, server.budgetSpent-1)
	}
}

// SetHandedOver sets whether another process has taken over from a snapshot of this Balancer and spends the slow-start
// budgets of both. With false, that process has ended. As it is unknown what that process spent, all that was due
// counts as spent.
func (b *Balancer) SetHandedOver(handedOver bool) {
	b.slowStart.handedOver = handedOver
	if handedOver {
		return
	}
	for _, server := range b.list.all {
		server.budgetAt = b.now
		server.budgetDue = 0
		server.budgetSpent = 0
	}
}
