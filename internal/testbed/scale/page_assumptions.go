package scale

import "fmt"

// assumptionsTable lists what the requirements leave open, what is assumed, and the effect of a wrong assumption.
func (p *page) assumptionsTable() *table {
	const ordinarySetups = ordinaryPlacements + replacedPlacements
	t := newTable("assumption", "taken", "when it is wrong")
	t.row("connections a server, so servers",
		fmt.Sprintf("%s, %s and %s, so %s, %s and %s servers; one figure is for %s",
			digits(fleetConnections/smallestServers), digits(fleetConnections/likelyServers), digits(fleetConnections/largestServers),
			digits(smallestServers), digits(likelyServers), digits(largestServers), digits(likelyServers)),
		fmt.Sprintf("past %s servers the list is refused; probes, leases and bytes of a list grow with the servers",
			digits(maxListedServers)))
	t.row("mean length of a connection", seconds(connectionSeconds),
		fmt.Sprintf("%s placements a second at each balancer at a length of 1 min, %s at %s, %s at 2 h; "+
			"processor time of placements goes with it",
			digits(connectionsPerBalancer/60), digits(ordinaryPlacements), seconds(connectionSeconds), digits(connectionsPerBalancer/7200)))
	t.row("clients of what was lost come back", "evenly over "+seconds(reconnectSeconds),
		fmt.Sprintf("a lost zone brings each heir %s a second; over 10 s %s, over 2 min %s",
			digits(zoneShare/reconnectSeconds), digits(zoneShare/10), digits(zoneShare/120)))
	t.row("clients of a lost zone", "come back to balancers of their own region",
		fmt.Sprintf("taken by all regions it would be %s each in place of %s",
			digits(zoneConnections/(fleetBalancers-zoneBalancers)), digits(zoneShare)))
	t.row("regions, zones and balancers",
		fmt.Sprintf("even: %s balancers a region, %s a zone", digits(regionBalancers), digits(zoneBalancers)),
		"a region of two zones loses half; its heirs take twice what they held")
	t.row("balancers on one rack or switch", digits(rackBalancers),
		fmt.Sprintf("each heir takes %s; with 40 on a rack %s", digits(rackShare), digits(40*connectionsPerBalancer/(regionBalancers-40))))
	t.row("a set-up takes", seconds(setupSeconds),
		fmt.Sprintf("on the ordinary day a balancer has %s out on average; at 50 ms %s, at the setup target of 300 ms %s",
			digits(ordinarySetups*setupSeconds), digits(ordinarySetups*0.050), digits(ordinarySetups*0.300)))
	t.row("groups a balancer sees of the shards",
		fmt.Sprintf("%s: each connection in one shard, drawn evenly over all", digits(groupsPerBalancer())),
		fmt.Sprintf("%s if a shard's listeners are all of one region; fewer if a few shards hold most listeners",
			digits(groupsPerRegion())))
	t.row("size of an entry of the list", "as the stand-in's discovery writes it",
		"bytes of whole lists and changes go with it; a list of more than "+show(maxListBytes, inBytes)+" is refused")
	t.row("bytes of one probe",
		fmt.Sprintf("%s: a connection of ten packets, asked, answered and ended", digits(probeBytes)),
		"traffic of probes goes with it")
	t.row("control's traffic", "what one balancer sends, and what it hears, each for itself", "both together would be twice")
	t.row("control's memory", "live, as the sweeps measure it",
		"the heap of a process grows to twice that before it is collected, unless `limits.memory_mb` holds it down")
	t.row("MB and KB", "10^6 and 10^3 bytes", "64 MiB would be 5 % more")
	t.row("the 20 machines", "tell changes and whole lists to the balancers",
		"this project has no program for them; nothing of theirs is measured")
	return t
}
