package decide

import "time"

// The settings of a Balancer, set before its first event.

// ConfigureFlows sets the maximum number of attempts of a flow, and the longest Retry-After that clients honour. The
// clients of rejected flows are sent the latter, unless the constraints return a shorter one; with 0 they are sent none.
func (b *Balancer) ConfigureFlows(maxAttempts int, retryAfter time.Duration) {
	b.flows.maxAttempts = maxAttempts
	b.flows.retryAfter = retryAfter
}

// AddService adds the next service type.
func (b *Balancer) AddService(service ServiceType) {
	b.services = append(b.services, service)
}

// ConfigurePlacement sets the prices of a flow that crosses zones and of a migration, in the currency of the tariffs,
// and whether the sizes of the endpoint list are capacities. If not, all servers count as equally large.
func (b *Balancer) ConfigurePlacement(crossing, migration float64, hasSizes bool) {
	b.placement = placementCosts{zoneCrossing: crossing, migration: migration, hasSizes: hasSizes}
}

// ConfigureShrinkingSizes says that the endpoint list has a server's capacity as its size only while the server holds no
// flow, and a smaller size the more it holds. It is called after ConfigurePlacement.
func (b *Balancer) ConfigureShrinkingSizes() {
	b.placement.hasSizes, b.placement.sizesShrink = false, true
}

// ConfigureHealthChecks sets whether servers answer health checks with load reports; if not, no checks are sent.
func (b *Balancer) ConfigureHealthChecks(returnLoad bool) { b.health.checksReturnLoad = returnLoad }

// ConfigureSlowStart sets the slow-start settings. Their number of balancers also determines this balancer's share of
// limits that hold over all balancers.
func (b *Balancer) ConfigureSlowStart(settings SlowStart) {
	settings.Balancers = max(settings.Balancers, 1)
	b.slowStart = slowStart{SlowStart: settings, quotas: b.slowStart.quotas}
	b.admission.concurrencyLimit = b.maxConcurrency()
}

// AddCustomer adds the next customer, with its quota in connections over all balancers; 0 means no quota.
func (b *Balancer) AddCustomer(quota float64) {
	b.slowStart.quotas = append(b.slowStart.quotas, quota)
}

// ConfigureEndpoints sets the endpoint settings, and requests the endpoint list if it is polled.
func (b *Balancer) ConfigureEndpoints(settings EndpointSettings) {
	b.list.EndpointSettings = settings
	if settings.Polled {
		b.actions.WatchEndpoints(true)
	}
}
