package config

import (
	"slices"
	"strconv"
	"time"

	"yardwinch/decide"
)

var effects = map[string]decide.Effect{
	"free": decide.Idempotent, "guarded": decide.IdempotentByKey, "single_shot": decide.NotIdempotent}
var reaches = map[string]decide.DeduplicationScope{
	"all": decide.DeduplicatedByFleet, "zone": decide.DeduplicatedByZone, "cell": decide.DeduplicatedByCell}

// ConfigureBalancer hands each part of the module its own few settings, and tells which names stand for which ids. It serves
// the simulator's wire and the real balancer alike, so that both decide on the same terms.
func ConfigureBalancer(g Values, b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
	services, customers := map[string]decide.ServiceID{}, map[string]decide.CustomerID{}
	b.ConfigureFlows(int(g.Float("policy-limits.max-connects", 1)), RetryAfter(g))
	for i := range int(g.Float("service-types.count", 0)) {
		s := g.Sub("service-types." + strconv.Itoa(i))
		services[s.need("name")] = decide.ServiceID(i)
		e := word(s, "effect", effects, decide.NotIdempotent)
		b.AddService(decide.ServiceType{
			Effect:        e,
			Deduplication: word(s, "group", reaches, decide.DeduplicatedByCell),
			SetupTarget:   s.Duration("setup-target"),
			RetryWindow:   s.Duration("window"),
			Value:         s.Float("value", 1),
		})
	}
	b.ConfigureSlowStart(decide.SlowStart{
		InitialCapacity:  g.Float("guarantees.cold-from", 1),
		OverloadMultiple: g.Float("guarantees.fall-multiple", 1),
		WarmUp:           g.Duration("guarantees.warm-after"),
		Window:           time.Duration(g.Float("guarantees.fall", float64(1500*time.Millisecond))),
		Balancers:        int(g.Float("peers-total", 1)),
	})
	b.ConfigureHealthChecks(HealthChecksEnabled(g))
	checkNines(g)
	b.ConfigurePlacement(g.Float("tariffs.cross-zone", 0),
		g.Float("tariffs.moves", 0)+g.Float("tariffs.handshake", 0),
		g.String("weights", "silent") != "silent")
	quotas := g.Floats("family-info.tenant-quota-connections")
	for i := range int(g.Float("tenants.count", 0)) {
		customers[g.need("tenants."+strconv.Itoa(i)+".name")] = decide.CustomerID(i)
		q := 0.0
		if i < len(quotas) && g.Float("beyond-share-value", 1) < 1 {
			q = quotas[i]
		}
		b.AddCustomer(q)
	}
	b.ConfigureEndpoints(decide.EndpointSettings{
		Zone:            decide.Zone(g.String("az", "")),
		Polled:          DiscoveryIsPolled(g),
		MaxPollInterval: g.Duration("guarantees.must-ask-in"),
		MessageTarget:   MessageTarget(g),
	})
	return services, customers
}

// RetryAfter is what refused clients are told to wait; 0 where they are told none.
func RetryAfter(g Values) time.Duration {
	if !g.Bool("policy-limits.retry-after") {
		return 0
	}
	return g.Duration("policy-limits.max-retry-after")
}

// pulled says of each way in which servers report their load whether it takes a probe.
var pulled = map[string]bool{"pull": true, "piggyback": false, "silent": false}

// columns are the figures that a report may have.
var columns = []string{"outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s", loadColumn, "x1"}

// HealthChecksEnabled tells whether probes are allowed and bring what the decisions go by. Where the columns are not stated they may
// be any; a column of an unknown name is passed over.
func HealthChecksEnabled(g Values) bool {
	pull, listed := word(g, "reporting.how", pulled, false), g.texts("reporting.columns")
	return pull && g.Bool("policy-limits.probes") && (listed == nil || slices.Contains(listed, loadColumn))
}

// UnknownColumns are named in a report without anybody knowing what they mean.
func UnknownColumns(g Values) []string {
	return slices.DeleteFunc(g.texts("reporting.columns"), func(c string) bool { return slices.Contains(columns, c) })
}

// checkNines reads the weight of the nines in what a day is worth, and how many of them earn it in full. No decision
// hangs on them (docs/assumptions.md says why); they are read so that a bad one is named.
func checkNines(g Values) {
	part, full := g.Float("goal.nines-part", 0), g.Float("goal.top-nines", 0)
	if part < 0 {
		g.bad("goal.nines-part", "must not be below 0")
	}
	if full < 0 || part > 0 && full == 0 {
		g.bad("goal.top-nines", "must be above 0 where goal.nines-part is")
	}
}

// DiscoveryIsPolled tells whether the server list comes only when it is asked for.
func DiscoveryIsPolled(g Values) bool { return g.String("discovery", "") == "ask" }

// MessageTarget is the shortest time in which a message is wanted.
func MessageTarget(g Values) (shortest time.Duration) {
	messages := g.Floats("family-info.message-aim")
	for i := range int(g.Float("service-types.count", 0)) {
		message := g.Duration("service-types." + strconv.Itoa(i) + ".setup-target")
		if len(messages) == 1 {
			message = time.Duration(messages[0])
		} else if i < len(messages) && messages[i] > 0 { // one that is not stated is no time of nought, in which every message would be late
			message = time.Duration(messages[i])
		}
		if shortest == 0 || message < shortest {
			shortest = message
		}
	}
	return shortest
}

// ServerMetrics are whether servers tell the loads of connections, and the delay of messages.
func ServerMetrics(g Values) (load, delay bool) {
	return g.Bool("family-info.tells-load"), g.Bool("family-info.tells-delay")
}
