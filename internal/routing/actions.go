package routing

import (
	"log/slog"
	"time"

	"yardwinch/decide"
)

// actions implements decide.Actions. Its methods are called with the router's mutex held, so they only record work for
// other goroutines.
type actions struct{ router *Router }

// Connect tells a flow which server to connect to.
func (a actions) Connect(id decide.FlowID, serverID decide.ServerID, timeout time.Duration) {
	if f := a.router.flows[id]; f != nil {
		f.attemptStartedAt = a.router.Now()
		f.server = a.router.servers[serverID]
		f.deliver(Decision{Verdict: Connect, Addr: f.server.addr, Deadline: a.router.startedAt.Add(f.attemptStartedAt + timeout)})
	}
}

// Reject gives a flow the final answer after which a retry does no harm. retryAfter is when the client may retry; 0
// leaves the time open.
func (a actions) Reject(id decide.FlowID, retryAfter time.Duration) {
	if f := a.router.flows[id]; f != nil {
		f.deliver(Decision{Verdict: Reject, RetryAfter: retryAfter})
	}
}

// Abort gives a flow the final answer that does not say whether a retry is safe, as the flow may have run.
func (a actions) Abort(id decide.FlowID) {
	if f := a.router.flows[id]; f != nil {
		f.deliver(Decision{Verdict: Abort})
	}
}

// Migrate asks a flow's client to reconnect.
func (a actions) Migrate(id decide.FlowID) {
	if f := a.router.flows[id]; f != nil {
		slog.Debug("migration requested", "flow", id, "server", f.server.name)
		f.requestMigration()
	}
}

// HealthCheck queues a health check of a server, unless the filter assigns it to another balancer.
func (a actions) HealthCheck(id decide.ServerID) {
	r := a.router
	if r.healthCheckFilter != nil && !r.healthCheckFilter(id, r.Now()) {
		return
	}
	if s := r.servers[id]; !s.checkIsPending {
		s.checkIsPending = true
		r.pendingChecks = append(r.pendingChecks, id)
		signal(r.checkPending)
	}
}

func (a actions) SetTimer(id decide.TimerID, after time.Duration) {
	if a.router.timers.add(timer{due: a.router.Now() + after, id: id}) {
		signal(a.router.earlierTimer)
	}
}

// WatchEndpoints does nothing: the discovery client always keeps a watch open and itself reopens a failed one. Another
// retry timer, set at each failure, would multiply the requests to discovery without bound.
func (a actions) WatchEndpoints(bool) {}
