package scale

import (
	"fmt"
	"slices"
)

// What carries a limit today.
const (
	boundedCandidates = "bounded candidates, pruned rechecks (`decide`)"
	decisionsAlone    = "decisions: " + boundedCandidates + "; signals, leases, engine: " + noMechanism
	leasedProbes      = "leases, where switched on: one asks for all (`fleet/lease`)"
	changesOnly       = "changes on an open watch, the whole list on a new one (`internal/protocol`)"
	overflow          = "overload threshold: on to the next server by hash (`decide`)"
	ownMemory         = "one buffer a connection (`internal/transport`)"
	sharedSetups      = "48 out over all balancers, one at the least (`decide`)"
	lineRelay         = "relay of lines (`internal/session`)"
	ownTallies        = "tallies of groups held here alone (`decide`)"
)

// limits are the operators' limits, in the order of their words.
func (p *page) limits() []limit {
	list := p.connectionLimits()
	list = append(list, p.changeLimits()...)
	list = append(list, p.controlLimits()...)
	return append(list, p.failureLimits()...)
}

func (p *page) connectionLimits() []limit {
	held := fmt.Sprintf("%s balancers, %s connections", digits(fleetBalancers), digits(fleetConnections))
	topics := fmt.Sprintf("%s shards, %s listeners of the largest topic", digits(fleetShards), digits(largestTopic))
	delivered := fmt.Sprintf("%s deliveries a second, 99 in 100 within %s", digits(fleetDeliveries), seconds(deliverySeconds))
	return []limit{
		{
			asked:     held,
			name:      "servers in a list",
			allowed:   reckoned(mostListedServers, inCount),
			worked:    byServersOf(func(servers float64) figure { return reckoned(servers, inCount) }),
			mechanism: "the list's own bound (`internal/protocol`)",
			rests:     "every decision: a longer list is refused whole (`mostServers`)",
		},
		{
			asked:     held,
			name:      fmt.Sprintf("memory of the data path at %s connections", digits(heldConnections)),
			worked:    onlyOne(p.heldMemory(heldConnections)),
			mechanism: ownMemory,
		},
		{
			asked:     held,
			name:      "set-ups out at once at a balancer",
			allowed:   reckoned(setupsOut(), inCount),
			worked:    onlyOne(reckoned((restingPlacements+replacedPlacements)*setupSeconds, inCount)),
			mechanism: sharedSetups,
			wants:     "shares of the 48 by need, leased",
			rests:     "every arrival: those beyond wait, and are turned away at their setup target",
		},
		{
			asked:     topics,
			name:      fmt.Sprintf("memory of tallies for %s groups at a balancer", digits(groupsSeen())),
			allowed:   reckoned(controlBytes, inBytes),
			worked:    onlyOne(p.groupMemory()),
			mechanism: ownTallies,
			rests:     "groups kept together",
		},
		{
			asked:     topics,
			name:      "the fullest server over the mean, with the largest topic, servers that tell no load",
			allowed:   reckoned(guardFactor, inCount),
			worked:    onlyOne(p.at(topicUneven, fleetBalancers)),
			mechanism: overflow,
			wants:     "a share of one topic for each of several homes, by its told size",
			rests:     "the largest topics",
		},
		{
			asked:     delivered,
			name:      fmt.Sprintf("processor time of %s at a balancer", show(heldDeliveries, inRate)),
			worked:    onlyOne(p.at(realDeliveryTime, heldConnections).times(heldDeliveries, inCores)),
			mechanism: lineRelay,
		},
		{
			asked:   delivered,
			name:    "delay of 99 in 100",
			allowed: reckoned(deliverySeconds, inSeconds),
			worked:  onlyOne(unmeasured("delay of deliveries")),
			wants:   "to be measured first, through a real process under load",
			rests:   "the promise to listeners; only the balancer's part of it can be measured here",
		},
	}
}

func (p *page) changeLimits() []limit {
	asked := fmt.Sprintf("%s changes a day in force everywhere within %s", digits(changesADay), seconds(changeSeconds))
	return []limit{
		{
			asked:     asked,
			name:      "99 in 100 in force, told by 20 machines that push",
			allowed:   reckoned(changeSeconds, inSeconds),
			worked:    onlyOne(p.at(changesMost, changesADay)),
			mechanism: changesOnly,
			rests:     "bans, drains and each roll of servers",
		},
		{
			asked:     asked,
			name:      "the last in force, told so",
			allowed:   reckoned(changeSeconds, inSeconds),
			worked:    onlyOne(p.at(changesLast, changesADay)),
			mechanism: changesOnly,
			rests:     "bans, drains and each roll of servers",
		},
		{
			asked:   asked,
			name:    fmt.Sprintf("a whole list for a balancer that starts with nothing, within %s", show(controlTraffic, inTraffic)),
			allowed: reckoned(changeSeconds, inSeconds),
			worked: byServersOf(func(servers float64) figure {
				return p.at(listBytes, servers).times(1/controlTraffic, inSeconds)
			}),
			wants: "a list kept over the restart and changes against its version; the traffic's limit as an average",
			rests: fmt.Sprintf("%s starts a day", digits(replacedADay)),
		},
		{
			asked:   asked,
			name:    "the last in force while regions are apart for an hour",
			allowed: reckoned(changeSeconds, inSeconds),
			worked:  onlyOne(reckoned(cutSeconds, inSeconds)),
			never:   true,
		},
	}
}

// controlLimits are the limits on a balancer's control: without peers, with them, and on the machines beside the balancers.
func (p *page) controlLimits() []limit {
	asked := fmt.Sprintf("control: %s, %s and %s a balancer", show(controlCores, inCores), show(controlBytes, inBytes), show(controlTraffic, inTraffic))
	return slices.Concat(p.aloneLimits(asked), p.peersLimits(asked), p.machineLimits())
}

func (p *page) aloneLimits(asked string) []limit {
	return []limit{
		{
			asked:     asked,
			name:      "processor time at rest, no peers, servers that tell no load (as shipped)",
			allowed:   reckoned(controlCores, inCores),
			worked:    byServersOf(func(servers float64) figure { return p.aloneProcessor(situations(servers)[atRest], servers) }),
			mechanism: boundedCandidates,
			rests:     "every balancer, at all times",
		},
		{
			asked:     asked,
			name:      "the same on the ordinary day",
			allowed:   reckoned(controlCores, inCores),
			worked:    byServersOf(func(servers float64) figure { return p.aloneProcessor(ordinaryDay(servers), servers) }),
			mechanism: boundedCandidates,
			rests:     "every balancer, at all times",
		},
		{
			asked:     asked,
			name:      fmt.Sprintf("a real process with 1,000 servers and %s idle connections, its data path too; past 6,000 by its fit, while rechecks are bounded", digits(heldConnections)),
			worked:    onlyOne(p.at(realHeldTime, heldConnections)),
			mechanism: boundedCandidates,
		},
		{
			asked:     asked,
			name:      "memory at rest, no peers",
			allowed:   reckoned(controlBytes, inBytes),
			worked:    byServersOf(p.aloneMemory),
			mechanism: ownTallies,
			rests:     "every balancer, at all times",
		},
		{
			asked:     asked,
			name:      "memory at rest, no peers, as a heap that has grown to twice its live part before it is collected",
			allowed:   reckoned(controlBytes, inBytes),
			worked:    byServersOf(func(servers float64) figure { return p.aloneMemory(servers).times(heapGrowth, inBytes) }),
			mechanism: "`limits.memory_mb` collects sooner, at a price in processor time",
			wants:     "records of a flow in fewer bytes",
			rests:     "every balancer, at all times",
		},
	}
}

func (p *page) peersLimits(asked string) []limit {
	return []limit{
		{
			asked:     asked,
			name:      "processor time with peers, signals and leases, ordinary day",
			allowed:   reckoned(controlCores, inCores),
			worked:    byServersOf(func(servers float64) figure { return p.controlProcessor(ordinaryDay(servers), servers) }),
			mechanism: decisionsAlone,
			wants:     "see its parts",
			rests:     "all decisions: placement after a loss, rechecks, moves",
		},
		{
			asked:     asked,
			name:      "rechecks alone where connections stand evenly, so that none can win",
			allowed:   reckoned(controlCores, inCores),
			worked:    byServersOf(func(servers float64) figure { return p.restTime(heldConnections, servers) }),
			mechanism: boundedCandidates,
			rests:     "every balancer, at all times",
		},
		{
			asked:   asked,
			name:    "memory with peers, signals and leases",
			allowed: reckoned(controlBytes, inBytes),
			worked:  byServersOf(p.controlMemory),
			wants:   "see its parts",
			rests:   "the list, the tallies and the members at each balancer",
		},
		{
			asked:   asked,
			name:    "traffic with peers, signals and leases",
			allowed: reckoned(controlTraffic, inTraffic),
			worked:  byServersOf(func(servers float64) figure { return p.controlTrafficOf(ordinaryDay(servers), servers) }),
			wants:   "gossip in groups of a zone, sums on the way up",
			rests:   "members, signals, leases of probes",
		},
		{
			asked:   asked,
			name:    "traffic of probes alone, without leases",
			allowed: reckoned(controlTraffic, inTraffic),
			worked: byServersOf(func(servers float64) figure {
				return reckoned(probesAlone(servers, restingPlacements+replacedPlacements)*probeBytes/2, inTraffic)
			}),
			mechanism: leasedProbes,
			wants:     "leases that hold at this size",
			rests:     "told loads, where servers tell them to probes",
		},
	}
}

func (p *page) machineLimits() []limit {
	return []limit{
		{
			asked:  fmt.Sprintf("%s machines for control", digits(fleetControlMachines)),
			name:   fmt.Sprintf("processor time and memory of one, for %s balancers", digits(balancersAMachine)),
			worked: onlyOne(unmeasured("control machines")),
			rests:  "the feed of changes, whole lists for those that start, catching up after a cut",
		},
	}
}

func (p *page) failureLimits() []limit {
	zone := "a zone lost once or twice a year"
	back := fmt.Sprintf("while %s connections come back to a balancer within %s", digits(zoneShare), seconds(reconnectSeconds))
	return []limit{
		{
			asked:     fmt.Sprintf("%s machines fail, %s are replaced a day", digits(failedADay), digits(replacedADay)),
			name:      "processor time of decisions for their clients",
			allowed:   reckoned(controlCores, inCores),
			worked:    byServersOf(p.replacementProcessor),
			mechanism: boundedCandidates,
			rests:     "the ordinary day",
		},
		{
			asked:     "a rack or switch lost weekly",
			name:      fmt.Sprintf("processor time of decisions while %s come back to a balancer", digits(rackShare)),
			allowed:   reckoned(1, inCores),
			worked:    byServersOf(func(servers float64) figure { return p.burstProcessor(rackShare, servers) }),
			mechanism: boundedCandidates,
			rests:     "each week's loss",
		},
		{
			asked:     zone,
			name:      "all of control's processor time " + back,
			allowed:   reckoned(1, inCores),
			worked:    byServersOf(func(servers float64) figure { return p.controlProcessor(situations(servers)[zoneLost], servers) }),
			mechanism: decisionsAlone,
			wants:     "see its parts",
			rests:     "the loss of a zone",
		},
		{
			asked:   zone,
			name:    "set-ups out at once " + back,
			allowed: reckoned(setupsOut(), inCount),
			worked:  onlyOne(reckoned(zoneShare/reconnectSeconds*setupSeconds, inCount)),
			wants:   "shares of the 48 by need, leased; a bound by what the servers' store answers",
			rests:   "the loss of a zone or a rack, a cold start, each mass return",
		},
	}
}

// topicFills is how many servers the listeners of the largest topic fill, at the mean of connections a server.
func topicFills(servers float64) figure {
	return reckoned(largestTopic/(fleetConnections/servers), inCount)
}

// ownTerms are terms of this design that its own parts can't keep at the size.
func (p *page) ownTerms() []limit {
	asked := "the design's own terms"
	zoned := "gossip in groups of a zone, sums on the way up"
	return []limit{
		{
			asked:   asked,
			name:    "time between two words of the holder of a lease, which lasts 6 s",
			allowed: reckoned(leaseLength, inSeconds),
			worked:  onlyOne(p.at(loadAge, fleetBalancers)),
			wants:   "a word to its zone at once, not with the next record",
			rests:   "one probes for all: nobody hears of a lease in time, and others stand in",
		},
		{
			asked:   asked,
			name:    "age of a load that one member probed for all, when it is told again",
			allowed: reckoned(probeRound, inSeconds),
			worked:  onlyOne(p.at(loadAge, fleetBalancers)),
			wants:   "a word to its zone at once, not with the next record",
			rests:   "told loads with leases: the word lapses long before the next one",
		},
		{
			asked:   asked,
			name:    "members that hold one lease at a time",
			allowed: reckoned(1, inCount),
			worked:  onlyOne(p.at(leaseHolders, fleetBalancers)),
			wants:   "a word to its zone at once, not with the next record",
			rests:   "one probes for all",
		},
		{
			asked:   asked,
			name:    "members for each one that has a record within 5 s of its telling",
			allowed: reckoned(1, inCount),
			worked:  onlyOne(reckoned(1, inCount).over(p.at(signalReach, fleetBalancers), inCount)),
			wants:   zoned,
			rests:   "words of trouble, which count for 5 s",
		},
		{
			asked:   asked,
			name:    "members, for the records that one keeps",
			allowed: p.at(recordsHeld, fleetBalancers),
			worked:  onlyOne(reckoned(fleetBalancers, inCount)),
			wants:   zoned,
			rests:   "what a balancer knows of all others",
		},
	}
}
