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
	discoveryPolled = "ask"    // keyDiscoveryMode: see DiscoveryIsPolled
	weightsUnstated = "silent" // keyWeights: the endpoint list states no server sizes
	weightsLive     = "live"   // keyWeights: the sizes of the list shrink as servers get requests

	defaultOverloadWindow = 1500 * time.Millisecond
)

// ConfigureBalancer configures a balancer and returns the ids of service types and customers by name. The simulator and
// the real balancer both use it, so that they make the same decisions.
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
	checkAvailabilityNines(settings)
	crossZoneCost := settings.Float(keyCrossZoneCost, 0)
	migrationCost := settings.Float(keyMigrationCost, 0) + settings.Float(keyHandshakeCost, 0)
	weights := settings.String(keyWeights, weightsUnstated)
	b.ConfigurePlacement(crossZoneCost, migrationCost, weights != weightsUnstated)
	if weights == weightsLive {
		b.ConfigureShrinkingSizes()
	}
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

// addCustomers adds the customers with their connection quotas, which apply only if connections beyond them have a
// lower value.
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

// checkAvailabilityNines validates the settings for the platform's valuation of availability, counted in nines: its
// weight and the top number of nines. No decision depends on these settings; they are read so that an invalid value is
// reported.
func checkAvailabilityNines(settings Values) {
	weight := settings.Float(keyNinesWeight, 0)
	full := settings.Float(keyFullNines, 0)
	if weight < 0 {
		settings.fail(keyNinesWeight, "must not be below 0")
	}
	if full < 0 || weight > 0 && full == 0 {
		settings.fail(keyFullNines, "must be above 0 if %s is", keyNinesWeight)
	}
}

// balancerCount returns the number of balancers in the fleet, including this one.
func balancerCount(settings Values) int { return int(settings.Float(keyBalancers, 1)) }

// RetryAfter returns the time after which rejected clients are advised to retry; 0 means no advice.
func RetryAfter(settings Values) time.Duration {
	if !settings.Bool(keyRetryAfterAllowed) {
		return 0
	}
	return settings.Duration(keyMaxRetryAfter)
}

// DiscoveryIsPolled reports whether the balancers call discovery itself, which they share, rather than an agent on
// their machine. Package decide then requests the list at the start and again after each failed update. The daemon
// ignores these requests, as it keeps a watch open in either case.
func DiscoveryIsPolled(settings Values) bool {
	return settings.String(keyDiscoveryMode, "") == discoveryPolled
}

// MinSetupTarget returns the shortest setup target of all service types.
func MinSetupTarget(settings Values) (shortest time.Duration) {
	for _, service := range settings.items(keyServiceTypes) {
		if target := service.Duration(keySetupTarget); shortest == 0 || target < shortest {
			shortest = target
		}
	}
	return shortest
}

// MessageTarget returns the shortest latency objective for messages of all service types. The setup target is the
// default for a type without such an objective; a single objective applies to all types.
func MessageTarget(settings Values) (shortest time.Duration) {
	targets := settings.floats(keyMessageTargets)
	for i, service := range settings.items(keyServiceTypes) {
		target := service.Duration(keySetupTarget)
		switch {
		case len(targets) == 1:
			target = time.Duration(targets[0])
		case i < len(targets) && targets[i] > 0: // 0 means not stated: taken literally, it would make every message late
			target = time.Duration(targets[i])
		}
		if shortest == 0 || target < shortest {
			shortest = target
		}
	}
	return shortest
}

// latencyThresholdDivisor is the ratio of the latency objective for messages to the latency threshold.
const latencyThresholdDivisor = 3

// LatencyThreshold returns the latency above which a message counts as late, well below its latency objective.
func LatencyThreshold(settings Values) time.Duration {
	return MessageTarget(settings) / latencyThresholdDivisor
}
