package scale

import (
	"context"

	"yardwinch/fleet/signals"
)

const secondsPerDay = 86400

// replacedSweep measures a member against how many of the fleet are replaced a day.
func replacedSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	book := newControlBook(s, roleMembership)
	recordBytes, err := recordBytesOf(signals.MaxReports)
	if err != nil {
		return nil, nil, err
	}
	for i, size := range s.Sizes {
		run := gossipRun{members: s.Balancers, recordBytes: recordBytes, replaced: float64(size) / secondsPerDay, joined: true, seed: s.Seed}
		result, err := playGossip(ctx, run)
		if err != nil {
			return nil, nil, err
		}
		join := float64(onStream(len(exchangeMessage(s.Balancers))+recordsBytes(s.Balancers, recordBytes))) * run.replaced / float64(s.Balancers)
		book.add("bytes-out", "sent by a member in datagrams", unitBytesSecond, Simulated, true, size, result.bytes())
		book.add("join-bytes-out", "sent by a member to those that join, in exchanges of all", unitBytesSecond, Simulated, true, size, join)
		book.add("states-heard", "news of members gone or alive, heard by a member, repeats too", unitPerSecond, Simulated, true, size, result.states)
		book.add("reach", "of the others have a record within 5 s of its telling", unitPart, Simulated, true, size, result.reach)
		book.add("joiner-bytes-out", "sent by a member that has just joined, which passes on every member that it heard of", unitBytesSecond, Simulated, true, size, result.joinerBytes)
		progress(i+1, len(s.Sizes))
	}
	return book.all(), book.checks, nil
}

// The gossip that would fit into what a balancer may spend: in groups of a zone or a region, with records of servers in
// trouble alone, told less often while all is well, one packet each time.
const (
	zonedRestTimes = 4
	zonedFanout    = 1
)

// zonedSweep plays that gossip in groups of several sizes. It is not built.
func zonedSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	book := newControlBook(s, roleMembership)
	recordBytes, err := recordBytesOf(fewReports)
	if err != nil {
		return nil, nil, err
	}
	for i, size := range s.Sizes {
		result, err := playGossip(ctx, gossipRun{members: size, recordBytes: recordBytes, restTimes: zonedRestTimes, fanout: zonedFanout, seed: s.Seed})
		if err != nil {
			return nil, nil, err
		}
		exchange := exchangeBytesPerSecond(size, recordsBytes(size, recordBytes))
		book.add("bytes-out", "sent by a member of a group, were gossip cut down: gossip, probes and exchanges", unitBytesSecond, Simulated, true, size, result.bytes()+exchange)
		book.add("reach", "of the others in the group have a record within 5 s of its telling", unitPart, Simulated, true, size, result.reach)
		progress(i+1, len(s.Sizes))
	}
	return book.all(), book.checks, nil
}
