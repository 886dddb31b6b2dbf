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
	roleLeases              = "balancer control: leases"
	scoredServers           = 400 // scored in a measurement; its time is scaled to all servers
	leaseRounds             = 3
	membershipChangesPerDay = 2 * startsPerDay // each start is a departure and an arrival
	sampledTasks            = 4                // tasks whose holders are counted
	minRescoringInterval    = 15 * time.Second // one round of health checks, in which scores are calculated at most once
	holderStep              = time.Second      // of virtual time, between renewals
	holdersDuration         = time.Minute      // of virtual time
	holdersCountedAtEnd     = 20 * time.Second // last part of holdersDuration, in which holders are counted
	recordDelay             = time.Second      // until all members have received a record, in the best case
	settledMembership       = time.Hour        // for which settled members have been alive
	loadReportAge           = time.Second
)

// leasesSweep measures fleet/lease: how evenly tasks are shared, and what it costs to determine their holders.
func leasesSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleLeases)
	if s.Against == keyServers {
		measurements.suffix = "-by-servers"
	}
	return measurements.forEachSize(progress, func(size int) error {
		if err := ctx.Err(); err != nil {
			return err
		}
		one := s.withSize(size)
		measurements.measureScoring(size, one.Balancers, one.Servers)
		if s.Against == keyBalancers {
			measurements.measureEvenness(size, one.Balancers, one.Servers)
			measurements.countHolders(size, one.Balancers)
			if err := measurements.measurePublishedLoads(size, one.Balancers, one.Servers); err != nil {
				return err
			}
		}
		return nil
	})
}

// settledMembers returns the given number of members, which joined long ago.
func settledMembers(count int) (list []lease.Member) {
	for i := range count {
		list = append(list, lease.Member{Name: lease.Holder(memberName(i)), Weight: 1, AliveFor: settledMembership})
	}
	return list
}

// measureScoring measures determining the holders of all tasks after a membership change.
func (m *controlMeasurements) measureScoring(size, members, servers int) {
	list := settledMembers(members)
	sample := min(servers, scoredServers)
	before := liveMemory()
	own := lease.New(lease.Holder(memberName(0)), leaseDuration)
	for i := range servers { // fast, as there are no other members yet
		own.Holds(lease.Task(serverIDOf(i)), 0)
	}
	m.add(seriesKind{
		name: "memory", unit: unitBytes, origin: Measured,
		quantity: "memory of the leases",
	}, size, float64(liveMemory()-before))
	gone := 0
	used := measure(leaseRounds, 1, func() {
		gone++
		own.SetMembers(slices.Delete(slices.Clone(list), gone%members, gone%members+1))
		for i := range sample {
			own.Holds(lease.Task(serverIDOf(i)), 0)
		}
	})
	all := used.processor.Seconds() * float64(servers) / float64(sample)
	m.add(seriesKind{
		name: "scores", unit: "scores", origin: Calculated, counted: true,
		quantity: "scores calculated after a membership change",
	}, size, float64(members)*float64(servers))
	m.add(seriesKind{
		name: "reckoning-processor", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time of determining all lease holders after a membership change",
	}, size, all*1e6)
	changesPerSecond := min(float64(membershipChangesPerDay)/secondsPerDay, 1/minRescoringInterval.Seconds())
	m.add(seriesKind{
		name: "reckoning-core", unit: unitCorePart, origin: Calculated,
		quantity: "the same, 2,300 members replaced a day",
	}, size, changesPerSecond*all)
}

// measureEvenness counts the tasks of the busiest member, and the mean number over the members.
func (m *controlMeasurements) measureEvenness(size, members, servers int) {
	own := lease.New(lease.Holder(memberName(0)), leaseDuration)
	own.SetMembers(settledMembers(members))
	for i := range servers {
		own.Holds(lease.Task(serverIDOf(i)), 0)
	}
	tasksOf := map[lease.Holder]int{}
	most := 0
	for _, status := range own.Statuses() {
		tasksOf[status.Preferred]++
		most = max(most, tasksOf[status.Preferred])
	}
	m.add(seriesKind{
		name: "most-duties", unit: "servers", origin: Simulated, counted: true,
		quantity: "servers that the busiest member checks on behalf of all",
	}, size, float64(most))
	m.add(seriesKind{
		name: "mean-duties", unit: "servers", origin: Simulated, counted: true,
		quantity: "servers that a member checks on behalf of all, on average",
	}, size, float64(servers)/float64(members))
}

// leaseMember is a member of a fleet that shares sampledTasks.
type leaseMember struct {
	manager      *lease.Manager
	publishPhase time.Duration
	renewals     map[lease.Task]leaseRenewal
}

// leaseRenewal is what a member publishes about a task that it holds.
type leaseRenewal struct {
	epoch lease.Epoch
	at    time.Duration
}

// countHolders counts the members that hold a task at the same time, when members publish renewals only with their
// records.
func (m *controlMeasurements) countHolders(size, members int) {
	random := simulation.RandomSource(m.settings.Seed, "scale leases", members)
	interval := max(recordIntervalOf(members).Truncate(holderStep), holderStep)
	fleet := newLeaseFleet(random, members, interval)
	holding, observations := 0, 0
	for now := time.Duration(0); now < holdersDuration; now += holderStep {
		count := leaseStep(fleet, now, interval)
		if now >= holdersDuration-holdersCountedAtEnd {
			holding += count
			observations += sampledTasks
		}
	}
	m.add(seriesKind{
		name: "holders", unit: "members", origin: Simulated, counted: true,
		quantity: "members that check one server on behalf of all at a time",
	}, size, float64(holding)/float64(observations))
}

func newLeaseFleet(random *rand.Rand, members int, interval time.Duration) (fleet []*leaseMember) {
	list := settledMembers(members)
	for i := range members {
		m := &leaseMember{manager: lease.New(lease.Holder(memberName(i)), leaseDuration), renewals: map[lease.Task]leaseRenewal{}}
		m.publishPhase = time.Duration(random.Float64() * float64(interval)).Truncate(holderStep)
		m.manager.SetMembers(list)
		fleet = append(fleet, m)
	}
	return fleet
}

// leaseStep makes all members renew the leases of the tasks that they hold, and publish those renewals if their record is
// due. It returns the number of holders, summed over the tasks.
func leaseStep(fleet []*leaseMember, now, interval time.Duration) (holding int) {
	for _, m := range fleet {
		for k := range sampledTasks {
			task := lease.Task(serverIDOf(k))
			if m.manager.Holds(task, now) {
				m.renewals[task] = leaseRenewal{m.manager.Renew(task, now), now}
				holding++
			}
		}
	}
	for i, m := range fleet {
		if now%interval == m.publishPhase {
			publishRenewals(fleet, i, now)
		}
	}
	return holding
}

// publishRenewals makes all other members observe the publisher's recent renewals.
func publishRenewals(fleet []*leaseMember, publisher int, now time.Duration) {
	m := fleet[publisher]
	by := lease.Holder(memberName(publisher))
	for task, renewal := range m.renewals {
		age := now - renewal.at + recordDelay
		if age >= leaseDuration {
			delete(m.renewals, task)
			continue
		}
		for i, other := range fleet {
			if i != publisher {
				other.manager.Observe(task, renewal.epoch, by, age, now+recordDelay)
			}
		}
	}
}

// measurePublishedLoads measures which share of a member's load reports fits into its record.
func (m *controlMeasurements) measurePublishedLoads(size, members, servers int) error {
	mean := (servers + members - 1) / members
	record := sampleRecord(1, 1000, signals.MaxReports)
	for i := range min(mean, signals.MaxLoadReports) {
		record.LoadReports = append(record.LoadReports, signals.LoadReport{
			Server: decide.ServerID(serverIDOf(i)),
			Load:   0.6,
			Epoch:  3,
			Age:    loadReportAge,
		})
	}
	text, err := signals.Encode(record)
	if err != nil {
		return err
	}
	decoded, err := signals.Decode(text)
	if err != nil {
		return err
	}
	m.add(seriesKind{
		name: "record-bytes", unit: unitBytes, origin: Measured, counted: true,
		quantity: "of a record with 48 observations and the loads checked on behalf of all",
	}, size, float64(len(text)))
	m.add(seriesKind{
		name: "loads-told", unit: unitPart, origin: Measured, counted: true,
		quantity: "share of the loads that a member checked on behalf of all that its record publishes",
	}, size, float64(len(decoded.LoadReports))/float64(mean))
	m.add(seriesKind{
		name: "load-age", unit: unitSeconds, origin: Calculated, counted: true,
		quantity: "of a load when it is published again, at least",
	}, size, recordIntervalOf(members).Seconds())
	return nil
}
