package scale

import (
	"fmt"
	"slices"
)

// Mechanisms that keep requirements.
const (
	mechanismCandidates         = "bounded candidates, pruned rechecks (`decide`)"
	mechanismDecisionsOnly      = "decisions: " + mechanismCandidates + "; signals, leases, engine: " + noMechanism
	mechanismLeasedHealthChecks = "leases, where switched on: one member checks on behalf of all (`fleet/lease`)"
	mechanismChanges            = "changes on an open watch, the full list on a new one (`internal/protocol`)"
	mechanismOverflow           = "overload threshold: the next server by hash (`decide`)"
	mechanismConnectionBuffers  = "one buffer for each connection (`internal/transport`)"
	mechanismSetupLimit         = "48 in flight over all balancers, at least one each (`decide`)"
	mechanismLineRelay          = "relay of lines (`internal/transport`)"
	mechanismLocalTallies       = "tallies only of groups that are held here (`decide`)"
)

// requirements returns the operators' requirements, in the operators' order.
func (p *page) requirements() []requirement {
	return slices.Concat(
		p.connectionRequirements(),
		p.topicRequirements(),
		p.deliveryRequirements(),
		p.changeRequirements(),
		p.standaloneRequirements(),
		p.peerRequirements(),
		p.failureRequirements(),
	)
}

// connectionRequirements are the requirements on the connections that a balancer holds.
func (p *page) connectionRequirements() []requirement {
	statement := fmt.Sprintf("%s balancers, %s connections", digits(fleetBalancers), digits(fleetConnections))
	return []requirement{
		{
			statement:  statement,
			quantity:   "servers in a list",
			bound:      calculated(maxListedServers, inCount),
			values:     forEachServerCount(func(servers float64) figure { return calculated(servers, inCount) }),
			mechanism:  "bound on the length of a list (`internal/protocol`)",
			dependents: "every decision: a longer list is refused completely (`maxServers`)",
		},
		{
			statement: statement,
			quantity:  fmt.Sprintf("memory of the data path at %s connections", digits(connectionsPerBalancer)),
			values:    single(p.connectionMemory(connectionsPerBalancer)),
			mechanism: mechanismConnectionBuffers,
		},
		{
			statement:  statement,
			quantity:   "connection setups in flight at a balancer",
			bound:      calculated(setupLimit(), inCount),
			values:     single(calculated((ordinaryPlacementRate+replacementPlacementRate)*setupSeconds, inCount)),
			mechanism:  mechanismSetupLimit,
			proposal:   "the 48 distributed by need, under leases",
			dependents: "every arrival: those beyond wait, and are rejected at their setup target",
		},
	}
}

// topicRequirements are the requirements on groups and the largest topic.
func (p *page) topicRequirements() []requirement {
	statement := fmt.Sprintf("%s shards, %s listeners of the largest topic", digits(fleetShards), digits(largestTopic))
	return []requirement{
		{
			statement:  statement,
			quantity:   fmt.Sprintf("memory of tallies for %s groups at a balancer", digits(groupsPerBalancer())),
			bound:      calculated(controlBytes, inBytes),
			values:     single(p.groupMemory()),
			mechanism:  mechanismLocalTallies,
			dependents: "groups kept together",
		},
		{
			statement:  statement,
			quantity:   "most loaded server relative to the mean, with the largest topic, without load reports",
			bound:      calculated(overloadFactor, inCount),
			values:     single(p.valueAt(topicUnevenness, fleetBalancers)),
			mechanism:  mechanismOverflow,
			proposal:   "several preferred servers for one topic, by its published size",
			dependents: "the largest topics",
		},
	}
}

// deliveryRequirements are the requirements on the data path.
func (p *page) deliveryRequirements() []requirement {
	statement := fmt.Sprintf("%s deliveries a second, 99 in 100 within %s", digits(fleetDeliveryRate), seconds(deliveryLimitSeconds))
	return []requirement{
		{
			statement: statement,
			quantity:  fmt.Sprintf("processor time of %s at a balancer", show(deliveryRatePerBalancer, inRate)),
			values:    single(p.valueAt(realDeliveryTime, connectionsPerBalancer).times(deliveryRatePerBalancer, inCores)),
			mechanism: mechanismLineRelay,
		},
		{
			statement:  statement,
			quantity:   "delay of 99 in 100",
			bound:      calculated(deliveryLimitSeconds, inSeconds),
			values:     single(unmeasured("delay of deliveries")),
			proposal:   "to be measured first, through a real process under load",
			dependents: "the latency promised to listeners; only the balancer's part can be measured here",
		},
	}
}

// changeRequirements are the requirements on changes of the list.
func (p *page) changeRequirements() []requirement {
	statement := fmt.Sprintf("%s changes a day in force everywhere within %s", digits(changesPerDay), seconds(changeLimitSeconds))
	return []requirement{
		{
			statement:  statement,
			quantity:   "99 in 100 in force, pushed by 20 machines",
			bound:      calculated(changeLimitSeconds, inSeconds),
			values:     single(p.valueAt(changeP99Latency, changesPerDay)),
			mechanism:  mechanismChanges,
			dependents: "disabled servers, drains and each rolling restart of servers",
		},
		{
			statement:  statement,
			quantity:   "the last in force, pushed in this way",
			bound:      calculated(changeLimitSeconds, inSeconds),
			values:     single(p.valueAt(changeMaxLatency, changesPerDay)),
			mechanism:  mechanismChanges,
			dependents: "disabled servers, drains and each rolling restart of servers",
		},
		{
			statement: statement,
			quantity:  fmt.Sprintf("a full list for a balancer that starts without state, within %s", show(controlTraffic, inTraffic)),
			bound:     calculated(changeLimitSeconds, inSeconds),
			values: forEachServerCount(func(servers float64) figure {
				return p.valueAt(listBytes, servers).times(1/controlTraffic, inSeconds)
			}),
			proposal:   "a list that survives the restart, and changes since its revision; the limit of traffic as an average",
			dependents: fmt.Sprintf("%s starts a day", digits(replacementsPerDay)),
		},
		{
			statement:  statement,
			quantity:   "the last in force while regions are partitioned for an hour",
			bound:      calculated(changeLimitSeconds, inSeconds),
			values:     single(calculated(partitionSeconds, inSeconds)),
			infeasible: true,
		},
	}
}

// controlStatement is the operators' statement of a balancer's budget for control.
func controlStatement() string {
	return fmt.Sprintf("control: %s, %s and %s a balancer",
		show(controlCores, inCores), show(controlBytes, inBytes), show(controlTraffic, inTraffic))
}

// standaloneRequirements are the requirements on control in a balancer without peers.
func (p *page) standaloneRequirements() []requirement {
	statement := controlStatement()
	return []requirement{
		{
			statement: statement,
			quantity:  "processor time while idle, no peers, without load reports (as shipped)",
			bound:     calculated(controlCores, inCores),
			values: forEachServerCount(func(servers float64) figure {
				return p.standaloneProcessor(situations(servers)[situationIdle], servers)
			}),
			mechanism:  mechanismCandidates,
			dependents: "every balancer, at all times",
		},
		{
			statement:  statement,
			quantity:   "the same on the ordinary day",
			bound:      calculated(controlCores, inCores),
			values:     forEachServerCount(func(servers float64) figure { return p.standaloneProcessor(ordinaryDay(servers), servers) }),
			mechanism:  mechanismCandidates,
			dependents: "every balancer, at all times",
		},
		{
			statement: statement,
			quantity: fmt.Sprintf("a real process with 1,000 servers and %s idle connections, its data path too; "+
				"beyond 6,000 by its fit, while rechecks are bounded", digits(connectionsPerBalancer)),
			values:    single(p.valueAt(realConnectionTime, connectionsPerBalancer)),
			mechanism: mechanismCandidates,
		},
		{
			statement:  statement,
			quantity:   "memory while idle, no peers",
			bound:      calculated(controlBytes, inBytes),
			values:     forEachServerCount(p.standaloneMemory),
			mechanism:  mechanismLocalTallies,
			dependents: "every balancer, at all times",
		},
		{
			statement:  statement,
			quantity:   "memory while idle, no peers, with a heap that grows to twice its live part before it is collected",
			bound:      calculated(controlBytes, inBytes),
			values:     forEachServerCount(func(servers float64) figure { return p.standaloneMemory(servers).times(heapGrowth, inBytes) }),
			mechanism:  "`limits.memory_mb` makes garbage collection start sooner, for more processor time",
			proposal:   "more compact records of flows",
			dependents: "every balancer, at all times",
		},
	}
}

// peerRequirements are the requirements on control in a balancer with peers, and on control machines.
func (p *page) peerRequirements() []requirement {
	statement := controlStatement()
	return []requirement{
		{
			statement:  statement,
			quantity:   "processor time with peers, signals and leases, ordinary day",
			bound:      calculated(controlCores, inCores),
			values:     forEachServerCount(func(servers float64) figure { return p.controlProcessor(ordinaryDay(servers), servers) }),
			mechanism:  mechanismDecisionsOnly,
			proposal:   "see its parts",
			dependents: "all decisions: placement after a loss, rechecks, migrations",
		},
		{
			statement:  statement,
			quantity:   "rechecks alone with evenly spread connections, so that none can lead to a migration",
			bound:      calculated(controlCores, inCores),
			values:     forEachServerCount(func(servers float64) figure { return p.idleRecheckProcessor(connectionsPerBalancer, servers) }),
			mechanism:  mechanismCandidates,
			dependents: "every balancer, at all times",
		},
		{
			statement:  statement,
			quantity:   "memory with peers, signals and leases",
			bound:      calculated(controlBytes, inBytes),
			values:     forEachServerCount(p.controlMemory),
			proposal:   "see its parts",
			dependents: "the list, the tallies and the members at each balancer",
		},
		{
			statement:  statement,
			quantity:   "traffic with peers, signals and leases",
			bound:      calculated(controlTraffic, inTraffic),
			values:     forEachServerCount(func(servers float64) figure { return p.controlTrafficOf(ordinaryDay(servers), servers) }),
			proposal:   "gossip in groups of a zone, aggregates between groups",
			dependents: "members, signals, leases of health checks",
		},
		{
			statement: statement,
			quantity:  "traffic of health checks alone, without leases",
			bound:     calculated(controlTraffic, inTraffic),
			values: forEachServerCount(func(servers float64) figure {
				return calculated(healthCheckRateWithoutLeases(servers, ordinaryPlacementRate+replacementPlacementRate)*healthCheckBytes/2, inTraffic)
			}),
			mechanism:  mechanismLeasedHealthChecks,
			proposal:   "leases that work at this size",
			dependents: "load reports, where servers answer health checks with them",
		},
		{
			statement:  fmt.Sprintf("%s machines for control", digits(fleetControlMachines)),
			quantity:   fmt.Sprintf("processor time and memory of one, for %s balancers", digits(balancersPerControlMachine)),
			values:     single(unmeasured("control machines")),
			dependents: "distribution of changes, full lists for balancers that start, catch-up after a partition",
		},
	}
}

// failureRequirements are the requirements on replaced and failed machines, racks and zones.
func (p *page) failureRequirements() []requirement {
	zoneStatement := "a zone lost once or twice a year"
	whileReconnecting := fmt.Sprintf("while %s clients reconnect to a balancer within %s", digits(zoneTakeover), seconds(reconnectSeconds))
	return []requirement{
		{
			statement:  fmt.Sprintf("%s machines fail, %s are replaced a day", digits(failuresPerDay), digits(replacementsPerDay)),
			quantity:   "processor time of decisions for their clients",
			bound:      calculated(controlCores, inCores),
			values:     forEachServerCount(p.replacementProcessor),
			mechanism:  mechanismCandidates,
			dependents: "the ordinary day",
		},
		{
			statement:  "a rack or switch lost weekly",
			quantity:   fmt.Sprintf("processor time of decisions while %s clients reconnect to a balancer", digits(rackTakeover)),
			bound:      calculated(1, inCores),
			values:     forEachServerCount(func(servers float64) figure { return p.burstProcessor(rackTakeover, servers) }),
			mechanism:  mechanismCandidates,
			dependents: "each week's loss",
		},
		{
			statement: zoneStatement,
			quantity:  "processor time of all control " + whileReconnecting,
			bound:     calculated(1, inCores),
			values: forEachServerCount(func(servers float64) figure {
				return p.controlProcessor(situations(servers)[situationZoneLost], servers)
			}),
			mechanism:  mechanismDecisionsOnly,
			proposal:   "see its parts",
			dependents: "the loss of a zone",
		},
		{
			statement:  zoneStatement,
			quantity:   "connection setups in flight " + whileReconnecting,
			bound:      calculated(setupLimit(), inCount),
			values:     single(calculated(zoneTakeover/reconnectSeconds*setupSeconds, inCount)),
			proposal:   "the 48 distributed by need, under leases; a bound derived from the answers of the servers' store",
			dependents: "the loss of a zone or a rack, a cold start, each mass reconnect",
		},
	}
}

// serversFilledByTopic is how many servers the listeners of the largest topic fill, each with the mean number of
// connections.
func serversFilledByTopic(servers float64) figure {
	return calculated(largestTopic/(fleetConnections/servers), inCount)
}

// designRequirements are limits of the design, which its own parts exceed at the size of the planned fleet.
func (p *page) designRequirements() []requirement {
	statement := "limits of the design"
	zonedGossip := "gossip in groups of a zone, aggregates between groups"
	return []requirement{
		{
			statement:  statement,
			quantity:   "time between two publications by the holder of a lease, which lasts 6 s",
			bound:      calculated(leaseLength, inSeconds),
			values:     single(p.valueAt(loadAge, fleetBalancers)),
			proposal:   "publication to its zone at once, not with the next record",
			dependents: "health checks by one on behalf of all: nobody learns of a lease in time, and others take over",
		},
		{
			statement:  statement,
			quantity:   "age of a load report, fetched by one member on behalf of all, when it is published again",
			bound:      calculated(healthCheckRound, inSeconds),
			values:     single(p.valueAt(loadAge, fleetBalancers)),
			proposal:   "publication to its zone at once, not with the next record",
			dependents: "load reports with leases: a published load expires long before the next one",
		},
		{
			statement:  statement,
			quantity:   "members that hold one lease at a time",
			bound:      calculated(1, inCount),
			values:     single(p.valueAt(leaseHolders, fleetBalancers)),
			proposal:   "publication to its zone at once, not with the next record",
			dependents: "health checks by one on behalf of all",
		},
		{
			statement:  statement,
			quantity:   "members for each one that has a record within 5 s of its publication",
			bound:      calculated(1, inCount),
			values:     single(calculated(1, inCount).dividedBy(p.valueAt(signalReachedShare, fleetBalancers), inCount)),
			proposal:   zonedGossip,
			dependents: "fault observations, which are valid for 5 s",
		},
		{
			statement:  statement,
			quantity:   "members, compared with the records that one retains",
			bound:      p.valueAt(retainedRecords, fleetBalancers),
			values:     single(calculated(fleetBalancers, inCount)),
			proposal:   zonedGossip,
			dependents: "what a balancer knows of all others",
		},
	}
}
