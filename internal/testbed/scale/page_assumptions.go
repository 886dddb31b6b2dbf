package scale

import "fmt"

// assumptionsTable lists each quantity that the requirements leave open, the value assumed for it, and the effect of a
// wrong assumption.
func (p *page) assumptionsTable() *table {
	const ordinarySetups = ordinaryPlacementRate + replacementPlacementRate
	t := newTable("assumption", "value", "effect when it is wrong")
	t.addRow("connections a server, so servers",
		fmt.Sprintf("%s, %s and %s, so %s, %s and %s servers; one figure is for %s",
			digits(fleetConnections/fewestServers), digits(fleetConnections/likelyServers), digits(fleetConnections/mostServers),
			digits(fewestServers), digits(likelyServers), digits(mostServers), digits(likelyServers)),
		fmt.Sprintf("beyond %s servers the list is refused; health checks, leases and bytes of a list grow with the servers",
			digits(maxListedServers)))
	t.addRow("mean duration of a connection", seconds(connectionSeconds),
		fmt.Sprintf("%s placements a second at each balancer at a duration of 1 min, %s at %s, %s at 2 h; "+
			"processor time of placements is proportional to it",
			digits(connectionsPerBalancer/60), digits(ordinaryPlacementRate), seconds(connectionSeconds), digits(connectionsPerBalancer/7200)))
	t.addRow("clients of lost balancers reconnect", "evenly over "+seconds(reconnectSeconds),
		fmt.Sprintf("a lost zone brings each surviving balancer of the region %s a second; over 10 s %s, over 2 min %s",
			digits(zoneTakeover/reconnectSeconds), digits(zoneTakeover/10), digits(zoneTakeover/120)))
	t.addRow("clients of a lost zone", "reconnect to balancers of their own region",
		fmt.Sprintf("spread over all regions it would be %s each instead of %s",
			digits(zoneConnections/(fleetBalancers-zoneBalancers)), digits(zoneTakeover)))
	t.addRow("regions, zones and balancers",
		fmt.Sprintf("even: %s balancers a region, %s a zone", digits(regionBalancers), digits(zoneBalancers)),
		"a region of two zones loses half; its surviving balancers hold twice as much as before")
	t.addRow("balancers on one rack or switch", digits(rackBalancers),
		fmt.Sprintf("each surviving balancer of the region takes over %s; with 40 on a rack %s", digits(rackTakeover),
			digits(40*connectionsPerBalancer/(regionBalancers-40))))
	t.addRow("duration of a connection setup", seconds(setupSeconds),
		fmt.Sprintf("on the ordinary day a balancer has %s in flight on average; at 50 ms %s, at the setup target of 300 ms %s",
			digits(ordinarySetups*setupSeconds), digits(ordinarySetups*0.050), digits(ordinarySetups*0.300)))
	t.addRow("shards with a group at one balancer",
		fmt.Sprintf("%s: each connection in one shard, drawn evenly over all", digits(groupsPerBalancer())),
		fmt.Sprintf("%s if a shard's listeners are all of one region; fewer if a few shards hold most listeners",
			digits(groupsPerBalancerInRegion())))
	t.addRow("size of an entry of the list", "as the stand-in for discovery writes it",
		"bytes of full lists and changes are proportional to it; a list of more than "+show(maxListBytes, inBytes)+" is refused")
	t.addRow("bytes of one health check",
		fmt.Sprintf("%s: a connection of ten packets, from connect to close, with question and answer", digits(healthCheckBytes)),
		"traffic of health checks is proportional to it")
	t.addRow("control traffic", "what one balancer sends or what it receives, not the sum", "the sum would be twice as much")
	t.addRow("control memory", "live, as the sweeps measure it",
		"the heap of a process grows to twice that before it is collected, unless `limits.memory_mb` limits it")
	t.addRow("MB and KB", "10^6 and 10^3 bytes", "64 MiB would be 5 % more")
	t.addRow("the 20 machines", "publish changes and full lists to the balancers",
		"this project has no program for them; nothing of them is measured")
	return t
}
