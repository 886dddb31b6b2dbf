package decide

import (
	"cmp"
	"time"
)

// Slow start: how many attempts a server that started recently may get.

const (
	budgetWindows     = 1.0 // windows whose budget may be saved
	smallBudgetFactor = 3   // times budgetWindows, where that is no more than one attempt
)

// slowStart is the rule on warming servers and what their budgets are computed from.
type slowStart struct {
	SlowStart
	quotas     []float64 // of customers, in connections over all balancers
	handedOver bool      // another process spends the budgets
}

// capacityShare is the share of its full capacity that a server has reached by now.
func (b *Balancer) capacityShare(server *serverState) float64 {
	return b.capacityShareAt(server, b.now)
}

func (b *Balancer) capacityShareAt(server *serverState, at time.Duration) float64 {
	rule := &b.slowStart
	if age := at - server.startedAt; server.startedAt != LongAgo && age < rule.WarmUp {
		return rule.InitialCapacity + (1-rule.InitialCapacity)*max(0, age.Seconds())/rule.WarmUp.Seconds()
	}
	return 1
}

// beginSlowStart starts a server's budget now, with a random part of one attempt: each balancer may be due less than one,
// and rounding up would overload the server. What was due before this balancer learned of the start is excluded: all
// balancers learn of it at once, and one that restarts would spend it again.
func (b *Balancer) beginSlowStart(server *serverState, startedAt time.Duration) {
	server.startedAt = startedAt
	server.budgetAt = b.now
	server.budgetSpent = 0
	server.budgetDue = b.random.uniform()
}

// slowStartBudget is how many attempts a warming server was due by now, and how many of them were spent or have
// expired. During the warm-up the budget grows by the flows that overload the server, in step with its capacity share.
// What is not spent expires soon, or a mass reconnect would spend it at once.
func (b *Balancer) slowStartBudget(server *serverState, view placementView) (due float64, spent int) {
	rule := &b.slowStart
	share := b.capacityShare(server)
	shareBefore := b.capacityShareAt(server, server.budgetAt)
	overload := rule.OverloadMultiple * b.capacityPerSize(view) * b.size(server) / share
	// The share grows linearly, so that its integral over time is a difference of squares.
	due = server.budgetDue + overload*(share*share-shareBefore*shareBefore)/(2-2*rule.InitialCapacity)
	perWindow := overload * share * rule.Window.Seconds() / rule.WarmUp.Seconds()
	savable := max(budgetWindows*perWindow, min(smallBudgetFactor*budgetWindows*perWindow, 1))
	return due, max(server.budgetSpent, int(due-savable))
}

// capacityPerSize is the flows of this balancer that fill a unit of size. The mean stands for it where there are no
// quotas; where there are, half of the mean does if it is more, as flows weigh unevenly.
func (b *Balancer) capacityPerSize(view placementView) float64 {
	return max(view.meanWithFlow/2, cmp.Or(b.quotaPerSize(), view.meanWithFlow))
}

// quotaPerSize is this balancer's part of the connections that a unit of size is meant to bear, by the customers'
// quotas; 0: there are none. The mean would be too low where the fleet is not fully used.
func (b *Balancer) quotaPerSize() float64 {
	sum := 0.0
	for _, quota := range b.slowStart.quotas {
		sum += quota
	}
	return sum / float64(b.slowStart.Balancers) / max(b.list.baselineSize, minSize)
}

// hasSlowStartBudget reports whether a server may get one more attempt: any number once it is warm, else what is left of
// its budget, which only one of two processes spends during a handover.
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

// refundBudget gives back what a flow took of a slow-start budget if nothing of it reached the server.
func (b *Balancer) refundBudget(f *flow) {
	server := f.server
	if f.inSlowStart && f.incarnation == server.incarnation {
		server.budgetSpent = max(0, server.budgetSpent-1)
	}
}

// SetHandedOver says that another instance continues from a snapshot of this one and spends the slow-start budgets of
// both, or that it has ended. What it spent is then unknown: all that was due counts as spent.
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
