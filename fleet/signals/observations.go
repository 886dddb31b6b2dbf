package signals

import (
	"time"

	"yardwinch/decide"
)

const (
	evidenceValid = 2500 * time.Millisecond // own evidence, as late servers' notes come every second
	failureValid  = 2 * evidenceValid       // of failed set-ups and broken connections, which come less often
	keptSamples   = 4                       // of set-ups, by server
	minFailures   = 2                       // one is chance
	minSilent     = 2                       // connects in a row with nothing back
)

// observation is what this balancer itself sees of a server.
type observation struct {
	samples  []sample // of set-ups, newest last
	lateAt   time.Duration
	goodAt   time.Duration
	held     int // connections
	silent   int // connects in a row with nothing back
	silentAt time.Duration
}

// sample is how a set-up or a connection ended.
type sample struct {
	at     time.Duration
	failed bool
}

// observation is that of a server, a new one where there was none.
func (s *Exchange) observation(id decide.ServerID) *observation {
	x := s.observations[id]
	if x == nil {
		x = &observation{lateAt: never, goodAt: never, silentAt: never}
		s.observations[id] = x
	}
	return x
}

// OnFlow counts a new flow.
func (s *Exchange) OnFlow(decide.FlowRequest) {
	s.newFlows++
}

// OnEstablished observes that a connection was set up, and in what time; below 0 where it stood before this process began.
func (s *Exchange) OnEstablished(_ decide.FlowID, on decide.ServerID, took time.Duration) {
	x := s.observation(on)
	x.held++
	if took < 0 {
		return // from before the start: nobody saw how it went
	}
	x.silent = 0
	x.add(s.now, false)
	if took > s.setupLimit {
		x.lateAt = s.now
	} else {
		x.goodAt = s.now
	}
	s.dirty = true
}

// add keeps one more sample, and the newest ones before it.
func (x *observation) add(now time.Duration, failed bool) {
	x.samples = append(x.samples, sample{at: now, failed: failed})
	x.samples = x.samples[max(0, len(x.samples)-keptSamples):]
}

// OnEnded observes how a connection ended, or an attempt to set one up.
func (s *Exchange) OnEnded(_ decide.FlowID, on decide.ServerID, outcome decide.Outcome, stood bool) {
	x := s.observation(on)
	switch {
	case stood:
		x.held = max(0, x.held-1)
		if outcome == decide.Reset {
			x.add(s.now, true)
		}
	case outcome == decide.Unreachable || outcome == decide.TimedOut:
		x.silent++
		x.silentAt = s.now
		x.add(s.now, true)
	case outcome == decide.Error || outcome == decide.Reset:
		x.add(s.now, true)
	}
	s.dirty = true
}

// OnLatencySample observes how long a message took. Notes come while it is late, and once when it is so no more.
func (s *Exchange) OnLatencySample(on decide.ServerID, delay time.Duration) {
	x := s.observation(on)
	if delay > s.delayLimit {
		x.lateAt = s.now
	} else {
		x.lateAt = never
		x.goodAt = s.now
	}
	s.dirty = true
}

// trouble is what this balancer observes of a server now, and how old the evidence is.
func (x *observation) trouble(now time.Duration) (Fault, time.Duration) {
	failures, lastFailure := x.failures(now)
	switch {
	case x.silent >= minSilent && now-x.silentAt < failureValid:
		return Silent, now - x.silentAt
	case failures >= minFailures && 2*failures >= len(x.samples):
		return Failing, now - lastFailure
	case now-x.lateAt < evidenceValid:
		return Late, now - x.lateAt
	}
	return Healthy, now - x.goodAt
}

// failures counts the samples that failed not long ago, and says when the last one did.
func (x *observation) failures(now time.Duration) (count int, last time.Duration) {
	last = never
	for _, m := range x.samples {
		if m.failed && now-m.at < failureValid {
			count++
			last = m.at
		}
	}
	return count, last
}
