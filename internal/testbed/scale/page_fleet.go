package scale

import "math"

// The planned fleet and its limits, as the operators require them, and units of time in seconds.
const (
	fleetBalancers       = 8_100.0
	fleetConnections     = 640e6
	fleetShards          = 1.9e6
	largestTopic         = 3e6   // listeners
	fleetDeliveryRate    = 49e6  // per second
	deliveryLimitSeconds = 0.210 // within which 99 in 100 deliveries arrive
	fleetRegions         = 8.0
	fleetZones           = 25.0
	changesPerDay        = 17_000.0
	changeLimitSeconds   = 16.0  // within which a change of the list is in force everywhere
	controlCores         = 0.036 // cores for control, per balancer
	controlBytes         = 64e6  // bytes of memory for control, per balancer
	controlTraffic       = 10e3  // bytes per second of control traffic, per balancer
	fleetControlMachines = 20.0
	failuresPerDay       = 47.0
	replacementsPerDay   = 2_300.0
	partitionSeconds     = 3_600.0 // for which regions are partitioned
	daySeconds           = 86_400.0
	fewestServers        = 1_000.0 // the operators do not state the number of servers; see assumptionsTable
	likelyServers        = 6_400.0
	mostServers          = 12_800.0
	microsecond          = 1e-6
	nanosecond           = 1e-9
)

// Assumptions where the requirements leave something open; assumptionsTable states the effect of each.
const (
	connectionSeconds = 1_200.0 // mean duration of a connection
	reconnectSeconds  = 30.0    // within which the clients of a lost balancer reconnect, evenly
	rackBalancers     = 20.0    // behind one rack or switch
	setupSeconds      = 0.010   // from the connect to the server's answer, as in the simulation
	lineBytes         = 200.0   // size of a delivery, as in the sweeps on real processes
	healthCheckBytes  = 500.0   // of one health check: a connection of ten packets
)

// Values derived from the fleet and the assumptions. Rates are per second, intervals in seconds.
const (
	connectionsPerBalancer = fleetConnections / fleetBalancers
	zoneBalancers          = fleetBalancers / fleetZones
	zoneConnections        = fleetConnections / fleetZones
	regionBalancers        = fleetBalancers / fleetRegions
	zoneSurvivors          = regionBalancers - zoneBalancers // surviving balancers of the region of a lost zone
	zoneTakeover           = zoneConnections / zoneSurvivors // connections that each of them takes over
	// rackTakeover is the number of connections that each surviving balancer of the region of a lost rack takes over.
	rackTakeover                 = rackBalancers * connectionsPerBalancer / (regionBalancers - rackBalancers)
	replacementInterval          = daySeconds / replacementsPerDay
	fleetReconnectRate           = replacementsPerDay * connectionsPerBalancer / daySeconds
	changeInterval               = daySeconds / changesPerDay
	changeRate                   = changesPerDay / daySeconds
	changeMessageRate            = changeRate * fleetBalancers   // over the fleet
	missedChanges                = changeRate * partitionSeconds // during a partition
	deliveryRatePerBalancer      = fleetDeliveryRate / fleetBalancers
	listenersPerBalancer         = largestTopic / fleetBalancers
	ordinaryPlacementRate        = connectionsPerBalancer / connectionSeconds // at each balancer, without the clients of replaced balancers
	replacementPlacementRate     = fleetReconnectRate / fleetBalancers        // at each balancer
	balancersPerControlMachine   = fleetBalancers / fleetControlMachines
	failureInterval              = daySeconds / failuresPerDay
	replacementsPerHour          = replacementsPerDay * partitionSeconds / daySeconds
	ordinaryMembershipChangeRate = 2 * replacementsPerDay / daySeconds // a departure and an arrival for each replacement
)

// groupsPerBalancer is the expected number of shards with a listener at one balancer, if each connection is in one shard,
// drawn evenly from all.
func groupsPerBalancer() float64 {
	return fleetShards * -math.Expm1(-connectionsPerBalancer/fleetShards)
}

// groupsPerBalancerInRegion is the same number if all listeners of a shard are in one region.
func groupsPerBalancerInRegion() float64 {
	regionShards := fleetShards / fleetRegions
	return regionShards * -math.Expm1(-connectionsPerBalancer/regionShards)
}

// Copies of constants of the code that matter at the fleet's size. TestCodeConstantsMatch compares some of them with their
// sources.
const (
	maxListedServers        = 16_384.0               // internal/protocol maxServers
	maxListBytes            = maxListedServers * 256 // bytes; internal/protocol maxListBytes
	fleetSetupLimit         = 48.0                   // decide fleetSetupLimit
	setupSpacingPerBalancer = 0.008                  // seconds; decide minSetupSpacing
	maxSetupSpacing         = 16.0                   // seconds; decide maxSetupSpacing
	healthCheckRound        = 15.0                   // seconds; decide loadReportMaxAge
	heapGrowth              = 2.0                    // heap size at which the Go runtime collects, by default, relative to the live heap
	leaseLength             = 6.0                    // seconds; docs/membership.md
	healthChecksPerFlow     = 4.0                    // decide checksPerConnect
	overloadFactor          = 1.25                   // decide groupingLoadBound
)

// setupLimit is how many connection setups one balancer of the fleet may have in flight.
func setupLimit() float64 { return max(1, fleetSetupLimit/fleetBalancers) }

// healthCheckRateWithoutLeases is the number of health checks per second of one balancer if no member checks on behalf of
// others: each server once a round, as the balancer holds more flows than there are servers, and healthChecksPerFlow for
// each placement.
func healthCheckRateWithoutLeases(servers, placements float64) float64 {
	return servers/healthCheckRound + healthChecksPerFlow*placements
}
