package routing

import (
	"context"
	"time"

	"yardwinch/decide"
)

// ReportHealthCheck reports the outcome of a health check and the load that the server reported; a negative load means
// that it reported none.
type ReportHealthCheck = func(outcome Outcome, load float64)

// NextHealthCheck waits for a server that is to be checked, and returns its address and the function that reports the
// outcome. It fails only when the context ends, with the context's error.
func (r *Router) NextHealthCheck(ctx context.Context) (addr string, report ReportHealthCheck, err error) {
	for {
		select {
		case <-ctx.Done():
			return "", nil, ctx.Err()
		case <-r.checkPending:
		}
		if id, addr, ok := r.nextHealthCheck(); ok {
			return addr, func(outcome Outcome, load float64) { r.onHealthCheck(id, outcome, load) }, nil
		}
	}
}

// nextHealthCheck dequeues the first pending server that still accepts flows, and wakes another waiter if more are
// pending.
func (r *Router) nextHealthCheck() (id decide.ServerID, addr string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pendingChecks) > 0 && !ok {
		id = r.pendingChecks[0]
		r.pendingChecks = r.pendingChecks[1:]
		s := r.servers[id]
		s.checkIsPending = false
		addr, ok = s.addr, s.acceptsFlows()
	}
	if len(r.pendingChecks) > 0 {
		signal(r.checkPending)
	} else {
		r.pendingChecks = nil // frees the backing array
	}
	return id, addr, ok
}

func (r *Router) onHealthCheck(id decide.ServerID, outcome Outcome, load float64) {
	r.lockForEvent()
	defer r.mu.Unlock()
	if load >= 0 {
		r.balancer.OnLoadReport(id, load)
	}
	r.balancer.OnHealthCheck(id, outcome)
}

// SetHealthCheckFilter sets the function that decides whether this balancer sends a requested health check. It is
// called with the router locked; nil allows all.
func (r *Router) SetHealthCheckFilter(allows func(id decide.ServerID, now time.Duration) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healthCheckFilter = allows
}
