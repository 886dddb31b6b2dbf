package scale

import (
	"context"

	"yardwinch/fleet/signals"
)

const secondsPerDay = 86400

// replacedSweep measures a member's traffic as a function of the members replaced in a day.
func replacedSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleMembership)
	recordBytes, err := recordBytesOf(signals.MaxReports)
	if err != nil {
		return nil, nil, err
	}
	return measurements.forEachSize(progress, func(size int) error {
		run := gossipRun{
			members:         s.Balancers,
			recordBytes:     recordBytes,
			replaced:        float64(size) / secondsPerDay,
			firstJustJoined: true,
			seed:            s.Seed,
		}
		result, err := simulateGossip(ctx, run)
		if err != nil {
			return err
		}
		exchange := streamBytes(len(exchangeMessage(s.Balancers)) + fullStateBytes(s.Balancers, recordBytes))
		join := float64(exchange) * run.replaced / float64(s.Balancers)
		measurements.add(seriesKind{
			name: "bytes-out", unit: unitBytesPerSecond, origin: Simulated, counted: true,
			quantity: "sent by a member in datagrams",
		}, size, result.totalBytes())
		measurements.add(seriesKind{
			name: "join-bytes-out", unit: unitBytesPerSecond, origin: Simulated, counted: true,
			quantity: "sent by a member to those that join, in full state exchanges",
		}, size, join)
		measurements.add(seriesKind{
			name: "states-heard", unit: unitPerSecond, origin: Simulated, counted: true,
			quantity: "messages about dead or live members received by a member, duplicates included",
		}, size, result.states)
		measurements.add(seriesKind{
			name: "reach", unit: unitPart, origin: Simulated, counted: true,
			quantity: "share of the others that have a record within 5 s of its publication",
		}, size, result.reachedShare)
		measurements.add(seriesKind{
			name: "joiner-bytes-out", unit: unitBytesPerSecond, origin: Simulated, counted: true,
			quantity: "sent by a member that has just joined, which passes on every member that it learned of",
		}, size, result.joinerBytes)
		return nil
	})
}

// Reduced gossip that fits a balancer's budget: in groups of a zone or a region, with records of faulty servers only,
// which are published less often while all servers are healthy, and with one packet at a time.
const (
	zonedIntervalMultiple = 4
	zonedFanout           = 1
)

// zonedSweep simulates the reduced gossip, which is not implemented, in groups of several sizes.
func zonedSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleMembership)
	recordBytes, err := recordBytesOf(fewReports)
	if err != nil {
		return nil, nil, err
	}
	return measurements.forEachSize(progress, func(size int) error {
		result, err := simulateGossip(ctx, gossipRun{
			members:          size,
			recordBytes:      recordBytes,
			intervalMultiple: zonedIntervalMultiple,
			fanout:           zonedFanout,
			seed:             s.Seed,
		})
		if err != nil {
			return err
		}
		exchange := exchangeBytesPerSecond(size, fullStateBytes(size, recordBytes))
		measurements.add(seriesKind{
			name: "bytes-out", unit: unitBytesPerSecond, origin: Simulated, counted: true,
			quantity: "sent by a member of a group, with reduced gossip: gossip, pings and exchanges",
		}, size, result.totalBytes()+exchange)
		measurements.add(seriesKind{
			name: "reach", unit: unitPart, origin: Simulated, counted: true,
			quantity: "share of the others in the group that have a record within 5 s of its publication",
		}, size, result.reachedShare)
		return nil
	})
}
