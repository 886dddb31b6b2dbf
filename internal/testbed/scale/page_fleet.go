package scale

import "math"

// The fleet ahead, as the operators state it.
const (
	fleetBalancers       = 8_100.0
	fleetConnections     = 640e6
	fleetShards          = 1.9e6
	largestTopic         = 3e6  // listeners
	fleetDeliveries      = 49e6 // a second
	deliverySeconds      = 0.210
	fleetRegions         = 8.0
	fleetZones           = 25.0
	changesADay          = 17_000.0
	changeSeconds        = 16.0
	controlCores         = 0.036 // of a core, a balancer
	controlBytes         = 64e6  // of memory, a balancer
	controlTraffic       = 10e3  // bytes a second, a balancer
	fleetControlMachines = 20.0
	failedADay           = 47.0
	replacedADay         = 2_300.0
	cutSeconds           = 3_600.0
	daySeconds           = 86_400.0
	smallestServers      = 1_000.0
	likelyServers        = 6_400.0
	largestServers       = 12_800.0
	microsecond          = 1e-6
	nanosecond           = 1e-9
)

// What the operators' words leave open. Each stands in the table of assumptions with what changes when it is wrong.
const (
	connectionSeconds = 1_200.0 // mean length of a connection
	reconnectSeconds  = 30.0    // in which the clients of a lost balancer come back
	rackBalancers     = 20.0    // that share a rack or a switch
	setupSeconds      = 0.010   // from the connect to the server's answer, as the hollow balancers have it
	lineBytes         = 200.0   // of a delivery, as the run on real processes sends them
	probeBytes        = 500.0   // of one probe: a connection of ten packets, asked, answered and ended
)

// What follows from both.
const (
	heldConnections     = fleetConnections / fleetBalancers // by one balancer
	zoneBalancers       = fleetBalancers / fleetZones
	zoneConnections     = fleetConnections / fleetZones
	regionBalancers     = fleetBalancers / fleetRegions
	zoneHeirs           = regionBalancers - zoneBalancers // the balancers of the region that are left
	zoneShare           = zoneConnections / zoneHeirs     // connections that each of them takes
	rackShare           = rackBalancers * heldConnections / (regionBalancers - rackBalancers)
	replacementSeconds  = daySeconds / replacedADay // from one replacement to the next
	fleetReconnects     = replacedADay * heldConnections / daySeconds
	changeEvery         = daySeconds / changesADay // seconds
	changeRate          = changesADay / daySeconds
	changeMessages      = changeRate * fleetBalancers // a second over the fleet
	missedChanges       = changeRate * cutSeconds
	heldDeliveries      = fleetDeliveries / fleetBalancers
	heldListeners       = largestTopic / fleetBalancers
	restingPlacements   = heldConnections / connectionSeconds
	replacedPlacements  = fleetReconnects / fleetBalancers
	balancersAMachine   = fleetBalancers / fleetControlMachines
	failureSeconds      = daySeconds / failedADay
	replacedAnHour      = replacedADay * cutSeconds / daySeconds
	memberChangesAtRest = 2 * replacedADay / daySeconds // a leave and a join each
)

// groupsSeen is how many of the fleet's shards a balancer has a listener of when each of its connections is in one
// shard, drawn evenly.
func groupsSeen() float64 {
	return fleetShards * -math.Expm1(-heldConnections/fleetShards)
}

// groupsOfRegion is the same when a shard's listeners are all in one region.
func groupsOfRegion() float64 {
	ofRegion := fleetShards / fleetRegions
	return ofRegion * -math.Expm1(-heldConnections/ofRegion)
}

// Terms of the code that the fleet's size meets. TestTermsOfTheCode compares them with their sources.
const (
	mostListedServers = 16_384.0                // internal/protocol mostServers
	longestListBytes  = mostListedServers * 256 // bytes; internal/protocol longestList
	allSetupsOut      = 48.0                    // decide allSetups
	gapABalancer      = 0.008                   // seconds; decide shortestGap
	longestGap        = 16.0                    // seconds; decide longestPause
	probeRound        = 15.0                    // seconds; decide reportAge
	recheckRound      = 5.0                     // seconds; decide recheckEvery
	tickSeconds       = 0.250                   // decide tickEvery
	heapGrowth        = 2.0                     // of live memory before it is collected, as the Go runtime does by itself
	leaseLength       = 6.0                     // seconds; docs/membership.md
	probesAFlow       = 4.0                     // decide probesAFlow
	guardFactor       = 1.25                    // decide guard
)

// setupsOut is how many set-ups one balancer may have out at once in the fleet.
func setupsOut() float64 { return max(1, allSetupsOut/fleetBalancers) }

// probesAlone is how many probes a second one balancer sends where no other asks for it: each server once a round, as it
// holds more flows than there are servers, and some for each placement.
func probesAlone(servers, placements float64) float64 {
	return servers/probeRound + probesAFlow*placements
}
