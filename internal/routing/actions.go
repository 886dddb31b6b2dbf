package routing

import (
	"log/slog"
	"time"

	"yardwinch/decide"
)

// actions implements decide.Actions. Each call comes with the router's mutex held, so that it only records what other
// goroutines then do.
type actions struct{ router *Router }

// Connect hands a flow the server to connect to.
func (a actions) Connect(id decide.FlowID, serverID decide.ServerID, timeout time.Duration) {
	if f := a.router.flows[id]; f != nil {
		f.attemptAt = a.router.Now()
		f.server = a.router.servers[serverID]
		f.deliver(Decision{Verdict: Connect, Addr: f.server.addr, Deadline: a.router.startedAt.Add(f.attemptAt + timeout)})
	}
}

// Reject answers a flow that it may retry after a while.
func (a actions) Reject(id decide.FlowID, retryAfter time.Duration) {
	if f := a.router.flows[id]; f != nil {
		f.deliver(Decision{Verdict: Reject, RetryAfter: retryAfter})
	}
}

// Abort answers a flow without a promise.
func (a actions) Abort(id decide.FlowID) {
	if f := a.router.flows[id]; f != nil {
		f.deliver(Decision{Verdict: Abort})
	}
}

// Migrate has a flow's client asked to reconnect.
func (a actions) Migrate(id decide.FlowID) {
	if f := a.router.flows[id]; f != nil {
		slog.Debug("migration requested", "flow", id, "server", f.server.name)
		f.requestMigration()
	}
}

// HealthCheck queues a health check, unless the filter leaves it to another balancer.
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

// SetTimer sets a timer.
func (a actions) SetTimer(id decide.TimerID, after time.Duration) {
	if a.router.timers.add(timer{due: a.router.Now() + after, id: id}) {
		signal(a.router.earlierTimer)
	}
}

// WatchEndpoints does nothing: discovery keeps a watch open in any case and reopens one that fails. A second timer for
// that, set at each failure, would multiply the attempts without bound.
func (a actions) WatchEndpoints(bool) {}
