package scale

// situation is the load on one balancer while something lasts; all rates are per second.
type situation struct {
	name              string
	connections       float64 // held
	placements        float64
	changes           float64 // of the list
	membershipChanges float64 // members that join or leave
	members           float64 // observed as alive
	deliveries        float64
	fullLists         float64 // received
	duration          string
	controlMachines   float64 // available
}

// Indices of situations.
const (
	situationIdle = iota
	situationOrdinaryDay
	situationMachineLost
	situationRackLost
	situationZoneLost
)

// situations are an idle and an ordinary day and each failure, for a surviving balancer of the affected region.
func situations(servers float64) []situation {
	idle := situation{name: "at rest", connections: connectionsPerBalancer, members: fleetBalancers, controlMachines: fleetControlMachines, duration: "no connection comes or goes"}
	day := idle
	day.name, day.duration = "ordinary day", "all day"
	day.placements = ordinaryPlacements + replacedPlacements
	day.changes, day.membershipChanges, day.deliveries = changeRate, ordinaryMembershipChanges, deliveriesPerBalancer

	machine := day
	machine.name, machine.duration = "one balancer's machine fails", seconds(reconnectSeconds)
	machine.placements += connectionsPerBalancer / (regionBalancers - 1) / reconnectSeconds

	rack := day
	rack.name, rack.duration = "a rack or switch goes", seconds(reconnectSeconds)
	rack.connections += rackShare
	rack.placements += rackShare / reconnectSeconds
	rack.membershipChanges += rackBalancers / reconnectSeconds
	rack.members -= rackBalancers

	zone := day
	zone.name, zone.duration = "a zone goes", seconds(reconnectSeconds)
	zone.connections += zoneShare
	zone.placements += zoneShare / reconnectSeconds
	zone.changes += servers / fleetZones / reconnectSeconds
	zone.membershipChanges += zoneBalancers / reconnectSeconds
	zone.members -= zoneBalancers
	zone.deliveries *= zone.connections / connectionsPerBalancer

	partitioned := day
	partitioned.name, partitioned.duration = "regions apart", seconds(partitionSeconds)
	partitioned.changes, partitioned.members = 0, regionBalancers
	partitioned.membershipChanges /= fleetRegions

	halfControl := day
	halfControl.name, halfControl.duration = "half of the control machines lost", "until they are back"
	halfControl.controlMachines /= 2

	restarted := day
	restarted.name, restarted.duration = "it starts with nothing", seconds(startupSeconds)
	restarted.placements = connectionsPerBalancer / startupSeconds
	restarted.fullLists = 1 / startupSeconds
	restarted.membershipChanges += fleetBalancers / startupSeconds
	return []situation{idle, day, machine, rack, zone, partitioned, halfControl, restarted}
}

const startupSeconds = 60.0 // in which a balancer that starts without state fills up

func seconds(value float64) string { return show(value, inSeconds) }

// load is the cost of a part in a situation.
type load struct {
	messagesIn, messagesOut figure // per second
	bytesIn, bytesOut       figure // per second
	processor               figure
	memory                  figure
}

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

// unknownLoad is the load of a part without figures.
func unknownLoad() load {
	absent := unmeasured("")
	return load{absent, absent, absent, absent, absent, absent}
}

// situationsTable shows the load on one balancer in each situation.
func situationsTable() *table {
	t := newTable("situation", "lasts", "connections held", "placements a second", "changes of the list a second", "members that come or go a second", "members seen", "deliveries a second")
	for _, s := range situations(likelyServers) {
		t.row(s.name, s.duration, digits(s.connections), digits(s.placements), digits(s.changes+s.fullLists), digits(s.membershipChanges), digits(s.members), digits(s.deliveries))
	}
	return t
}
