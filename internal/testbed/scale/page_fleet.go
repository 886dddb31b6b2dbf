package scale

import "math"

// The fleet that the operators require.
const (
	fleetBalancers       = 8_100.0
	fleetConnections     = 640e6
	fleetShards          = 1.9e6
	largestTopic         = 3e6  // listeners
	fleetDeliveries      = 49e6 // per second
	deliverySeconds      = 0.210
	fleetRegions         = 8.0
	fleetZones           = 25.0
	changesPerDay        = 17_000.0
	changeSeconds        = 16.0
	controlCores         = 0.036 // of a core, per balancer
	controlBytes         = 64e6  // of memory, per balancer
	controlTraffic       = 10e3  // bytes per second, per balancer
	fleetControlMachines = 20.0
	failuresPerDay       = 47.0
	replacementsPerDay   = 2_300.0
	partitionSeconds     = 3_600.0
	daySeconds           = 86_400.0
	smallestServers      = 1_000.0
	likelyServers        = 6_400.0
	largestServers       = 12_800.0
	microsecond          = 1e-6
	nanosecond           = 1e-9
)

// Assumptions where the requirements leave something open; assumptionsTable states the effect of each.
const (
	connectionSeconds = 1_200.0 // mean duration of a connection
	reconnectSeconds  = 30.0    // in which the clients of a lost balancer return
	rackBalancers     = 20.0    // behind one rack or switch
	setupSeconds      = 0.010   // from the connect to the server's answer, as in the simulation
	lineBytes         = 200.0   // of a delivery, as in the sweeps on real processes
	healthCheckBytes  = 500.0   // of one health check: a connection of ten packets
)

// Values derived from both.
const (
	connectionsPerBalancer    = fleetConnections / fleetBalancers
	zoneBalancers             = fleetBalancers / fleetZones
	zoneConnections           = fleetConnections / fleetZones
	regionBalancers           = fleetBalancers / fleetRegions
	zoneSuccessors            = regionBalancers - zoneBalancers  // the other balancers of the region
	zoneShare                 = zoneConnections / zoneSuccessors // connections that each of them takes over
	rackShare                 = rackBalancers * connectionsPerBalancer / (regionBalancers - rackBalancers)
	replacementSeconds        = daySeconds / replacementsPerDay // between two replacements
	fleetReconnects           = replacementsPerDay * connectionsPerBalancer / daySeconds
	changeInterval            = daySeconds / changesPerDay // seconds
	changeRate                = changesPerDay / daySeconds
	changeMessages            = changeRate * fleetBalancers // per second over the fleet
	missedChanges             = changeRate * partitionSeconds
	deliveriesPerBalancer     = fleetDeliveries / fleetBalancers
	listenersPerBalancer      = largestTopic / fleetBalancers
	ordinaryPlacements        = connectionsPerBalancer / connectionSeconds
	replacedPlacements        = fleetReconnects / fleetBalancers
	balancersPerMachine       = fleetBalancers / fleetControlMachines
	failureSeconds            = daySeconds / failuresPerDay
	replacementsPerHour       = replacementsPerDay * partitionSeconds / daySeconds
	ordinaryMembershipChanges = 2 * replacementsPerDay / daySeconds // per second; a departure and an arrival each
)

// groupsPerBalancer is the number of shards with a listener at a balancer, when each connection is in one shard at
// random.
func groupsPerBalancer() float64 {
	return fleetShards * -math.Expm1(-connectionsPerBalancer/fleetShards)
}

// groupsPerRegion is the same when a shard's listeners are all in one region.
func groupsPerRegion() float64 {
	ofRegion := fleetShards / fleetRegions
	return ofRegion * -math.Expm1(-connectionsPerBalancer/ofRegion)
}

// Constants of the code that matter at the fleet's size. TestCodeConstantsMatch compares them with their sources.
const (
	maxListedServers    = 16_384.0               // internal/protocol maxServers
	maxListBytes        = maxListedServers * 256 // bytes; internal/protocol maxListBytes
	fleetSetupLimit     = 48.0                   // decide fleetSetupLimit
	gapPerBalancer      = 0.008                  // seconds; decide minSetupSpacing
	maxSetupGap         = 16.0                   // seconds; decide maxSetupSpacing
	healthCheckRound    = 15.0                   // seconds; decide loadReportMaxAge
	heapGrowth          = 2.0                    // of the live heap before it is collected, by the Go runtime's default
	leaseLength         = 6.0                    // seconds; docs/membership.md
	healthChecksPerFlow = 4.0                    // decide checksPerConnect
	overloadFactor      = 1.25                   // decide groupingLoadBound
)

// setupLimit is how many connection setups one balancer of the fleet may have in flight.
func setupLimit() float64 { return max(1, fleetSetupLimit/fleetBalancers) }

// healthCheckRateWithoutLeases is the health checks per second of one balancer when balancers don't share them: each server
// once a round, as it holds more flows than there are servers, and some for each placement.
func healthCheckRateWithoutLeases(servers, placements float64) float64 {
	return servers/healthCheckRound + healthChecksPerFlow*placements
}
