package scale

// situation is what one balancer bears while something lasts.
type situation struct {
	name       string
	held       float64 // connections
	placements float64 // a second
	changes    float64 // of the list, a second
	joins      float64 // members that come or go, a second
	members    float64 // that are seen alive
	deliveries float64 // a second
	wholeLists float64 // taken whole, a second
	lasts      string
	machines   float64 // for control, that are there
}

// Places among the situations.
const (
	atRest = iota
	onOrdinaryDay
	machineLost
	rackLost
	zoneLost
)

// situations are at rest, the ordinary day and each failure, for a balancer that lives on in the region that is struck.
func situations(servers float64) []situation {
	rest := situation{name: "at rest", held: heldConnections, members: fleetBalancers, machines: fleetControlMachines, lasts: "no connection comes or goes"}
	day := rest
	day.name, day.lasts = "ordinary day", "all day"
	day.placements = restingPlacements + replacedPlacements
	day.changes, day.joins, day.deliveries = changeRate, memberChangesAtRest, heldDeliveries

	machine := day
	machine.name, machine.lasts = "one balancer's machine fails", seconds(reconnectSeconds)
	machine.placements += heldConnections / (regionBalancers - 1) / reconnectSeconds

	rack := day
	rack.name, rack.lasts = "a rack or switch goes", seconds(reconnectSeconds)
	rack.held += rackShare
	rack.placements += rackShare / reconnectSeconds
	rack.joins += rackBalancers / reconnectSeconds
	rack.members -= rackBalancers

	zone := day
	zone.name, zone.lasts = "a zone goes", seconds(reconnectSeconds)
	zone.held += zoneShare
	zone.placements += zoneShare / reconnectSeconds
	zone.changes += servers / fleetZones / reconnectSeconds
	zone.joins += zoneBalancers / reconnectSeconds
	zone.members -= zoneBalancers
	zone.deliveries *= zone.held / heldConnections

	apart := day
	apart.name, apart.lasts = "regions apart", seconds(cutSeconds)
	apart.changes, apart.members = 0, regionBalancers
	apart.joins /= fleetRegions

	halved := day
	halved.name, halved.lasts = "half of the control machines lost", "until they are back"
	halved.machines /= 2

	anew := day
	anew.name, anew.lasts = "it starts with nothing", seconds(startSeconds)
	anew.placements = heldConnections / startSeconds
	anew.wholeLists = 1 / startSeconds
	anew.joins += fleetBalancers / startSeconds
	return []situation{rest, day, machine, rack, zone, apart, halved, anew}
}

const startSeconds = 60.0 // in which a balancer that starts with nothing is full

func seconds(value float64) string { return show(value, inSeconds) }

// load is what a part takes and gives while a situation lasts.
type load struct {
	messagesIn, messagesOut figure // a second
	bytesIn, bytesOut       figure // a second
	processor               figure
	memory                  figure
}

// noLoad is a load of nought, for a part that does nothing then.
func noLoad() load {
	return load{
		messagesIn:  reckoned(0, inRate),
		messagesOut: reckoned(0, inRate),
		bytesIn:     reckoned(0, inTraffic),
		bytesOut:    reckoned(0, inTraffic),
		processor:   reckoned(0, inCores),
		memory:      reckoned(0, inBytes),
	}
}

// unknownLoad is the load of a part of which nothing was measured.
func unknownLoad() load {
	absent := unmeasured("")
	return load{absent, absent, absent, absent, absent, absent}
}

// situationsTable is what one balancer bears in each situation.
func situationsTable() *table {
	t := newTable("situation", "lasts", "connections held", "placements a second", "changes of the list a second", "members that come or go a second", "members seen", "deliveries a second")
	for _, s := range situations(likelyServers) {
		t.row(s.name, s.lasts, digits(s.held), digits(s.placements), digits(s.changes+s.wholeLists), digits(s.joins), digits(s.members), digits(s.deliveries))
	}
	return t
}
