package config

import (
	"time"

	"yardwinch/decide"
)

var effects = map[string]decide.Effect{
	"free":        decide.Idempotent,
	"guarded":     decide.IdempotentByKey,
	"single_shot": decide.NotIdempotent,
}

var deduplicationScopes = map[string]decide.DeduplicationScope{
	"all":  decide.DeduplicatedByFleet,
	"zone": decide.DeduplicatedByZone,
	"cell": decide.DeduplicatedByCell,
}

const (
	discoveryPolled = "ask"    // value of keyDiscoveryMode where the endpoint list has to be polled
	weightsUnstated = "silent" // value of keyWeights where the endpoint list states no sizes

	defaultOverloadWindow = 1500 * time.Millisecond
)

// ConfigureBalancer configures the decisions and returns the ids of service types and customers by name. The
// simulator's wire and the real balancer both use it, so that they decide alike.
func ConfigureBalancer(settings Values, b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
	b.ConfigureFlows(int(settings.Float(keyMaxConnects, 1)), RetryAfter(settings))
	services := addServiceTypes(settings, b)
	b.ConfigureSlowStart(decide.SlowStart{
		InitialCapacity:  settings.Float(keyInitialCapacity, 1),
		OverloadMultiple: settings.Float(keyOverloadMultiple, 1),
		WarmUp:           settings.Duration(keyWarmUp),
		Window:           time.Duration(settings.Float(keyOverloadWindow, float64(defaultOverloadWindow))),
		Balancers:        balancerCount(settings),
	})
	b.ConfigureHealthChecks(HealthChecksEnabled(settings))
	checkNines(settings)
	crossZoneCost := settings.Float(keyCrossZoneCost, 0)
	migrationCost := settings.Float(keyMigrationCost, 0) + settings.Float(keyHandshakeCost, 0)
	sizesStated := settings.String(keyWeights, weightsUnstated) != weightsUnstated
	b.ConfigurePlacement(crossZoneCost, migrationCost, sizesStated)
	customers := addCustomers(settings, b)
	b.ConfigureEndpoints(decide.EndpointSettings{
		Zone:            decide.Zone(settings.String(keyZone, "")),
		Polled:          DiscoveryIsPolled(settings),
		MaxPollInterval: settings.Duration(keyMaxPollInterval),
		MessageTarget:   MessageTarget(settings),
	})
	return services, customers
}

func addServiceTypes(settings Values, b *decide.Balancer) map[string]decide.ServiceID {
	ids := map[string]decide.ServiceID{}
	for i, service := range settings.items(keyServiceTypes) {
		ids[service.required(keyServiceName)] = decide.ServiceID(i)
		b.AddService(decide.ServiceType{
			Effect:        enum(service, keyEffect, effects, decide.NotIdempotent),
			Deduplication: enum(service, keyDeduplicationScope, deduplicationScopes, decide.DeduplicatedByCell),
			SetupTarget:   service.Duration(keySetupTarget),
			RetryWindow:   service.Duration(keyRetryWindow),
			Value:         service.Float(keyPriorityWeight, 1),
		})
	}
	return ids
}

// addCustomers adds the customers with their connection quotas, which bind only where connections beyond them are
// worth less.
func addCustomers(settings Values, b *decide.Balancer) map[string]decide.CustomerID {
	ids := map[string]decide.CustomerID{}
	quotas := settings.floats(keyConnectionQuotas)
	for i, customer := range settings.items(keyCustomers) {
		ids[customer.required(keyCustomerName)] = decide.CustomerID(i)
		quota := 0.0
		if i < len(quotas) && settings.Float(keyBeyondQuotaValue, 1) < 1 {
			quota = quotas[i]
		}
		b.AddCustomer(quota)
	}
	return ids
}

// checkNines checks the weight that availability targets have in the platform's valuation. No decision depends on
// them; they are read so that a faulty value is reported.
func checkNines(settings Values) {
	weight := settings.Float(keyNinesWeight, 0)
	full := settings.Float(keyFullNines, 0)
	if weight < 0 {
		settings.fail(keyNinesWeight, "must not be below 0")
	}
	if full < 0 || weight > 0 && full == 0 {
		settings.fail(keyFullNines, "must be above 0 where %s is", keyNinesWeight)
	}
}

// balancerCount is the number of balancers in the fleet, this one too.
func balancerCount(settings Values) int { return int(settings.Float(keyBalancers, 1)) }

// RetryAfter is the time after which rejected clients are advised to retry; 0: none is advised.
func RetryAfter(settings Values) time.Duration {
	if !settings.Bool(keyRetryAfterAllowed) {
		return 0
	}
	return settings.Duration(keyMaxRetryAfter)
}

// DiscoveryIsPolled reports whether the endpoint list comes only when it is polled.
func DiscoveryIsPolled(settings Values) bool {
	return settings.String(keyDiscoveryMode, "") == discoveryPolled
}

// MinSetupTarget is the shortest latency objective for set-ups of all service types.
func MinSetupTarget(settings Values) (shortest time.Duration) {
	for _, service := range settings.items(keyServiceTypes) {
		if target := service.Duration(keySetupTarget); shortest == 0 || target < shortest {
			shortest = target
		}
	}
	return shortest
}

// MessageTarget is the shortest latency objective for messages of all service types. A type without one has that
// of its set-ups; a single one is for all types.
func MessageTarget(settings Values) (shortest time.Duration) {
	targets := settings.floats(keyMessageTargets)
	for i, service := range settings.items(keyServiceTypes) {
		target := service.Duration(keySetupTarget)
		switch {
		case len(targets) == 1:
			target = time.Duration(targets[0])
		case i < len(targets) && targets[i] > 0: // 0 is not stated: as an objective it would make every message late
			target = time.Duration(targets[i])
		}
		if shortest == 0 || target < shortest {
			shortest = target
		}
	}
	return shortest
}

// latencyThresholdDivisor is how many times the latency threshold fits into the latency objective for messages.
const latencyThresholdDivisor = 3

// LatencyThreshold is the latency from which a message counts as late: well before its latency objective is missed.
func LatencyThreshold(settings Values) time.Duration {
	return MessageTarget(settings) / latencyThresholdDivisor
}
