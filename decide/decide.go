package decide

import "time"

// The state machine of a flow: its arrival, its attempts, its final answer and its end.

const (
	// writeDelayAllowance is how long a process may be delayed between reading its clock and writing to a connection.
	writeDelayAllowance = 150 * time.Millisecond

	minOverloadFailures = 2 // failures at a server within latencyMaxAge, the last one a reset, from which overload is inferred
	smallBalancerCount  = 3 // number of balancers up to which each observes enough for minOverloadFailures
)

// transition changes the state of a flow and updates the accounting. All state changes go through it.
func (b *Balancer) transition(f *flow, to state) {
	switch f.state {
	case connecting:
		b.flows.connecting.remove(f)
	case established:
		b.flows.established.remove(f)
		f.server.removeFlow(f)
		b.customerFlows[f.customer]--
	}
	switch to {
	case connecting:
		b.flows.connecting.add(f)
		b.lease(f)
	case established:
		if !f.leased {
			b.lease(f)
		}
		f.attempted = nil
		b.flows.established.add(f)
		f.server.addFlow(f)
		b.customerFlows[f.customer]++
	default:
		b.release(f)
	}
	if to == awaitingEnd && f.outstanding == 0 {
		to = done
	}
	f.state = to
	if to == done {
		delete(b.flows.byID, f.id)
	}
}

// OnFlow handles the arrival of a new flow.
func (b *Balancer) OnFlow(request FlowRequest) {
	f := newFlow(request)
	f.arrivedAt = b.now
	f.deadline = b.now + request.Timeout
	b.flows.byID[f.id] = f
	if b.constraints != nil && !b.constraints.AdmitFlow(f.id) {
		b.rejectOrAbort(f)
	} else {
		b.place(f)
	}
}

// AdoptFlow adds a flow that is already established at a server.
func (b *Balancer) AdoptFlow(request FlowRequest, server ServerID) {
	f := newFlow(request)
	f.attempts = 1
	f.outstanding = 1
	f.server = b.list.server(server)
	b.flows.byID[f.id] = f
	b.transition(f, established)
	if f.server.readiness != Ready && f.server.openFlows == 1 {
		b.rebuildList() // it is the first open flow of the server, which now counts as departing
	}
}

// place starts the next attempt of a waiting flow, adds it to the admission queue, or gives its final answer.
func (b *Balancer) place(f *flow) {
	isForced := b.forcedAttemptDue()
	if b.isShed(f, isForced) || !b.hasAttemptLeft(f) {
		b.rejectOrAbort(f)
		return
	}
	mayConnect := isForced || b.mayConnect()
	if !mayConnect && b.now < b.queueDeadline(f) {
		b.enqueue(f)
		return
	}
	target := b.choose(f)
	if target == nil && isForced {
		target = b.chooseForced(f)
	}
	if target == nil || !mayConnect {
		b.rejectOrAbort(f)
		return
	}
	b.connect(f, target)
}

// isShed reports whether the flow is rejected without any attempt because its customer has used its quota.
func (b *Balancer) isShed(f *flow, isForced bool) bool {
	return !isForced && f.attempts == 0 && b.isOverQuota(f) && b.isRetrySafe(f)
}

// hasAttemptLeft reports whether the flow may get one more attempt. Failures with a cause that all servers share are not
// retried, as retries would add load to the cause.
func (b *Balancer) hasAttemptLeft(f *flow) bool {
	if f.attempts > 0 && b.sharedFailure() {
		return false
	}
	return f.attempts < b.flows.maxAttempts && b.mayRetry(f)
}

// connect starts an attempt of the flow at the target.
func (b *Balancer) connect(f *flow, target *serverState) {
	f.server = target
	f.sentAt = b.now
	f.attempts++
	f.outstanding++
	f.attempted = append(f.attempted, target.id)
	f.onProbation = target.ejected
	b.admission.lastConnectAt = b.now
	b.admission.rejectedSince = 0
	b.health.checkCredit += checksPerConnect
	f.inSlowStart = b.capacityShare(target) < 1
	if f.inSlowStart {
		b.spendBudget(target, b.viewFor(f, b.list.ready))
	}
	b.transition(f, connecting)
	b.actions.Connect(f.id, target.id, b.attemptTimeout(f))
}

// attemptTimeout returns the timeout of the attempt that is being started; f.attempts already includes it. The timeout
// leaves half of the remaining time for another attempt, in case the server accepts flows and never answers. It is not
// below the set-up target while that much time remains, as a shorter timeout would cut off set-ups that are merely slow,
// and their work would be done twice. If no attempt may follow a timeout, this one gets all of the remaining time.
func (b *Balancer) attemptTimeout(f *flow) time.Duration {
	left := f.deadline - b.now
	service := &b.services[f.service]
	if f.mayHaveRun && service.Effect == IdempotentByKey {
		left = min(left, b.retryUntil(f)-b.now) // a connection established later could be forwarded after the window
	}
	if service.Effect == NotIdempotent || f.attempts >= b.flows.maxAttempts {
		return left
	}
	return max(left/2, min(left, service.SetupTarget))
}

// isRetrySafe reports whether the client may be told that a retry is safe.
func (b *Balancer) isRetrySafe(f *flow) bool {
	service := &b.services[f.service]
	switch service.Effect {
	case Idempotent:
		return true
	case IdempotentByKey:
		if service.Deduplication == DeduplicatedByFleet {
			return true
		}
	}
	return f.outstanding == 0 && !f.mayHaveRun
}

// rejectOrAbort gives the final answer to a flow that is not connected.
func (b *Balancer) rejectOrAbort(f *flow) {
	retryAfter := b.flows.retryAfter
	if b.constraints != nil && retryAfter > 0 {
		retryAfter = min(b.constraints.RetryAfter(f.id, retryAfter), retryAfter)
	}
	if f.attempts == 0 {
		b.admission.rejectedSince++
	}
	if b.isRetrySafe(f) {
		b.actions.Reject(f.id, retryAfter)
	} else {
		b.actions.Abort(f.id)
	}
	b.transition(f, awaitingEnd)
}

// OnEstablished handles an attempt that was established after the given time.
func (b *Balancer) OnEstablished(id FlowID, took time.Duration) {
	f := b.flows.byID[id]
	if f == nil || f.state != connecting {
		return
	}
	b.health.addSetupTime(took, b.now)
	b.recordOutcome(f, false)
	b.transition(f, established)
	if took > b.services[f.service].SetupTarget {
		b.decreaseConcurrency()
	} else {
		b.recordSetup(false)
		b.increaseConcurrency()
		b.serveQueue()
	}
}

// OnEnded handles the end of an attempt or a connection after the given time. If an attempt ends and isAnswered is false,
// the client is still waiting and its flow is placed again.
func (b *Balancer) OnEnded(id FlowID, outcome Outcome, took time.Duration, isAnswered bool) {
	f := b.flows.byID[id]
	if f == nil {
		return
	}
	f.outstanding--
	if outcome == NeverSent {
		b.refundBudget(f)
	}
	switch f.state {
	case established:
		b.onConnectionEnded(f, outcome)
	case connecting:
		b.onAttemptEnded(f, outcome, took, isAnswered)
	default: // migrating or awaitingEnd
		b.transition(f, done)
	}
}

func (b *Balancer) onConnectionEnded(f *flow, outcome Outcome) {
	server := f.server
	if f.incarnation == server.incarnation {
		switch {
		case outcome == Reset:
			b.onReset(f)
		case outcome == Full && b.now >= server.ejectedUntil:
			// The server closes connections to shut down. Until it is listed as draining it would seem the least loaded.
			b.eject(server)
		}
	}
	b.transition(f, done)
}

// onReset infers overload from resets. Where balancers are many, each observes so few that a single reset is enough. As
// isOverloaded looks at latency only, the inferred overload is recorded as a sample at the latency objective.
func (b *Balancer) onReset(f *flow) {
	server := f.server
	b.recordOutcome(f, true)
	share, n := failureRate(server.samples, b.now-latencyMaxAge)
	if share*float64(n) >= minOverloadFailures || b.isOverloaded(server) || b.slowStart.Balancers > smallBalancerCount {
		server.latency = max(server.latency, b.list.MessageTarget)
		server.latencyAt = b.now
		b.reduceLimit(server)
	}
}

func (b *Balancer) onAttemptEnded(f *flow, outcome Outcome, took time.Duration, isAnswered bool) {
	switch outcome {
	case Error, Full, TimedOut, Unreachable, Reset:
		b.onSetupFailed(f, outcome, took)
	}
	if !outcome.NeverRan() && !f.mayHaveRun {
		// The flow must not take effect twice: where and when it may first have run restricts all further attempts.
		f.mayHaveRun = true
		f.firstRunAt = f.sentAt
		f.firstRunZone = f.server.zone
		f.firstRunCell = f.server.cell
	}
	if isAnswered {
		b.transition(f, done)
	} else {
		b.transition(f, waiting)
		b.place(f)
	}
	b.serveQueue()
}

// mayRetry reports whether another attempt is allowed: not while one is outstanding, not after the deadline, and after
// an attempt that may have run only if the service type permits a retry.
func (b *Balancer) mayRetry(f *flow) bool {
	if f.outstanding != 0 || b.now >= f.deadline {
		return false
	}
	switch b.services[f.service].Effect {
	case Idempotent:
		return true
	case IdempotentByKey:
		return !f.mayHaveRun || b.now < b.retryUntil(f)
	default:
		return !f.mayHaveRun
	}
}

// retryUntil returns the time until which a flow that may have run can be retried. Servers drop its duplicates until
// writeDelayAllowance later.
func (b *Balancer) retryUntil(f *flow) time.Duration {
	return f.firstRunAt + b.services[f.service].RetryWindow - writeDelayAllowance
}

// OnClientLeft handles a client that left; its flow needs no answer any more.
func (b *Balancer) OnClientLeft(id FlowID) {
	if f := b.flows.byID[id]; f != nil {
		b.transition(f, awaitingEnd)
	}
}
