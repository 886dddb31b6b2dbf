package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/interp"
)

// seriesReference names a series that figures are derived from.
type seriesReference struct {
	name     string
	optional bool // without the series its figures are "not measured"; any other series is required
}

// The series of simulated balancers and of the gossip model.
var (
	placementTime                  = seriesReference{"placement.processor-time.by-servers", false}
	placementTimeByConnections     = seriesReference{"placement.processor-time.by-connections-at-1000-servers", false}
	idleRecheckTime                = seriesReference{"rechecks.core-share.by-servers", false}
	idleRecheckTimeByConnections   = seriesReference{"rechecks.core-share.by-connections-at-1000-servers", false}
	unevenRecheckTime              = seriesReference{"rechecks.core-share-uneven.by-servers", false}
	unevenRecheckTimeByConnections = seriesReference{"rechecks.core-share-uneven.by-connections-at-1000-servers", false}
	lostZoneHalfRecovered          = seriesReference{"lost-zone.half-back.by-connections-at-1000-servers", false}
	lostZoneMostRecovered          = seriesReference{"lost-zone.most-back.by-connections-at-1000-servers", false}
	lostZoneRejections             = seriesReference{"lost-zone.turned-away.by-connections-at-1000-servers", false}
	lostZoneUnserved               = seriesReference{"lost-zone.unserved.by-connections-at-1000-servers", false}
	lostZoneBusiest                = seriesReference{"lost-zone.busiest.by-connections-at-1000-servers", false}
	lostZoneClients                = seriesReference{"lost-zone.clients.by-connections-at-1000-servers", false}
	lostZoneProcessor              = seriesReference{"lost-zone.processor-share.by-connections-at-1000-servers", false}
	decisionGroupMemory            = seriesReference{"groups.memory.by-groups-at-1000-servers", false}
	decisionListMemory             = seriesReference{"list.memory.by-servers", false}
	topicUnevenness                = seriesReference{"topic.unevenness.by-balancers-at-1000-servers", false}
	topicServers                   = seriesReference{"topic.servers.by-balancers-at-1000-servers", false}
	topicLargestShare              = seriesReference{"topic.share-of-the-fullest.by-balancers-at-1000-servers", false}

	listMemory                  = seriesReference{"lists.memory", false}
	listBytes                   = seriesReference{"lists.whole-bytes", false}
	listTime                    = seriesReference{"lists.whole-processor", false}
	changeBytes                 = seriesReference{"lists.change-bytes", false}
	changeTime                  = seriesReference{"lists.change-processor", false}
	changeP99Latency            = seriesReference{"changes.changes-p99", false}
	changeMaxLatency            = seriesReference{"changes.changes-last", false}
	changeMaxLatencyByServers   = seriesReference{"changes.changes-last-by-servers", false}
	fullListMaxLatencyByServers = seriesReference{"changes.whole-last-by-servers", false}
	changeTakeoverTime          = seriesReference{"changes.changes-half-lost-served", false}
	machineUtilization          = seriesReference{"changes.changes-busy", false}
	machineFullListUtilization  = seriesReference{"changes.whole-busy", false}
	fullListMaxLatency          = seriesReference{"changes.whole-last", false}
	changeHalfLostLatency       = seriesReference{"changes.changes-half-lost-last", false}
	startMaxLatency             = seriesReference{"changes.changes-start-last", true}
	machineChangeTraffic        = seriesReference{"changes.changes-bytes-out", false}
	machineFullListTraffic      = seriesReference{"changes.whole-bytes-out", false}
	catchUpBytes                = seriesReference{"cut.merged-bytes", false}
	catchUpOneByOneBytes        = seriesReference{"cut.one-by-one-bytes", false}
	catchUpTime                 = seriesReference{"cut.merged-processor", false}
	catchUpLatency              = seriesReference{"cut.merged-in-force", false}

	signalTraffic             = seriesReference{"members.gossip-bytes-out-at-48-sights", false}
	signalRecords             = seriesReference{"members.records-heard-at-48-sights", false}
	signalReceiveTime         = seriesReference{"signals.hear-processor", false}
	signalAggregateTime       = seriesReference{"signals.gather-core", false}
	signalPublishTime         = seriesReference{"signals.tell-core", false}
	signalExchangeTime        = seriesReference{"signals.hand-on-core", false}
	signalOwnMemory           = seriesReference{"signals.own-memory", false}
	signalReceivedMemory      = seriesReference{"signals.heard-memory", false}
	leaseScoringTime          = seriesReference{"leases.reckoning-core", false}
	leaseScoringTimeByServers = seriesReference{"leases.reckoning-core-by-servers", false}
	leaseMembershipTime       = seriesReference{"members.view-processor", false}
	leaseMemory               = seriesReference{"leases.memory", false}
	loadAge                   = seriesReference{"leases.load-age", false}
	signalReachedShare        = seriesReference{"members.reach-at-48-sights", false}
	zonedTraffic              = seriesReference{"members-zoned.bytes-out", false}
	zonedReachedShare         = seriesReference{"members-zoned.reach", false}
	retainedRecords           = seriesReference{"signals.records-kept", false}
	leaseHolders              = seriesReference{"leases.holders", false}
	engineMessages            = seriesReference{"members.datagrams-out-at-48-sights", false}
	probeTraffic              = seriesReference{"members.probe-bytes-out-at-48-sights", false}
	exchangeTraffic           = seriesReference{"members.exchange-bytes-out-at-48-sights", false}
	exchangeTime              = seriesReference{"members.exchange-processor", false}
	frameTime                 = seriesReference{"members.frame-processor", false}
	engineMemory              = seriesReference{"members.engine-memory", false}
)

// The series of real processes.
var (
	realStartTime        = seriesReference{"real.servers.start", false}
	realConnectionMemory = seriesReference{"real.connections.1000-servers.private", false}
	realConnectionTime   = seriesReference{"real.connections.1000-servers.processor", false}
	realDeliveryTime     = seriesReference{"real.deliveries.processor", false}
	realPlacementsTime   = seriesReference{"real.placements.processor", false}
)

const (
	millisecond = 1e-3
	kibibyte    = 1024.0
	percent     = 0.01
	sameSize    = 1e-3 // relative distance within which two sizes are equal
)

// pageUnit converts a unit of a series to a unit of a figure.
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

// valueAt is the value of a series at a size: interpolated between neighbouring points inside the range of sizes, by
// the fit outside of it. A series that only the baseline has is marked so. The first fault is kept in p.err.
func (p *page) valueAt(of seriesReference, size float64) figure {
	found, old := p.findSeries(of.name)
	if found == nil {
		if !of.optional {
			p.fail(&Error{Where: p.current.folder + ": series " + of.name, What: "is missing",
				Remedy: "run the experiment that gives it; testbed scale list names them"})
		}
		return unmeasured(of.name)
	}
	known, ok := pageUnits[found.Unit]
	if !ok {
		known = pageUnit{1, unit(found.Unit)}
	}
	result := figure{unit: known.unit, origin: found.Origin, series: []string{of.name}, fromBaseline: old}
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
	result.fitError = found.Fit.absoluteError()
	return result.derived()
}

// between interpolates linearly between the two points around a size.
func (e *reportedSeries) between(size float64) float64 {
	var lines interp.PiecewiseLinear
	sizes, values := pointColumns(e.Points)
	if err := lines.Fit(sizes, values); err != nil { // there is a single point, which is at that size
		return values[0]
	}
	return lines.Predict(size)
}

// findSeries returns a series of the current code, else of the baseline.
func (p *page) findSeries(name string) (found *reportedSeries, old bool) {
	if now := p.current.series[name]; now != nil {
		return now, false
	}
	return p.baseline.series[name], true
}

func (p *page) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (e *reportedSeries) measuredAt(size float64) (value float64, ok bool) {
	for _, point := range e.Points {
		if point.Size == size {
			return point.Value, true
		}
	}
	return 0, false
}

func (e *reportedSeries) largest() float64 { return e.Points[len(e.Points)-1].Size }

func (e *reportedSeries) rangeText() string {
	return fmt.Sprintf("%s to %s %s", digits(e.Points[0].Size), digits(e.largest()), e.Against)
}

// unmeasured is a figure without a value, for lack of a series.
func unmeasured(what string) figure { return figure{origin: Calculated, missing: []string{what}} }
