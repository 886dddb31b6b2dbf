package scale

import (
	"context"
	"errors"
	"fmt"

	"yardwinch/internal/simulation"
)

// catchUpSweep measures how a region catches up with the changes it missed during a partition.
func catchUpSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleList)
	for i, size := range s.Sizes {
		if err := measurements.measureCatchUps(ctx, size); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(s.Sizes))
	}
	return measurements.all(), measurements.checks, nil
}

// catchUpForms are the forms in which missed changes can be published.
var catchUpForms = []struct {
	mode catchUpMode
	name string
	what string
}{
	{catchUpOneByOne, "one-by-one", "told one by one"},
	{catchUpMerged, "merged", "told as one object with the last word on each server"},
	{missedFullList, "whole", "told as a whole list"},
}

func (b *controlMeasurements) measureCatchUps(ctx context.Context, size int) error {
	for _, form := range catchUpForms {
		objects := func(revision int) ([][]byte, int) { return b.missedObjects(form.mode, size, revision) }
		if err := b.measureCatchUp(ctx, size, form.mode, form.name, form.what, objects); err != nil {
			return err
		}
	}
	return nil
}

// missedObjects returns the objects that publish so many changes from a revision on, and the last revision.
func (b *controlMeasurements) missedObjects(mode catchUpMode, size, revision int) ([][]byte, int) {
	which := changedServers(simulation.RandomSource(b.settings.Seed, "scale cut", size), b.settings.Servers, size)
	last := revision + size - 1
	switch mode {
	case catchUpOneByOne:
		return lines(changesOneByOne(which, revision)), last
	case catchUpMerged:
		return [][]byte{changesMerged(which, revision).line()}, last
	}
	return [][]byte{fullList(b.settings.Servers, last).line()}, last
}

func (b *controlMeasurements) measureCatchUp(ctx context.Context, size int, mode catchUpMode, name, what string, objects func(int) ([][]byte, int)) error {
	texts, _ := objects(2)
	bytes := 0
	for _, text := range texts {
		bytes += len(text)
	}
	b.add(name+"-bytes", "of the changes that were missed, "+what, unitBytes, Measured, true, size, float64(bytes))
	used, err := b.applyMissed(ctx, objects)
	if err != nil {
		return err
	}
	b.add(name+"-processor", "processor time of a balancer that takes them, "+what, unitMicroseconds, Measured, false, size, microseconds(used.processor))
	b.add(name+"-allocations", "allocations of a balancer that takes them, "+what, unitAllocations, Measured, true, size, used.allocations)
	plan := pushPlanOf(b.settings, requiredChangesPerDay, false)
	plan.missed, plan.missedMode, plan.length = size, mode, shortestPush
	result, err := simulatePush(ctx, plan)
	if err != nil {
		return err
	}
	b.add(name+"-in-force", "until the last balancer has them, "+what, unitTime, Simulated, true, size, result.recovery.Seconds())
	plan.takenOver = plan.balancers
	lost, err := simulatePush(ctx, plan)
	if err != nil {
		return err
	}
	b.add(name+"-in-force-half-lost", "the same with half of the control machines lost, "+what, unitTime, Simulated, true, size, lost.recovery.Seconds())
	b.checkLatency(fmt.Sprintf("%d missed changes, %s, are in force within 16 s of the heal", size, what), result.recovery)
	return nil
}

// applyMissed measures a real balancer with a list that applies the objects, several times.
func (b *controlMeasurements) applyMissed(ctx context.Context, objects func(int) ([][]byte, int)) (cost, error) {
	const rounds = 3
	subscriber, err := newListSubscriber(ctx, b.settings.Seed)
	if err != nil {
		return cost{}, err
	}
	defer subscriber.close()
	if err := subscriber.apply(ctx, [][]byte{fullList(b.settings.Servers, 1).line()}, 1); err != nil {
		return cost{}, err
	}
	var fault error
	var prepared [][][]byte
	var revisions []int
	for revision := 1; len(prepared) < rounds; {
		texts, last := objects(revision + 1)
		prepared, revisions, revision = append(prepared, texts), append(revisions, last), last
	}
	round := 0
	used := measure(rounds, 1, func() {
		fault = errors.Join(fault, subscriber.apply(ctx, prepared[round], revisions[round]))
		round++
	})
	return used, fault
}
