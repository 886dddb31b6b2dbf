package decide

import (
	"math"
	"time"
)

// How many attempts may be out, and which flows wait in the admission queue or are shed.

const (
	fleetSetupLimit   = 48.0                    // attempts out at once while set-ups succeed, over all balancers
	minSetupSpacing   = 8 * time.Millisecond    // between attempts while set-ups fail, over all balancers
	maxSetupSpacing   = 16 * time.Second        // between attempts while set-ups fail
	maxConnectBackoff = 3500 * time.Millisecond // without any attempt, each of which could show a recovery

	// Forced attempts keep a balancer from rejecting for 4 s on end.
	forcedAttemptAfter      = 3 * time.Second // since the last attempt
	forcedAttemptRejections = 8               // since the last attempt

	sharedFailureShare  = 0.5 // of recent set-ups
	sharedFailureSample = 3   // recent set-ups needed to infer a shared failure

	significantDeviations = 2 // standard deviations of a sample that are put down to chance
)

// admission is the concurrency limit on attempts, with additive increase and multiplicative decrease, and its queue.
type admission struct {
	concurrencyLimit float64
	queue            []*flow       // waiting, oldest first
	spacing          time.Duration // between attempts once the limit is 1
	backoffUntil     time.Duration
	decreasedAt      time.Duration
	recentSetups     []sample // over all servers
	lastConnectAt    time.Duration
	rejectedSince    int // flows without any attempt that were rejected since lastConnectAt
}

// forcedAttemptDue reports whether the next flow is to be attempted although no server looks fit for it. Where it may
// run is restricted as always.
func (b *Balancer) forcedAttemptDue() bool {
	return b.admission.rejectedSince >= forcedAttemptRejections && b.now >= b.admission.lastConnectAt+forcedAttemptAfter
}

// mayConnect reports whether the concurrency limit allows one more attempt.
func (b *Balancer) mayConnect() bool {
	return b.now >= b.admission.backoffUntil && float64(len(b.flows.connecting)) < b.admission.concurrencyLimit
}

// queueDeadline is when a flow that is still in the admission queue is answered.
func (b *Balancer) queueDeadline(f *flow) time.Duration {
	return min(f.deadline, f.arrivedAt+b.services[f.service].SetupTarget)
}

func (b *Balancer) enqueue(f *flow) {
	b.admission.queue = append(b.admission.queue, f)
	b.actions.SetTimer(queueTimer, b.queueDeadline(f)-b.now)
}

// serveQueue places flows from the admission queue while attempts are allowed, and answers those past their deadline.
func (b *Balancer) serveQueue() {
	queue := b.admission.queue
	b.admission.queue = nil
	for _, f := range queue {
		if f.state != waiting {
			continue
		}
		if b.mayConnect() || b.forcedAttemptDue() || b.now >= b.queueDeadline(f) {
			b.place(f)
		} else {
			b.admission.queue = append(b.admission.queue, f)
		}
	}
}

// increaseConcurrency lets one more attempt be out after a set-up in time.
func (b *Balancer) increaseConcurrency() {
	b.admission.concurrencyLimit = min(b.admission.concurrencyLimit+1, b.maxConcurrency())
	b.admission.spacing /= 2
}

// recordSetup records the end of a set-up for sharedFailure.
func (b *Balancer) recordSetup(server *serverState, failed bool) {
	b.admission.recentSetups = appendWindow(b.admission.recentSetups, sample{server, b.now, failed}, sampleWindow)
}

// sharedFailure reports whether half of the recent set-ups failed, and at more than half of the observed servers.
func (b *Balancer) sharedFailure() bool {
	share, n := failedShare(b.admission.recentSetups, b.now-outcomeMaxAge)
	return n >= sharedFailureSample && share >= sharedFailureShare && b.medianFailures() > 0
}

// maxConcurrency is this balancer's part of fleetSetupLimit: when all clients reconnect, all balancers connect at
// once to what all set-ups share.
func (b *Balancer) maxConcurrency() float64 {
	return max(1, fleetSetupLimit/float64(b.slowStart.Balancers))
}

// decreaseConcurrency halves the attempts that may be out, and spaces them once only one may be, against a collapse of
// what all set-ups share.
func (b *Balancer) decreaseConcurrency() {
	a := &b.admission
	if b.now < a.decreasedAt+min(median(b.health.setupTimes), tickInterval) {
		return
	}
	a.decreasedAt = b.now
	a.concurrencyLimit = max(1, a.concurrencyLimit/2)
	if a.concurrencyLimit != 1 {
		return
	}
	a.spacing = min(max(2*a.spacing, minSetupSpacing*time.Duration(b.slowStart.Balancers)), maxSetupSpacing)
	shortest := min(a.spacing/2, maxConnectBackoff*3/4)
	longest := min(a.spacing*3/2, maxConnectBackoff)
	a.backoffUntil = b.now + shortest + time.Duration(b.random.uniform()*float64(longest-shortest))
	b.actions.SetTimer(queueTimer, a.backoffUntil-b.now)
}

// isOverQuota reports whether capacity is scarce and the flow's customer has used this balancer's part of its quota.
// Admitted in a mass reconnect, such flows would spend at once what warming servers have saved of their budgets.
func (b *Balancer) isOverQuota(f *flow) bool {
	customer := int(f.customer)
	if customer < 0 || customer >= len(b.slowStart.quotas) || b.slowStart.quotas[customer] == 0 || !b.isCapacityScarce() {
		return false
	}
	balancers := float64(b.slowStart.Balancers)
	ownQuota := b.slowStart.quotas[customer] / balancers
	return float64(b.customerFlows[f.customer]) >= ownQuota+significantDeviations*math.Sqrt(ownQuota*(1-1/balancers))
}
