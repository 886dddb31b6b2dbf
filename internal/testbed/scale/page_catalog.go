package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/interp"
)

// seriesName is the name of a series that figures are derived from.
type seriesName string

// optionalSeries are the series that may be missing from the reports; all others are required.
var optionalSeries = map[seriesName]bool{startMaxLatency: true}

// The series of simulated balancers, of code measured within one process and of the gossip model.
const (
	placementTime                  seriesName = "placement.processor-time.by-servers"
	placementTimeByConnections     seriesName = "placement.processor-time.by-connections-at-1000-servers"
	idleRecheckTime                seriesName = "rechecks.core-share.by-servers"
	idleRecheckTimeByConnections   seriesName = "rechecks.core-share.by-connections-at-1000-servers"
	unevenRecheckTime              seriesName = "rechecks.core-share-uneven.by-servers"
	unevenRecheckTimeByConnections seriesName = "rechecks.core-share-uneven.by-connections-at-1000-servers"
	lostZoneHalfRecovered          seriesName = "lost-zone.half-back.by-connections-at-1000-servers"
	lostZoneMostRecovered          seriesName = "lost-zone.most-back.by-connections-at-1000-servers"
	lostZoneRejections             seriesName = "lost-zone.turned-away.by-connections-at-1000-servers"
	lostZoneUnserved               seriesName = "lost-zone.unserved.by-connections-at-1000-servers"
	lostZoneBusiest                seriesName = "lost-zone.busiest.by-connections-at-1000-servers"
	lostZoneClients                seriesName = "lost-zone.clients.by-connections-at-1000-servers"
	lostZoneProcessor              seriesName = "lost-zone.processor-share.by-connections-at-1000-servers"
	decisionGroupMemory            seriesName = "groups.memory.by-groups-at-1000-servers"
	decisionListMemory             seriesName = "list.memory.by-servers"
	topicUnevenness                seriesName = "topic.unevenness.by-balancers-at-1000-servers"
	topicServers                   seriesName = "topic.servers.by-balancers-at-1000-servers"
	topicLargestShare              seriesName = "topic.share-of-the-fullest.by-balancers-at-1000-servers"

	listMemory                  seriesName = "lists.memory"
	listBytes                   seriesName = "lists.whole-bytes"
	listTime                    seriesName = "lists.whole-processor"
	changeBytes                 seriesName = "lists.change-bytes"
	changeTime                  seriesName = "lists.change-processor"
	changeP99Latency            seriesName = "changes.changes-p99"
	changeMaxLatency            seriesName = "changes.changes-last"
	changeMaxLatencyByServers   seriesName = "changes.changes-last-by-servers"
	fullListMaxLatencyByServers seriesName = "changes.whole-last-by-servers"
	changeTakeoverTime          seriesName = "changes.changes-half-lost-served"
	machineUtilization          seriesName = "changes.changes-busy"
	machineFullListUtilization  seriesName = "changes.whole-busy"
	fullListMaxLatency          seriesName = "changes.whole-last"
	changeHalfLostLatency       seriesName = "changes.changes-half-lost-last"
	startMaxLatency             seriesName = "changes.changes-start-last"
	machineChangeTraffic        seriesName = "changes.changes-bytes-out"
	machineFullListTraffic      seriesName = "changes.whole-bytes-out"
	catchUpBytes                seriesName = "cut.merged-bytes"
	catchUpOneByOneBytes        seriesName = "cut.one-by-one-bytes"
	catchUpTime                 seriesName = "cut.merged-processor"
	catchUpLatency              seriesName = "cut.merged-in-force"

	signalTraffic             seriesName = "members.gossip-bytes-out-at-48-sights"
	signalRecords             seriesName = "members.records-heard-at-48-sights"
	signalReceiveTime         seriesName = "signals.hear-processor"
	signalAggregateTime       seriesName = "signals.gather-core"
	signalPublishTime         seriesName = "signals.tell-core"
	signalExchangeTime        seriesName = "signals.hand-on-core"
	signalOwnMemory           seriesName = "signals.own-memory"
	signalReceivedMemory      seriesName = "signals.heard-memory"
	leaseScoringTime          seriesName = "leases.reckoning-core"
	leaseScoringTimeByServers seriesName = "leases.reckoning-core-by-servers"
	leaseMembershipTime       seriesName = "members.view-processor"
	leaseMemory               seriesName = "leases.memory"
	loadAge                   seriesName = "leases.load-age"
	signalReachedShare        seriesName = "members.reach-at-48-sights"
	zonedTraffic              seriesName = "members-zoned.bytes-out"
	zonedReachedShare         seriesName = "members-zoned.reach"
	retainedRecords           seriesName = "signals.records-kept"
	leaseHolders              seriesName = "leases.holders"
	engineMessages            seriesName = "members.datagrams-out-at-48-sights"
	probeTraffic              seriesName = "members.probe-bytes-out-at-48-sights"
	exchangeTraffic           seriesName = "members.exchange-bytes-out-at-48-sights"
	exchangeTime              seriesName = "members.exchange-processor"
	frameTime                 seriesName = "members.frame-processor"
	engineMemory              seriesName = "members.engine-memory"
)

// The series of real processes.
const (
	realStartTime        seriesName = "real.servers.start"
	realConnectionMemory seriesName = "real.connections.1000-servers.private"
	realConnectionTime   seriesName = "real.connections.1000-servers.processor"
	realDeliveryTime     seriesName = "real.deliveries.processor"
	realPlacementTime    seriesName = "real.placements.processor"
)

const (
	millisecond   = 1e-3
	kibibyte      = 1024.0
	percent       = 0.01
	sizeTolerance = 1e-3 // relative difference below which a size is taken as the largest one of a series
)

// unitConversion converts values in a unit of a series to a unit of figures.
type unitConversion struct {
	factor float64
	unit   unit
}

// unitConversions holds the conversions by the unit of a series. Figures of series in other units keep that unit.
var unitConversions = map[string]unitConversion{
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
	"attempts":       {1, inCount},
	"records":        {1, inCount},
	"members":        {1, inCount},
	"servers":        {1, inCount},
}

// valueAt returns the value of a series at a size: interpolated between neighbouring points inside the range of sizes,
// extrapolated by the fit outside of it. The figure records whether the series exists in the baseline only. The first
// required series that is missing is reported in p.err.
func (p *page) valueAt(name seriesName, size float64) figure {
	found, fromBaseline := p.findSeries(name)
	if found == nil {
		if !optionalSeries[name] {
			p.recordError(&Error{Where: p.current.directory + ": series " + string(name), What: "is missing",
				Remedy: "run the experiment that yields it; testbed scale list lists the experiments"})
		}
		return unmeasured(string(name))
	}
	conversion, ok := unitConversions[found.Unit]
	if !ok {
		conversion = unitConversion{1, unit(found.Unit)}
	}
	result := figure{unit: conversion.unit, origin: found.Origin, series: []string{string(name)}, fromBaseline: fromBaseline}
	if value, ok := found.pointAt(size); ok {
		result.value = value * conversion.factor
		return result
	}
	if largest := found.largestSize(); math.Abs(size-largest) < sizeTolerance*largest {
		size = largest
	}
	if size >= found.Points[0].Size && size <= found.largestSize() {
		result.value = found.interpolate(size) * conversion.factor
		return result
	}
	if found.FitErr != nil {
		return unmeasured(string(name))
	}
	result.value = found.Fit.At(size) * conversion.factor
	result.fitError = found.Fit.absHeldOutError()
	return result.derived()
}

// interpolate returns the linear interpolation between the two points around a size.
func (s *reportedSeries) interpolate(size float64) float64 {
	var curve interp.PiecewiseLinear
	sizes, values := pointColumns(s.Points)
	if err := curve.Fit(sizes, values); err != nil { // there is a single point, which is at that size
		return values[0]
	}
	return curve.Predict(size)
}

// findSeries returns a series of the current code, or that of the baseline if there is none.
func (p *page) findSeries(name seriesName) (found *reportedSeries, fromBaseline bool) {
	if current := p.current.series[string(name)]; current != nil {
		return current, false
	}
	return p.baseline.series[string(name)], true
}

func (p *page) recordError(err error) {
	if p.err == nil {
		p.err = err
	}
}

// pointAt returns the value of the point at exactly that size.
func (s *reportedSeries) pointAt(size float64) (value float64, ok bool) {
	for _, point := range s.Points {
		if point.Size == size {
			return point.Value, true
		}
	}
	return 0, false
}

func (s *reportedSeries) largestSize() float64 { return s.Points[len(s.Points)-1].Size }

func (s *reportedSeries) rangeText() string {
	return fmt.Sprintf("%s to %s %s", digits(s.Points[0].Size), digits(s.largestSize()), s.Against)
}

// unmeasured is a figure without a value, for lack of a series.
func unmeasured(what string) figure { return figure{origin: Calculated, missing: []string{what}} }
