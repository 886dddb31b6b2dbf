package scale

import (
	"context"
	"errors"
	"fmt"
)

const (
	roleList         = "balancer control: server list"
	roleControlHosts = "control machines"
	changesAtATime   = 20 // one by one, while they are measured
	unitTime         = "s"
)

// listsSweep measures what a balancer really does with a list and with changes of it, by the servers in it.
func listsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	book := newControlBook(s, roleList)
	for i, size := range s.Sizes {
		if err := book.list(ctx, size); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(s.Sizes))
	}
	return book.all(), book.checks, nil
}

// list measures one size. A list that is refused is a check that failed, with no point.
func (b *controlBook) list(ctx context.Context, size int) error {
	sizes := measureListSizes(size)
	rate := b.settings.Rate
	b.add("whole-bytes", "of a whole list", unitBytes, Measured, true, size, float64(sizes.whole))
	b.add("change-bytes", "of an object with one change", unitBytes, Measured, true, size, float64(sizes.changes(1)))
	b.add("whole-bytes-in", "read by a balancer, were each change told as a whole list", unitBytesSecond, Reckoned, true, size, rate*float64(sizes.whole))
	b.add("change-bytes-in", "read by a balancer, each change told as one", unitBytesSecond, Reckoned, true, size, rate*float64(sizes.changes(1)))
	b.add("whole-at-budget", "time in which a balancer reads a whole list, of 10 KB a second", unitTime, Reckoned, true, size, float64(sizes.whole)/letterBytes)
	taker, err := newListReader(ctx, b.settings.Seed)
	if err != nil {
		return err
	}
	defer taker.close()
	before := liveMemory()
	taken := taker.take(ctx, [][]byte{fullList(size, 1).line()}, 1)
	b.check(fmt.Sprintf("a list of %d servers is taken", size), taken == nil, "")
	var refused *Error
	if errors.As(taken, &refused) {
		return ctx.Err()
	}
	if taken != nil {
		return taken
	}
	b.add("memory", "held by a balancer for the list, no connections", unitBytes, Measured, false, size, float64(liveMemory()-before))
	return b.takes(ctx, taker, size)
}

// takes measures a list that comes again, and changes.
func (b *controlBook) takes(ctx context.Context, taker *listReader, size int) error {
	const rounds = 5
	revision := 1
	var fault error
	whole := measure(rounds, 1, func() {
		revision++
		fault = errors.Join(fault, taker.take(ctx, [][]byte{fullList(size, revision).line()}, revision))
	})
	written := measure(rounds, 1, func() { fullList(size, revision).line() })
	one := measure(rounds, 1, func() {
		first := revision + 1
		revision += changesAtATime
		var which []int
		for i := range changesAtATime {
			which = append(which, i*size/changesAtATime)
		}
		fault = errors.Join(fault, taker.take(ctx, lines(changesOneByOne(which, first)), revision))
	})
	if fault != nil {
		return fault
	}
	wholeTime, wholeMade := whole.processor-written.processor, whole.allocations-written.allocations
	oneTime := one.processor / changesAtATime
	b.add("whole-processor", "processor time of taking a whole list", unitMicroseconds, Measured, false, size, microseconds(wholeTime))
	b.add("whole-allocations", "allocations of taking a whole list", unitAllocations, Measured, true, size, wholeMade)
	b.add("change-processor", "processor time of taking one change", unitMicroseconds, Measured, false, size, microseconds(oneTime))
	b.add("change-allocations", "allocations of taking one change", unitAllocations, Measured, true, size, one.allocations/changesAtATime)
	b.add("whole-core", "processor time, were each change told as a whole list", unitCorePart, Reckoned, false, size, b.settings.Rate*wholeTime.Seconds())
	b.add("change-core", "processor time, each change told as one", unitCorePart, Reckoned, false, size, b.settings.Rate*oneTime.Seconds())
	return nil
}
