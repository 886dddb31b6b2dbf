package routing

import (
	"context"
	"time"

	"yardwinch/decide"
)

// ReportHealthCheck takes the outcome of a health check and the load that the server reported; a negative load says
// that it reported none.
type ReportHealthCheck = func(outcome Outcome, load float64)

// NextHealthCheck waits for a server that is to be checked, and returns its address. Its error is the context's, once
// that ended.
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

// nextHealthCheck takes the first pending server that still accepts flows, and wakes another waiter for the rest.
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
		r.pendingChecks = nil // frees the array that the slice has moved through
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

// SetHealthCheckFilter has allows decide, before each health check, whether this balancer sends it. It is called with
// the router locked; nil allows all.
func (r *Router) SetHealthCheckFilter(allows func(id decide.ServerID, now time.Duration) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healthCheckFilter = allows
}
