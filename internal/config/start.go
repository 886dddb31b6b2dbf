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

// Start hands each part of the module its own few settings, and tells which names stand for which ids. It serves
// the simulator's wire and the real balancer alike, so that both decide on the same terms.
func Start(g Given, b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
	services, customers := map[string]decide.ServiceID{}, map[string]decide.CustomerID{}
	b.ConfigureFlows(int(g.Figure("policy-limits.max-connects", 1)), RetryAfter(g))
	for i := range int(g.Figure("service-types.count", 0)) {
		s := g.Under("service-types." + strconv.Itoa(i))
		services[s.need("name")] = decide.ServiceID(i)
		e := word(s, "effect", effects, decide.NotIdempotent)
		b.AddService(e, word(s, "group", reaches, decide.DeduplicatedByCell), s.Span("setup-target"), s.Span("window"),
			s.Figure("value", 1))
	}
	b.ConfigureSlowStart(g.Figure("guarantees.cold-from", 1), g.Figure("guarantees.fall-multiple", 1),
		g.Span("guarantees.warm-after"), time.Duration(g.Figure("guarantees.fall", float64(1500*time.Millisecond))), int(g.Figure("peers-total", 1)))
	b.ConfigureHealthChecks(Probing(g))
	checkNines(g)
	b.ConfigurePlacement(g.Figure("tariffs.cross-zone", 0),
		g.Figure("tariffs.moves", 0)+g.Figure("tariffs.handshake", 0),
		g.Text("weights", "silent") != "silent")
	quotas := g.Figures("family-info.tenant-quota-connections")
	for i := range int(g.Figure("tenants.count", 0)) {
		customers[g.need("tenants."+strconv.Itoa(i)+".name")] = decide.CustomerID(i)
		q := 0.0
		if i < len(quotas) && g.Figure("beyond-share-value", 1) < 1 {
			q = quotas[i]
		}
		b.AddCustomer(q)
	}
	b.ConfigureEndpoints(decide.Zone(g.Text("az", "")), Asking(g), g.Span("guarantees.must-ask-in"), MessageTarget(g))
	return services, customers
}

// RetryAfter is what refused clients are told to wait; 0 where they are told none.
func RetryAfter(g Given) time.Duration {
	if !g.Flag("policy-limits.retry-after") {
		return 0
	}
	return g.Span("policy-limits.max-retry-after")
}

// pulled says of each way in which servers report their load whether it takes a probe.
var pulled = map[string]bool{"pull": true, "piggyback": false, "silent": false}

// columns are the figures that a report may have.
var columns = []string{"outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s", loadColumn, "x1"}

// Probing tells whether probes are allowed and bring what the decisions go by. Where the columns are not stated they may
// be any; a column of an unknown name is passed over.
func Probing(g Given) bool {
	pull, listed := word(g, "reporting.how", pulled, false), g.texts("reporting.columns")
	return pull && g.Flag("policy-limits.probes") && (listed == nil || slices.Contains(listed, loadColumn))
}

// UnknownColumns are named in a report without anybody knowing what they mean.
func UnknownColumns(g Given) []string {
	return slices.DeleteFunc(g.texts("reporting.columns"), func(c string) bool { return slices.Contains(columns, c) })
}

// checkNines reads the weight of the nines in what a day is worth, and how many of them earn it in full. No decision
// hangs on them (docs/assumptions.md says why); they are read so that a bad one is named.
func checkNines(g Given) {
	part, full := g.Figure("goal.nines-part", 0), g.Figure("goal.top-nines", 0)
	if part < 0 {
		g.bad("goal.nines-part", "must not be below 0")
	}
	if full < 0 || part > 0 && full == 0 {
		g.bad("goal.top-nines", "must be above 0 where goal.nines-part is")
	}
}

// Asking tells whether the server list comes only when it is asked for.
func Asking(g Given) bool { return g.Text("discovery", "") == "ask" }

// MessageTarget is the shortest time in which a message is wanted.
func MessageTarget(g Given) (shortest time.Duration) {
	messages := g.Figures("family-info.message-aim")
	for i := range int(g.Figure("service-types.count", 0)) {
		message := g.Span("service-types." + strconv.Itoa(i) + ".setup-target")
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

// Tellings are whether servers tell the loads of connections, and the delay of messages.
func Tellings(g Given) (load, delay bool) {
	return g.Flag("family-info.tells-load"), g.Flag("family-info.tells-delay")
}
