package decide

import (
	"strings"
	"testing"
	"time"
)

// After each possible end of the first attempt the flow gets one retry or one final answer, and never takes effect twice.
func TestAfterFailedAttempt(t *testing.T) {
	retried, reject, abort := "connect", "reject", "abort"
	for _, c := range []struct {
		name   string
		effect Effect
		scope  DeduplicationScope
		end    Outcome
		at     time.Duration
		want   string
	}{
		{"idempotent, error", Idempotent, DeduplicatedByFleet, Error, 10 * ms, retried},
		{"idempotent, attempt timed out", Idempotent, DeduplicatedByFleet, TimedOut, 300 * ms, retried},
		{"idempotent, at the deadline without an answer", Idempotent, DeduplicatedByFleet, TimedOut, 900 * ms, reject},
		{"not idempotent, proven not to have run", NotIdempotent, DeduplicatedByFleet, Full, 10 * ms, retried},
		{"not idempotent, unreachable", NotIdempotent, DeduplicatedByFleet, Unreachable, 10 * ms, retried},
		{"not idempotent, never sent", NotIdempotent, DeduplicatedByFleet, NeverSent, 10 * ms, retried},
		{"not idempotent, may have run", NotIdempotent, DeduplicatedByFleet, Error, 10 * ms, abort},
		{"not idempotent, reset", NotIdempotent, DeduplicatedByFleet, Reset, 10 * ms, abort},
		{"not idempotent, cancelled", NotIdempotent, DeduplicatedByFleet, Cancelled, 10 * ms, abort},
		{"not idempotent, at the deadline", NotIdempotent, DeduplicatedByFleet, TimedOut, 900 * ms, abort},
		{"not idempotent, not run, at the deadline", NotIdempotent, DeduplicatedByFleet, Unreachable, 900 * ms, reject},
		{"by key, may have run", IdempotentByKey, DeduplicatedByFleet, Reset, 10 * ms, retried},
		{"by key, deduplicated by zone, at the deadline", IdempotentByKey, DeduplicatedByZone, TimedOut, 900 * ms, abort},
		{"by key, deduplicated by fleet, at the deadline", IdempotentByKey, DeduplicatedByFleet, TimedOut, 900 * ms, reject},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, c.effect, c.scope, 6)
			s.request("a", "", 900*ms)
			s.takeActions()
			s.setTime(c.at)
			s.balancer.OnEnded("a", c.end, c.at, false)
			if got := s.takeActions(); !strings.HasPrefix(got, c.want) || strings.Contains(got, ",") {
				t.Errorf("actions %q, want one %s", got, c.want)
			}
		})
	}
}

func TestRetryTargets(t *testing.T) {
	for _, c := range []struct {
		name  string
		scope DeduplicationScope
	}{{"zone", DeduplicatedByZone}, {"cell", DeduplicatedByCell}} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, IdempotentByKey, c.scope, 8)
			first := s.request("a", "", 1900*ms)
			for i := 1; i < 3; i++ {
				s.setTime(time.Duration(i) * 10 * ms)
				s.balancer.OnEnded("a", Error, 10*ms, false)
				if got := s.targets["a"]; (got-1)/2 != (first-1)/2 {
					t.Fatalf("retry at server %d, want one in the %s of server %d, where the flow may have run", got, c.name, first)
				}
			}
			s.takeActions()
			s.balancer.OnEnded("a", Error, 10*ms, false)
			s.expect("abort a")
		})
	}
	t.Run("no retry after the retry window", func(t *testing.T) {
		s := newHarness(t, IdempotentByKey, DeduplicatedByFleet, 4)
		s.request("a", "", 5*sec)
		s.takeActions()
		s.setTime(2 * sec)
		s.balancer.OnEnded("a", TimedOut, 2*sec, false)
		s.expect("reject a")
	})
}

func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *harness)
		want string
	}{
		{"no server", func(s *harness) { s.updateList(FullUpdate, Gone, 4); s.request("a", "", sec) }, "reject a"},
		{"attempts used up", func(s *harness) {
			s.balancer.flows.maxAttempts = 2
			s.request("a", "", sec)
			for range 2 {
				s.takeActions()
				s.balancer.OnEnded("a", Error, ms, false)
			}
		}, "reject a"},
		{"client left: no answer, and the end of its attempt is ignored", func(s *harness) {
			s.request("a", "", sec)
			s.takeActions()
			s.balancer.OnClientLeft("a")
			s.balancer.OnEnded("a", Error, ms, true)
			s.balancer.OnEnded("a", Error, ms, true)
		}, ""},
		{"client left while it was answered", func(s *harness) {
			s.updateList(FullUpdate, Gone, 4)
			s.request("a", "", sec)
			s.takeActions()
			s.balancer.OnClientLeft("a")
		}, ""},
		{"ended with its answer", func(s *harness) {
			s.request("a", "", sec)
			s.takeActions()
			s.balancer.OnEnded("a", Reset, ms, true)
		}, ""},
		{"unknown flow IDs", func(s *harness) {
			s.balancer.OnEnded("x", OK, ms, true)
			s.balancer.OnEstablished("x", ms)
			s.balancer.OnLatencySample("x", sec)
			s.balancer.OnFlowLoad("x")
			s.balancer.OnClientLeft("x")
			s.balancer.OnHealthCheck(99, OK)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 4)
			c.do(s)
			s.expect(c.want)
		})
	}
}

// A retry of a flow that is idempotent by its key must not be forwarded after the retry window, even if its connection
// is established late. The attempt's timeout therefore ends with the window, however much time the client has left.
func TestRetryTimeoutEndsWithWindow(t *testing.T) {
	s := newHarness(t, IdempotentByKey, DeduplicatedByFleet, 4) // with a retry window of 2 s
	s.setTime(sec)
	s.balancer.OnFlow(FlowRequest{ID: "a", Customer: NoCustomer, Timeout: 60 * sec})
	s.setTime(2500 * ms)
	var timeout time.Duration
	s.balancer.actions = timeoutRecorder{s, &timeout}
	s.balancer.OnEnded("a", Reset, 1500*ms, false)
	if timeout <= 0 || timeout > 500*ms {
		t.Errorf("the retry has a timeout of %v, want above 0 and at most the 500ms that are left of the window", timeout)
	}
}

// timeoutRecorder records the timeout of the last attempt.
type timeoutRecorder struct {
	Actions
	timeout *time.Duration
}

func (r timeoutRecorder) Connect(f FlowID, server ServerID, timeout time.Duration) {
	*r.timeout = timeout
	r.Actions.Connect(f, server, timeout)
}

// The timeout of an attempt at a server that accepts flows and never answers leaves time for a retry at another server.
func TestUnansweredAttemptLeavesTimeForRetry(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
	first := s.request("a", "", 2*sec)
	if timeout := s.balancer.attemptTimeout(s.balancer.flows.byID["a"]); timeout > sec {
		t.Fatalf("the attempt has a timeout of %v, the flow one of 2s; want at most 1s for the attempt", timeout)
	}
	s.setTime(sec)
	s.balancer.OnEnded("a", TimedOut, sec, false)
	if s.targets["a"] == first {
		t.Errorf("the retry went to server %d again", first)
	}
}
