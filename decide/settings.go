package decide

// What an instance is told before its first event: limits, prices and service types of the deployment.

import "time"

// New returns a Balancer that knows no settings and no servers yet.
func New(seed uint64, act Actions) *Balancer {
	b := &Balancer{actions: act, rng: seeded(seed)}
	b.flows.byID = map[FlowID]*flow{}
	b.tallies.holders = map[GroupKey][]*server{}
	b.list.byID = map[ServerID]*server{}
	b.fair = map[CustomerID]int{}
	b.actions.SetTimer(tickMark, tickEvery)
	return b
}

// SetTime sets the time of the calls that follow.
func (b *Balancer) SetTime(now time.Duration) { b.now = now }

// SetConstraints sets what other deciders may say. Without it nothing is asked and nothing changes.
func (b *Balancer) SetConstraints(x Constraints) { b.constraints = x }

// ConfigureFlows sets how many connects a flow may use, and the retry-after that clients obey at most.
func (b *Balancer) ConfigureFlows(maxConnects int, retryAfter time.Duration) {
	b.flows.maxConnects, b.flows.retryAfter = maxConnects, retryAfter
}

// AddService adds the next service type.
func (b *Balancer) AddService(service ServiceType) {
	b.services = append(b.services, service)
}

// ConfigurePlacement sets the prices of a flow that crosses zones and of a migration, and whether the listed sizes of
// servers mean something.
func (b *Balancer) ConfigurePlacement(crossing, migration float64, sizes bool) {
	b.picks = pick{crossing, migration, sizes}
}

// ConfigureHealthChecks tells whether probes bring load reports.
func (b *Balancer) ConfigureHealthChecks(pull bool) { b.health.pull = pull }

// ConfigureSlowStart sets the rule on cold servers, its window, and by how many balancers its budget is shared.
func (b *Balancer) ConfigureSlowStart(settings SlowStart) {
	settings.Balancers = max(settings.Balancers, 1)
	b.cold = cold{SlowStart: settings, quota: b.cold.quota}
	b.pace.window = b.widest()
}

// AddCustomer adds the next customer, with its share of all connections; 0: none was given.
func (b *Balancer) AddCustomer(quota float64) { b.cold.quota = append(b.cold.quota, quota) }

// ConfigureEndpoints sets this balancer's zone, whether the list must be asked for and how often at the least, the
// grace after a drain is told, and the shortest time in which a message is wanted.
func (b *Balancer) ConfigureEndpoints(settings EndpointSettings) {
	b.list.EndpointSettings = settings
	if settings.Polled {
		b.actions.WatchEndpoints(true)
	}
}
