package scale

import (
	"context"
	"errors"
	"fmt"
)

const (
	roleList         = "balancer control: server list"
	roleControlHosts = "control machines"
	changesPerBatch  = 20 // published one by one in a measurement
	unitTime         = "s"
)

// listsSweep measures a real balancer's handling of a list and its changes, against the servers in it.
func listsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleList)
	for i, size := range s.Sizes {
		if err := measurements.measureList(ctx, size); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(s.Sizes))
	}
	return measurements.all(), measurements.checks, nil
}

// measureList measures one size. A rejected list is a failed check without points.
func (b *controlMeasurements) measureList(ctx context.Context, size int) error {
	sizes := measureListSizes(size)
	rate := b.settings.Rate
	b.add("whole-bytes", "of a whole list", unitBytes, Measured, true, size, float64(sizes.full))
	b.add("change-bytes", "of an object with one change", unitBytes, Measured, true, size, float64(sizes.changes(1)))
	b.add("whole-bytes-in", "read by a balancer, were each change told as a whole list", unitBytesSecond, Calculated, true, size, rate*float64(sizes.full))
	b.add("change-bytes-in", "read by a balancer, each change told as one", unitBytesSecond, Calculated, true, size, rate*float64(sizes.changes(1)))
	b.add("whole-at-budget", "time in which a balancer reads a whole list, of 10 KB a second", unitTime, Calculated, true, size, float64(sizes.full)/bandwidthBudget)
	subscriber, err := newListSubscriber(ctx, b.settings.Seed)
	if err != nil {
		return err
	}
	defer subscriber.close()
	before := liveMemory()
	applyErr := subscriber.apply(ctx, [][]byte{fullList(size, 1).line()}, 1)
	b.check(fmt.Sprintf("a list of %d servers is taken", size), applyErr == nil, "")
	var refused *Error
	if errors.As(applyErr, &refused) {
		return ctx.Err()
	}
	if applyErr != nil {
		return applyErr
	}
	b.add("memory", "held by a balancer for the list, no connections", unitBytes, Measured, false, size, float64(liveMemory()-before))
	return b.measureUpdates(ctx, subscriber, size)
}

// measureUpdates measures applying a repeated list, and changes.
func (b *controlMeasurements) measureUpdates(ctx context.Context, subscriber *listSubscriber, size int) error {
	const rounds = 5
	revision := 1
	var fault error
	full := measure(rounds, 1, func() {
		revision++
		fault = errors.Join(fault, subscriber.apply(ctx, [][]byte{fullList(size, revision).line()}, revision))
	})
	written := measure(rounds, 1, func() { fullList(size, revision).line() })
	changes := measure(rounds, 1, func() {
		first := revision + 1
		revision += changesPerBatch
		var which []int
		for i := range changesPerBatch {
			which = append(which, i*size/changesPerBatch)
		}
		fault = errors.Join(fault, subscriber.apply(ctx, lines(changesOneByOne(which, first)), revision))
	})
	if fault != nil {
		return fault
	}
	fullTime, fullAllocations := full.processor-written.processor, full.allocations-written.allocations
	oneTime := changes.processor / changesPerBatch
	b.add("whole-processor", "processor time of taking a whole list", unitMicroseconds, Measured, false, size, microseconds(fullTime))
	b.add("whole-allocations", "allocations of taking a whole list", unitAllocations, Measured, true, size, fullAllocations)
	b.add("change-processor", "processor time of taking one change", unitMicroseconds, Measured, false, size, microseconds(oneTime))
	b.add("change-allocations", "allocations of taking one change", unitAllocations, Measured, true, size, changes.allocations/changesPerBatch)
	b.add("whole-core", "processor time, were each change told as a whole list", unitCorePart, Calculated, false, size, b.settings.Rate*fullTime.Seconds())
	b.add("change-core", "processor time, each change told as one", unitCorePart, Calculated, false, size, b.settings.Rate*oneTime.Seconds())
	return nil
}
