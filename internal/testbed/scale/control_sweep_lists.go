package scale

import (
	"context"
	"errors"
	"fmt"
)

const (
	roleList            = "balancer control: server list"
	roleControlMachines = "control machines"
	changesPerBatch     = 20 // published one by one in each measurement
	unitSeconds         = "s"
)

// listsSweep measures how a listSubscriber handles a list and its changes, as a function of the servers in the list.
func listsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleList)
	return measurements.forEachSize(progress, func(size int) error {
		return measurements.measureList(ctx, size)
	})
}

// measureList measures one size. A list that is not in force in time fails the check and adds no further points.
func (m *controlMeasurements) measureList(ctx context.Context, size int) error {
	sizes := measureListSizes(size)
	rate := m.settings.Rate
	m.add(seriesKind{
		name: "whole-bytes", unit: unitBytes, origin: Measured, counted: true,
		quantity: "of a full list",
	}, size, float64(sizes.full))
	m.add(seriesKind{
		name: "change-bytes", unit: unitBytes, origin: Measured, counted: true,
		quantity: "of an object with one change",
	}, size, float64(sizes.changes(1)))
	m.add(seriesKind{
		name: "whole-bytes-in", unit: unitBytesPerSecond, origin: Calculated, counted: true,
		quantity: "read by a balancer, were each change sent as a full list",
	}, size, rate*float64(sizes.full))
	m.add(seriesKind{
		name: "change-bytes-in", unit: unitBytesPerSecond, origin: Calculated, counted: true,
		quantity: "read by a balancer, each change sent by itself",
	}, size, rate*float64(sizes.changes(1)))
	m.add(seriesKind{
		name: "whole-at-budget", unit: unitSeconds, origin: Calculated, counted: true,
		quantity: "time in which a balancer reads a full list at 10 KB a second",
	}, size, float64(sizes.full)/bandwidthBudget)
	subscriber, err := newListSubscriber(ctx, m.settings.Seed)
	if err != nil {
		return err
	}
	defer subscriber.close()
	before := liveMemory()
	applyErr := subscriber.apply(ctx, [][]byte{fullList(size, 1).line()}, 1)
	m.check(fmt.Sprintf("a list of %d servers is taken", size), applyErr == nil, "")
	var timedOut *Error
	if errors.As(applyErr, &timedOut) {
		return ctx.Err()
	}
	if applyErr != nil {
		return applyErr
	}
	m.add(seriesKind{
		name: "memory", unit: unitBytes, origin: Measured,
		quantity: "held by a balancer for the list, no connections",
	}, size, float64(liveMemory()-before))
	return m.measureUpdates(ctx, subscriber, size)
}

// measureUpdates measures applying a list again, and applying changes.
func (m *controlMeasurements) measureUpdates(ctx context.Context, subscriber *listSubscriber, size int) error {
	const rounds = 5
	revision := 1
	var failure error
	full := measure(rounds, 1, func() {
		revision++
		failure = errors.Join(failure, subscriber.apply(ctx, [][]byte{fullList(size, revision).line()}, revision))
	})
	encoding := measure(rounds, 1, func() { fullList(size, revision).line() })
	changes := measure(rounds, 1, func() {
		first := revision + 1
		revision += changesPerBatch
		var changed []int
		for i := range changesPerBatch {
			changed = append(changed, i*size/changesPerBatch)
		}
		failure = errors.Join(failure, subscriber.apply(ctx, lines(changesOneByOne(changed, first)), revision))
	})
	if failure != nil {
		return failure
	}
	fullTime := full.processor - encoding.processor
	fullAllocations := full.allocations - encoding.allocations
	oneTime := changes.processor / changesPerBatch
	m.add(seriesKind{
		name: "whole-processor", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time of applying a full list",
	}, size, microseconds(fullTime))
	m.add(seriesKind{
		name: "whole-allocations", unit: unitAllocations, origin: Measured, counted: true,
		quantity: "allocations of applying a full list",
	}, size, fullAllocations)
	m.add(seriesKind{
		name: "change-processor", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time of applying one change",
	}, size, microseconds(oneTime))
	m.add(seriesKind{
		name: "change-allocations", unit: unitAllocations, origin: Measured, counted: true,
		quantity: "allocations of applying one change",
	}, size, changes.allocations/changesPerBatch)
	m.add(seriesKind{
		name: "whole-core", unit: unitCorePart, origin: Calculated,
		quantity: "processor time, were each change sent as a full list",
	}, size, m.settings.Rate*fullTime.Seconds())
	m.add(seriesKind{
		name: "change-core", unit: unitCorePart, origin: Calculated,
		quantity: "processor time, each change sent by itself",
	}, size, m.settings.Rate*oneTime.Seconds())
	return nil
}
