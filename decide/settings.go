package decide

import "time"

// The settings that an instance is given before its first event.

// ConfigureFlows sets how many attempts a flow may use, and the longest Retry-After that clients obey; 0: they get
// none.
func (b *Balancer) ConfigureFlows(maxAttempts int, retryAfter time.Duration) {
	b.flows.maxAttempts = maxAttempts
	b.flows.retryAfter = retryAfter
}

// AddService adds the next service type.
func (b *Balancer) AddService(service ServiceType) {
	b.services = append(b.services, service)
}

// ConfigurePlacement sets the prices of a flow that crosses zones and of a migration, in the currency of the tariffs,
// and whether the listed sizes of servers mean something.
func (b *Balancer) ConfigurePlacement(crossing, migration float64, hasSizes bool) {
	b.placement = placementCosts{zoneCrossing: crossing, migration: migration, hasSizes: hasSizes}
}

// ConfigureHealthChecks says whether health checks bring load reports; without them none are sent.
func (b *Balancer) ConfigureHealthChecks(bringLoad bool) { b.health.checksLoad = bringLoad }

// ConfigureSlowStart sets the rule for servers that are warming up, and by its number of balancers this one's part of
// what all balancers share.
func (b *Balancer) ConfigureSlowStart(settings SlowStart) {
	settings.Balancers = max(settings.Balancers, 1)
	b.slowStart = slowStart{SlowStart: settings, quotas: b.slowStart.quotas}
	b.admission.concurrencyLimit = b.maxConcurrency()
}

// AddCustomer adds the next customer, with its quota in connections over all balancers; 0: it has none.
func (b *Balancer) AddCustomer(quota float64) {
	b.slowStart.quotas = append(b.slowStart.quotas, quota)
}

// ConfigureEndpoints sets this balancer's zone, how the endpoint list reaches it, and the shortest latency objective.
func (b *Balancer) ConfigureEndpoints(settings EndpointSettings) {
	b.list.EndpointSettings = settings
	if settings.Polled {
		b.actions.WatchEndpoints(true)
	}
}
