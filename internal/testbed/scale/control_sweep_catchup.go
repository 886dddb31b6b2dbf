package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"yardwinch/internal/simulation"
)

// catchUpSweep measures how the balancers of a region catch up with the changes that they missed during a partition.
func catchUpSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleList)
	return measurements.forEachSize(progress, func(size int) error {
		return measurements.measureCatchUps(ctx, size)
	})
}

// catchUpForm is a form in which missed changes can be published.
type catchUpForm struct {
	mode        catchUpMode
	name        string // prefix of the series names
	description string
}

var catchUpForms = []catchUpForm{
	{mode: catchUpOneByOne, name: "one-by-one", description: "sent one by one"},
	{mode: catchUpMerged, name: "merged", description: "sent as one object with the last state of each server"},
	{mode: catchUpFullList, name: "whole", description: "sent as a full list"},
}

func (m *controlMeasurements) measureCatchUps(ctx context.Context, size int) error {
	for _, form := range catchUpForms {
		if err := m.measureApplying(ctx, size, form); err != nil {
			return err
		}
		if err := m.simulateCatchUp(ctx, size, form); err != nil {
			return err
		}
	}
	return nil
}

// missedObjects returns the objects that publish size changes from a revision on, and the last revision.
func (m *controlMeasurements) missedObjects(mode catchUpMode, size, revision int) ([][]byte, int) {
	changed := changedServers(simulation.RandomSource(m.settings.Seed, "scale cut", size), m.settings.Servers, size)
	last := revision + size - 1
	switch mode {
	case catchUpOneByOne:
		return lines(changesOneByOne(changed, revision)), last
	case catchUpMerged:
		return [][]byte{changesMerged(changed, revision).line()}, last
	}
	return [][]byte{fullList(m.settings.Servers, last).line()}, last
}

// measureApplying measures the size of a form's objects and the cost of applying them.
func (m *controlMeasurements) measureApplying(ctx context.Context, size int, form catchUpForm) error {
	objects := func(revision int) ([][]byte, int) { return m.missedObjects(form.mode, size, revision) }
	texts, _ := objects(2)
	bytes := 0
	for _, text := range texts {
		bytes += len(text)
	}
	point := func(name, quantity, unit string, counted bool, value float64) {
		m.add(seriesKind{
			name: form.name + name, unit: unit, origin: Measured, counted: counted,
			quantity: quantity + form.description,
		}, size, value)
	}
	point("-bytes", "of the changes that were missed, ", unitBytes, true, float64(bytes))
	used, err := m.applyMissed(ctx, objects)
	if err != nil {
		return err
	}
	point("-processor", "processor time of a balancer that applies them, ", unitMicroseconds, false, microseconds(used.processor))
	point("-allocations", "allocations of a balancer that applies them, ", unitAllocations, true, used.allocations)
	return nil
}

// simulateCatchUp simulates control machines that publish the missed changes in a form, with all machines and with half
// of them lost.
func (m *controlMeasurements) simulateCatchUp(ctx context.Context, size int, form catchUpForm) error {
	point := func(name, quantity string, value time.Duration) {
		m.add(seriesKind{
			name: form.name + name, unit: unitSeconds, origin: Simulated, counted: true,
			quantity: quantity + form.description,
		}, size, value.Seconds())
	}
	plan := pushPlanOf(m.settings, requiredChangesPerDay, false)
	plan.missed, plan.missedMode, plan.duration = size, form.mode, minPushDuration
	result, err := simulatePush(ctx, plan)
	if err != nil {
		return err
	}
	point("-in-force", "until the last balancer has them, ", result.recovery)
	plan.takenOver = plan.balancers
	lost, err := simulatePush(ctx, plan)
	if err != nil {
		return err
	}
	point("-in-force-half-lost", "the same with half of the control machines lost, ", lost.recovery)
	m.checkLatency(fmt.Sprintf("%d missed changes, %s, are in force within 16 s of the heal", size, form.description), result.recovery)
	return nil
}

// applyMissed measures a listSubscriber that has a full list and applies the objects, in several rounds with increasing
// revisions.
func (m *controlMeasurements) applyMissed(ctx context.Context, objects func(int) ([][]byte, int)) (cost, error) {
	const rounds = 3
	subscriber, err := newListSubscriber(ctx, m.settings.Seed)
	if err != nil {
		return cost{}, err
	}
	defer subscriber.close()
	if err := subscriber.apply(ctx, [][]byte{fullList(m.settings.Servers, 1).line()}, 1); err != nil {
		return cost{}, err
	}
	var failure error
	var prepared [][][]byte
	var revisions []int
	for revision := 1; len(prepared) < rounds; {
		texts, last := objects(revision + 1)
		prepared, revisions, revision = append(prepared, texts), append(revisions, last), last
	}
	round := 0
	used := measure(rounds, 1, func() {
		failure = errors.Join(failure, subscriber.apply(ctx, prepared[round], revisions[round]))
		round++
	})
	return used, failure
}
