package decide

import (
	"math"
	"time"
)

// Admission: the limit on concurrent attempts, the queue of flows that wait for one, and load shedding by quota.

const (
	fleetSetupLimit   = 48.0                    // concurrent attempts while set-ups succeed, over all balancers
	minSetupSpacing   = 8 * time.Millisecond    // minimum time between attempts while set-ups fail, over all balancers
	maxSetupSpacing   = 16 * time.Second        // limit of the spacing; a larger one would only take longer to decrease
	maxConnectBackoff = 3500 * time.Millisecond // longest backoff, as each attempt may detect a recovery

	// Forced attempts ensure that a balancer never rejects all flows for 4 s.
	forcedAttemptAfter      = 3 * time.Second // time since the last attempt
	forcedAttemptRejections = 8               // flows rejected since the last attempt

	sharedFailureShare  = 0.5 // share of recent set-ups that must have failed to infer a shared failure
	sharedFailureSample = 3   // recent set-ups required to infer a shared failure

	significantDeviations = 2 // standard deviations of a sample up to which a difference counts as random variation
)

// admission limits the number of concurrent attempts, by additive increase and multiplicative decrease, and queues the
// flows above the limit.
type admission struct {
	concurrencyLimit float64
	queue            []*flow       // oldest first
	spacing          time.Duration // from which the backoff is drawn while the limit is 1
	backoffUntil     time.Duration // no attempt but a forced one is made before this time
	decreasedAt      time.Duration // the last decrease of the limit
	recentSetups     []sample      // at any server
	lastConnectAt    time.Duration
	rejectedSince    int // flows without any attempt that were rejected since lastConnectAt
}

// forcedAttemptDue reports whether the next flow is attempted even if no server is suitable by its health and load. The
// restrictions on where a flow may run still apply.
func (b *Balancer) forcedAttemptDue() bool {
	return b.admission.rejectedSince >= forcedAttemptRejections && b.now >= b.admission.lastConnectAt+forcedAttemptAfter
}

// mayConnect reports whether no backoff is in progress and the concurrency limit allows one more attempt.
func (b *Balancer) mayConnect() bool {
	return b.now >= b.admission.backoffUntil && float64(len(b.flows.connecting)) < b.admission.concurrencyLimit
}

// queueDeadline returns when a flow that is still in the admission queue gets its final answer.
func (b *Balancer) queueDeadline(f *flow) time.Duration {
	return min(f.deadline, f.arrivedAt+b.services[f.service].SetupTarget)
}

func (b *Balancer) enqueue(f *flow) {
	b.admission.queue = append(b.admission.queue, f)
	b.actions.SetTimer(queueTimer, b.queueDeadline(f)-b.now)
}

// serveQueue places queued flows while attempts are allowed, and gives the final answer to those past their deadline.
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

// increaseConcurrency raises the concurrency limit by 1 and halves the spacing, after a set-up within its target.
func (b *Balancer) increaseConcurrency() {
	b.admission.concurrencyLimit = min(b.admission.concurrencyLimit+1, b.maxConcurrency())
	b.admission.spacing /= 2
}

// recordSetup records the result of a set-up for sharedFailure.
func (b *Balancer) recordSetup(failed bool) {
	b.admission.recentSetups = appendWindow(b.admission.recentSetups, sample{b.now, failed}, sampleWindow)
}

// sharedFailure reports whether at least half of the recent set-ups failed and at least half of the observed servers had
// failures. The cause is then probably one that all servers share.
func (b *Balancer) sharedFailure() bool {
	share, n := failureRate(b.admission.recentSetups, b.now-outcomeMaxAge)
	return n >= sharedFailureSample && share >= sharedFailureShare && b.medianFailureRate() > 0
}

// maxConcurrency returns this balancer's share of fleetSetupLimit. That limit holds over all balancers because, in a mass
// reconnect, all of them load the resource that all set-ups share.
func (b *Balancer) maxConcurrency() float64 {
	return max(1, fleetSetupLimit/float64(b.slowStart.Balancers))
}

// decreaseConcurrency halves the concurrency limit, to prevent the collapse of a resource that all set-ups share. Once the
// limit is 1, it doubles the spacing and draws a backoff of 0.5 to 1.5 times the spacing, up to maxConnectBackoff.
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

// isOverQuota reports whether capacity is scarce and the flow's customer has used this balancer's share of its quota, plus
// an allowance for random variation. If such flows were admitted in a mass reconnect, they would immediately spend the
// saved budgets of warming servers.
func (b *Balancer) isOverQuota(f *flow) bool {
	customer := int(f.customer)
	if customer < 0 || customer >= len(b.slowStart.quotas) || b.slowStart.quotas[customer] == 0 || !b.isCapacityScarce() {
		return false
	}
	balancers := float64(b.slowStart.Balancers)
	ownQuota := b.slowStart.quotas[customer] / balancers
	return float64(b.customerFlows[f.customer]) >= ownQuota+significantDeviations*math.Sqrt(ownQuota*(1-1/balancers))
}
