package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/interp"
)

// slope is a series that rows of the page rest on.
type slope struct {
	name    string
	awaited bool // its rows say "not measured" while no report has it; any other series must be there
}

// The series of hollow balancers and of the members' model.
var (
	placementTime     = slope{"placement.processor-time.by-servers", false}
	placementTimeHeld = slope{"placement.processor-time.by-connections-at-1000-servers", false}
	restTime          = slope{"rechecks.core-share.by-servers", false}
	restTimeHeld      = slope{"rechecks.core-share.by-connections-at-1000-servers", false}
	unevenTime        = slope{"rechecks.core-share-uneven.by-servers", false}
	unevenTimeHeld    = slope{"rechecks.core-share-uneven.by-connections-at-1000-servers", false}
	lostHalfBack      = slope{"lost-zone.half-back.by-connections-at-1000-servers", false}
	lostMostBack      = slope{"lost-zone.most-back.by-connections-at-1000-servers", false}
	lostTurnedAway    = slope{"lost-zone.turned-away.by-connections-at-1000-servers", false}
	lostUnserved      = slope{"lost-zone.unserved.by-connections-at-1000-servers", false}
	lostBusiest       = slope{"lost-zone.busiest.by-connections-at-1000-servers", false}
	lostClients       = slope{"lost-zone.clients.by-connections-at-1000-servers", false}
	lostProcessor     = slope{"lost-zone.processor-share.by-connections-at-1000-servers", false}
	decidedGroups     = slope{"groups.memory.by-groups-at-1000-servers", false}
	decidedList       = slope{"list.memory.by-servers", false}
	topicUneven       = slope{"topic.unevenness.by-balancers-at-1000-servers", false}
	topicServers      = slope{"topic.servers.by-balancers-at-1000-servers", false}
	topicFullest      = slope{"topic.share-of-the-fullest.by-balancers-at-1000-servers", false}

	listMemory       = slope{"lists.memory", false}
	listBytes        = slope{"lists.whole-bytes", false}
	listTime         = slope{"lists.whole-processor", false}
	changeBytes      = slope{"lists.change-bytes", false}
	changeTime       = slope{"lists.change-processor", false}
	changesMost      = slope{"changes.changes-p99", false}
	changesLast      = slope{"changes.changes-last", false}
	changesLastList  = slope{"changes.changes-last-by-servers", false}
	wholeLastList    = slope{"changes.whole-last-by-servers", false}
	changesServed    = slope{"changes.changes-half-lost-served", false}
	machineBusy      = slope{"changes.changes-busy", false}
	machineBusyWhole = slope{"changes.whole-busy", false}
	wholeLast        = slope{"changes.whole-last", false}
	changesHalved    = slope{"changes.changes-half-lost-last", false}
	startLast        = slope{"changes.changes-start-last", true}
	machineTraffic   = slope{"changes.changes-bytes-out", false}
	wholeTraffic     = slope{"changes.whole-bytes-out", false}
	cutBytes         = slope{"cut.merged-bytes", false}
	cutOneByOne      = slope{"cut.one-by-one-bytes", false}
	cutTime          = slope{"cut.merged-processor", false}
	cutInForce       = slope{"cut.merged-in-force", false}

	signalTraffic    = slope{"members.gossip-bytes-out-at-48-sights", false}
	signalMessages   = slope{"members.records-heard-at-48-sights", false}
	signalHear       = slope{"signals.hear-processor", false}
	signalGather     = slope{"signals.gather-core", false}
	signalTell       = slope{"signals.tell-core", false}
	signalHandOn     = slope{"signals.hand-on-core", false}
	signalOwn        = slope{"signals.own-memory", false}
	signalHeard      = slope{"signals.heard-memory", false}
	leaseTime        = slope{"leases.reckoning-core", false}
	leaseTimeServers = slope{"leases.reckoning-core-by-servers", false}
	leaseView        = slope{"members.view-processor", false}
	leaseMemory      = slope{"leases.memory", false}
	loadAge          = slope{"leases.load-age", false}
	signalReach      = slope{"members.reach-at-48-sights", false}
	zonedTraffic     = slope{"members-zoned.bytes-out", false}
	zonedReach       = slope{"members-zoned.reach", false}
	recordsHeld      = slope{"signals.records-kept", false}
	leaseHolders     = slope{"leases.holders", false}
	engineMessages   = slope{"members.datagrams-out-at-48-sights", false}
	probeTraffic     = slope{"members.probe-bytes-out-at-48-sights", false}
	exchangeTraffic  = slope{"members.exchange-bytes-out-at-48-sights", false}
	exchangeTime     = slope{"members.exchange-processor", false}
	frameTime        = slope{"members.frame-processor", false}
	engineMemory     = slope{"members.engine-memory", false}
)

// The series of real processes.
var (
	realListStart      = slope{"real.servers.start", false}
	realHeldMemory     = slope{"real.connections.1000-servers.private", false}
	realHeldTime       = slope{"real.connections.1000-servers.processor", false}
	realDeliveryTime   = slope{"real.deliveries.processor", false}
	realPlacementsTime = slope{"real.placements.processor", false}
)

const (
	millisecond = 1e-3
	kibibyte    = 1024.0
	percent     = 0.01
	sameSize    = 1e-3 // of a size: two that are nearer are the same
)

// pageUnit is a unit that a series may have, with what one of it is in a unit of the page.
type pageUnit struct {
	factor float64
	unit   unit
}

var pageUnits = map[string]pageUnit{
	"µs":             {microsecond, inSeconds},
	"ns":             {nanosecond, inSeconds},
	"ms":             {millisecond, inSeconds},
	"s":              {1, inSeconds},
	"bytes":          {1, inBytes},
	"KiB":            {kibibyte, inBytes},
	"bytes/s":        {1, inTraffic},
	"% of a core":    {percent, inCores},
	"cores":          {1, inCores},
	"part of a core": {1, inCores},
	"1/s":            {1, inRate},
	"part":           {1, inShare},
	"share":          {1, inShare},
	"ratio":          {1, inCount},
	"connects":       {1, inRate},
	"clients":        {1, inCount},
	"tries":          {1, inCount},
	"records":        {1, inCount},
	"members":        {1, inCount},
	"servers":        {1, inCount},
}

// at is the value of a series at a size: as measured inside the range that was, on the line between the neighbours; by the
// fit outside of it. One that was measured before the mechanism alone is marked so. The first fault is kept in p.err.
func (p *page) at(of slope, size float64) figure {
	found, old := p.find(of.name)
	if found == nil {
		if !of.awaited {
			p.fail(&Error{Where: p.after.folder + ": series " + of.name, What: "is missing",
				Remedy: "run the experiment that gives it; testbed scale list names them"})
		}
		return unmeasured(of.name)
	}
	known, ok := pageUnits[found.Unit]
	if !ok {
		known = pageUnit{1, unit(found.Unit)}
	}
	result := figure{unit: known.unit, origin: found.Origin, series: []string{of.name}, old: old}
	if value, ok := found.measuredAt(size); ok {
		result.value = value * known.factor
		return result
	}
	if largest := found.largest(); math.Abs(size-largest) < sameSize*largest {
		size = largest
	}
	if size >= found.Points[0].Size && size <= found.largest() {
		result.value = found.between(size) * known.factor
		return result
	}
	if found.FitErr != nil {
		return unmeasured(of.name)
	}
	result.value = found.Fit.At(size) * known.factor
	result.doubt = found.Fit.doubt()
	return result.worked()
}

// between is on the line between the two points around a size.
func (e *evidence) between(size float64) float64 {
	var lines interp.PiecewiseLinear
	sizes, values := columns(e.Points)
	if err := lines.Fit(sizes, values); err != nil { // a single point, which is at that size
		return values[0]
	}
	return lines.Predict(size)
}

// find is a series with the mechanism, else from before.
func (p *page) find(name string) (found *evidence, old bool) {
	if now := p.after.series[name]; now != nil {
		return now, false
	}
	return p.before.series[name], true
}

func (p *page) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (e *evidence) measuredAt(size float64) (value float64, ok bool) {
	for _, point := range e.Points {
		if point.Size == size {
			return point.Value, true
		}
	}
	return 0, false
}

func (e *evidence) largest() float64 { return e.Points[len(e.Points)-1].Size }

func (e *evidence) rangeText() string {
	return fmt.Sprintf("%s to %s %s", digits(e.Points[0].Size), digits(e.largest()), e.Against)
}

// unmeasured is a figure that rests on what is not there.
func unmeasured(what string) figure { return figure{origin: Reckoned, missing: []string{what}} }
