package scale

// situation is the load on one balancer during a period such as an ordinary day or a failure; rates are per second.
type situation struct {
	name              string
	connections       float64 // held
	placements        float64 // rate
	changes           float64 // rate of changes of the list
	membershipChanges float64 // rate of members that join or leave
	members           float64 // that the balancer sees as alive
	deliveries        float64 // rate
	fullLists         float64 // rate of full lists received
	duration          string  // of the situation, as shown
	controlMachines   float64 // in service
}

// Indices of the first results of situations.
const (
	situationIdle = iota
	situationOrdinaryDay
	situationMachineLost
	situationRackLost
	situationZoneLost
)

// situations returns an idle balancer, an ordinary day, each failure as a surviving balancer of the affected region sees
// it, and last a balancer that starts without state.
func situations(servers float64) []situation {
	idle := situation{
		name:            "idle",
		connections:     connectionsPerBalancer,
		members:         fleetBalancers,
		controlMachines: fleetControlMachines,
		duration:        "no connection begins or ends",
	}
	day := idle
	day.name = "ordinary day"
	day.duration = "all day"
	day.placements = ordinaryPlacementRate + replacementPlacementRate
	day.changes = changeRate
	day.membershipChanges = ordinaryMembershipChangeRate
	day.deliveries = deliveryRatePerBalancer

	machine := day
	machine.name = "one balancer's machine fails"
	machine.duration = seconds(reconnectSeconds)
	machine.placements += connectionsPerBalancer / (regionBalancers - 1) / reconnectSeconds

	rack := day
	rack.name = "a rack or switch fails"
	rack.duration = seconds(reconnectSeconds)
	rack.connections += rackTakeover
	rack.placements += rackTakeover / reconnectSeconds
	rack.membershipChanges += rackBalancers / reconnectSeconds
	rack.members -= rackBalancers

	zone := day
	zone.name = "a zone fails"
	zone.duration = seconds(reconnectSeconds)
	zone.connections += zoneTakeover
	zone.placements += zoneTakeover / reconnectSeconds
	zone.changes += servers / fleetZones / reconnectSeconds
	zone.membershipChanges += zoneBalancers / reconnectSeconds
	zone.members -= zoneBalancers
	zone.deliveries *= zone.connections / connectionsPerBalancer

	partitioned := day
	partitioned.name = "regions partitioned"
	partitioned.duration = seconds(partitionSeconds)
	partitioned.changes = 0
	partitioned.members = regionBalancers
	partitioned.membershipChanges /= fleetRegions

	halfControl := day
	halfControl.name = "half of the control machines lost"
	halfControl.duration = "until they are back"
	halfControl.controlMachines /= 2

	restarted := day
	restarted.name = "it starts without state"
	restarted.duration = seconds(startupSeconds)
	restarted.placements = connectionsPerBalancer / startupSeconds
	restarted.fullLists = 1 / startupSeconds
	restarted.membershipChanges += fleetBalancers / startupSeconds
	return []situation{idle, day, machine, rack, zone, partitioned, halfControl, restarted}
}

const startupSeconds = 60.0 // within which a balancer that starts without state receives its list, its connections and its members

func seconds(value float64) string { return show(value, inSeconds) }

// load is the cost of a part in a situation.
type load struct {
	messagesIn, messagesOut figure // per second
	bytesIn, bytesOut       figure // per second
	processor               figure // cores
	memory                  figure // bytes
}

func processorOf(l load) figure { return l.processor }
func memoryOf(l load) figure    { return l.memory }
func bytesInOf(l load) figure   { return l.bytesIn }
func bytesOutOf(l load) figure  { return l.bytesOut }

// zeroLoad is the load of a part that does nothing in a situation.
func zeroLoad() load {
	return load{
		messagesIn:  calculated(0, inRate),
		messagesOut: calculated(0, inRate),
		bytesIn:     calculated(0, inTraffic),
		bytesOut:    calculated(0, inTraffic),
		processor:   calculated(0, inCores),
		memory:      calculated(0, inBytes),
	}
}

// unknownLoad is the load of a part for which there are no figures.
func unknownLoad() load {
	absent := unmeasured("")
	return load{absent, absent, absent, absent, absent, absent}
}

// situationsTable shows the load on one balancer in each situation.
func situationsTable() *table {
	t := newTable("situation", "lasts", "connections", "placements a second", "changes of the list a second",
		"members that join or leave a second", "live members", "deliveries a second")
	for _, s := range situations(likelyServers) {
		t.addRow(s.name, s.duration, digits(s.connections), digits(s.placements), digits(s.changes+s.fullLists), digits(s.membershipChanges),
			digits(s.members), digits(s.deliveries))
	}
	return t
}
