package scale

import (
	"context"
	"errors"
	"fmt"

	"yardwinch/internal/simulation"
)

// cutSweep measures how changes that a region missed come in once it hears of them again.
func cutSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	book := newControlBook(s, roleList)
	for i, size := range s.Sizes {
		if err := book.cut(ctx, size); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(s.Sizes))
	}
	return book.all(), book.checks, nil
}

// missedForms are the ways in which changes that were missed can be told.
var missedForms = []struct {
	mode missedMode
	name string
	what string
}{
	{missedOneByOne, "one-by-one", "told one by one"},
	{missedMerged, "merged", "told as one object with the last word on each server"},
	{missedFull, "whole", "told as a whole list"},
}

func (b *controlBook) cut(ctx context.Context, size int) error {
	for _, form := range missedForms {
		objects := func(revision int) ([][]byte, int) { return b.missed(form.mode, size, revision) }
		if err := b.cutForm(ctx, size, form.mode, form.name, form.what, objects); err != nil {
			return err
		}
	}
	return nil
}

// missed are the objects that tell so many changes, the first with the given revision, and the last one's.
func (b *controlBook) missed(mode missedMode, size, revision int) ([][]byte, int) {
	which := changedServers(simulation.RandomSource(b.settings.Seed, "scale cut", size), b.settings.Servers, size)
	last := revision + size - 1
	switch mode {
	case missedOneByOne:
		return lines(changesOneByOne(which, revision)), last
	case missedMerged:
		return [][]byte{changesMerged(which, revision).line()}, last
	}
	return [][]byte{fullList(b.settings.Servers, last).line()}, last
}

func (b *controlBook) cutForm(ctx context.Context, size int, mode missedMode, name, what string, objects func(int) ([][]byte, int)) error {
	texts, _ := objects(2)
	bytes := 0
	for _, text := range texts {
		bytes += len(text)
	}
	b.add(name+"-bytes", "of the changes that were missed, "+what, unitBytes, Measured, true, size, float64(bytes))
	used, err := b.takeMissed(ctx, objects)
	if err != nil {
		return err
	}
	b.add(name+"-processor", "processor time of a balancer that takes them, "+what, unitMicroseconds, Measured, false, size, microseconds(used.processor))
	b.add(name+"-allocations", "allocations of a balancer that takes them, "+what, unitAllocations, Measured, true, size, used.allocations)
	plan := pushPlanOf(b.settings, letterChangesADay, false)
	plan.missed, plan.missedBy, plan.length = size, mode, shortestPush
	result, err := playPush(ctx, plan)
	if err != nil {
		return err
	}
	b.add(name+"-in-force", "until the last balancer has them, "+what, unitTime, Simulated, true, size, result.recovery.Seconds())
	plan.lost = plan.balancers
	lost, err := playPush(ctx, plan)
	if err != nil {
		return err
	}
	b.add(name+"-in-force-half-lost", "the same with half of the control machines lost, "+what, unitTime, Simulated, true, size, lost.recovery.Seconds())
	b.inTime(fmt.Sprintf("%d missed changes, %s, are in force within 16 s of the heal", size, what), result.recovery)
	return nil
}

// takeMissed has a real balancer that holds a list take the objects, some times over.
func (b *controlBook) takeMissed(ctx context.Context, objects func(int) ([][]byte, int)) (cost, error) {
	const rounds = 3
	taker, err := newListReader(ctx, b.settings.Seed)
	if err != nil {
		return cost{}, err
	}
	defer taker.close()
	if err := taker.take(ctx, [][]byte{fullList(b.settings.Servers, 1).line()}, 1); err != nil {
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
		fault = errors.Join(fault, taker.take(ctx, prepared[round], revisions[round]))
		round++
	})
	return used, fault
}
