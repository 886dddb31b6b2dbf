package scale

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/lease"
	"yardwinch/fleet/signals"
	"yardwinch/internal/simulation"
)

const (
	roleLeases       = "balancer control: leases"
	reckonedServers  = 400 // of which a reckoning is measured, and multiplied
	leaseRounds      = 3
	viewChangesADay  = 2 * startedADay // one goes, one comes
	sampledServers   = 4               // whose holders are counted
	longestAskedFor  = 15 * time.Second
	holdersStep      = time.Second
	holdersPlayed    = time.Minute
	holdersCounted   = 20 * time.Second // at its end
	wordTravels      = time.Second      // until all have heard a record: the best case
	memberSettled    = time.Hour
	servedProbeEvery = time.Second
)

// leasesSweep measures fleet/lease: who does what for 10,000 servers, and what it costs to know.
func leasesSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	book := newControlBook(s, roleLeases)
	if s.Against == byServers {
		book.suffix = "-by-servers"
	}
	for i, size := range s.Sizes {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		one := s.at(size)
		book.reckoning(size, one.Balancers, one.Servers)
		if s.Against == byBalancers {
			book.evenness(size, one.Balancers, one.Servers)
			book.holders(size, one.Balancers)
			if err := book.loadsTold(size, one.Balancers, one.Servers); err != nil {
				return nil, nil, err
			}
		}
		progress(i+1, len(s.Sizes))
	}
	return book.all(), book.checks, nil
}

// seenMembers are so many members, all seen for long.
func seenMembers(count int) (list []lease.Member) {
	for i := range count {
		list = append(list, lease.Member{Name: lease.Holder(memberName(i)), Weight: 1, Since: memberSettled})
	}
	return list
}

// reckoning measures how long it takes to see anew whose all duties are, once the members changed.
func (b *controlBook) reckoning(size, members, servers int) {
	list := seenMembers(members)
	sample := min(servers, reckonedServers)
	before := liveMemory()
	own := lease.New(lease.Holder(memberName(0)), leaseFor)
	for i := range servers { // alone, so that it is quick
		own.Holds(lease.Task(serverNumber(i)), 0)
	}
	b.add("memory", "held for the duties", unitBytes, Measured, false, size, float64(liveMemory()-before))
	gone := 0
	used := measure(leaseRounds, 1, func() {
		gone++
		own.SetMembers(slices.Delete(slices.Clone(list), gone%members, gone%members+1))
		for i := range sample {
			own.Holds(lease.Task(serverNumber(i)), 0)
		}
	})
	all := used.processor.Seconds() * float64(servers) / float64(sample)
	b.add("scores", "scores reckoned once the members changed", "scores", Reckoned, true, size, float64(members)*float64(servers))
	b.add("reckoning-processor", "processor time of seeing whose all duties are, once the members changed", unitMicroseconds, Measured, false, size, all*1e6)
	often := min(float64(viewChangesADay)/secondsPerDay, 1/longestAskedFor.Seconds())
	b.add("reckoning-core", "the same, 2,300 members replaced a day", unitCorePart, Reckoned, false, size, often*all)
}

// evenness notes how many duties the busiest member has.
func (b *controlBook) evenness(size, members, servers int) {
	own := lease.New(lease.Holder(memberName(0)), leaseFor)
	own.SetMembers(seenMembers(members))
	for i := range servers {
		own.Holds(lease.Task(serverNumber(i)), 0)
	}
	of := map[lease.Holder]int{}
	most := 0
	for _, held := range own.Statuses() {
		of[held.Preferred]++
		most = max(most, of[held.Preferred])
	}
	b.add("most-duties", "servers that the busiest member probes for all", "servers", Simulated, true, size, float64(most))
	b.add("mean-duties", "servers that a member probes for all, on average", "servers", Simulated, true, size, float64(servers)/float64(members))
}

// leaseMember is one of those who share a few duties.
type leaseMember struct {
	duties *lease.Manager
	tellAt time.Duration
	did    map[lease.Task]leaseRecord
}

// leaseRecord is what a member tells of a duty that it did.
type leaseRecord struct {
	epoch lease.Epoch
	at    time.Duration
}

// holders notes by how many members a server is probed at a time, when each tells of it as often as records go out.
func (b *controlBook) holders(size, members int) {
	chance := simulation.RandomSource(b.settings.Seed, "scale leases", members)
	rest := max(restOf(members).Truncate(holdersStep), holdersStep)
	fleet := newLeaseFleet(chance, members, rest)
	holding, looks := 0, 0
	for now := time.Duration(0); now < holdersPlayed; now += holdersStep {
		count := leaseStep(fleet, now, rest)
		if now >= holdersPlayed-holdersCounted {
			holding += count
			looks += sampledServers
		}
	}
	b.add("holders", "members that probe one server for all at a time", "members", Simulated, true, size, float64(holding)/float64(looks))
}

func newLeaseFleet(chance *rand.Rand, members int, rest time.Duration) (fleet []*leaseMember) {
	list := seenMembers(members)
	for i := range members {
		m := &leaseMember{duties: lease.New(lease.Holder(memberName(i)), leaseFor), did: map[lease.Task]leaseRecord{}}
		m.tellAt = time.Duration(chance.Float64() * float64(rest)).Truncate(holdersStep)
		m.duties.SetMembers(list)
		fleet = append(fleet, m)
	}
	return fleet
}

// leaseStep has all members do what they hold, tell what is due, and hear it. It counts who holds a duty.
func leaseStep(fleet []*leaseMember, now, rest time.Duration) (holding int) {
	for _, m := range fleet {
		for k := range sampledServers {
			duty := lease.Task(serverNumber(k))
			if m.duties.Holds(duty, now) {
				m.did[duty] = leaseRecord{m.duties.Renew(duty, now), now}
				holding++
			}
		}
	}
	for i, m := range fleet {
		if now%rest == m.tellAt {
			publishLease(fleet, i, now)
		}
	}
	return holding
}

// publishLease has all others hear what one did of late.
func publishLease(fleet []*leaseMember, teller int, now time.Duration) {
	m := fleet[teller]
	by := lease.Holder(memberName(teller))
	for duty, word := range m.did {
		age := now - word.at + wordTravels
		if age >= leaseFor {
			delete(m.did, duty)
			continue
		}
		for i, other := range fleet {
			if i != teller {
				other.duties.Observe(duty, word.epoch, by, age, now+wordTravels)
			}
		}
	}
}

// loadsTold notes how much of what a member probed for all fits into its record.
func (b *controlBook) loadsTold(size, members, servers int) error {
	mean := (servers + members - 1) / members
	record := sampleRecord(1, 1000, signals.MaxReports)
	for i := range min(mean, signals.MaxLoadReports) {
		record.LoadReports = append(record.LoadReports, signals.LoadReport{Server: decide.ServerID(serverNumber(i)), Load: 0.6, Epoch: 3, Age: servedProbeEvery})
	}
	text, err := signals.Encode(record)
	if err != nil {
		return err
	}
	heard, err := signals.Decode(text)
	if err != nil {
		return err
	}
	b.add("record-bytes", "of a record with 48 sights and the loads that were probed for all", unitBytes, Measured, true, size, float64(len(text)))
	b.add("loads-told", "of the loads that a member probed for all, told by its record", unitPart, Measured, true, size, float64(len(heard.LoadReports))/float64(mean))
	b.add("load-age", "of a load when it is told again, at the least", unitTime, Reckoned, true, size, restOf(members).Seconds())
	return nil
}
