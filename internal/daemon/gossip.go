package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/lease"
	"yardwinch/fleet/signals"
	"yardwinch/internal/config"
	"yardwinch/internal/membership"
	"yardwinch/internal/routing"
)

const (
	publishCheckInterval = 250 * time.Millisecond // between checks of whether a record is due
	ticksPerFullState    = 8                      // checks between two updates of the full state that other members request

	// leaseDuration is how long a balancer that publishes nothing keeps a lease: three times the interval of 2 s at
	// which a balancer of a small fleet publishes records while no fault begins or ends (steadyInterval in
	// fleet/signals).
	leaseDuration = 6 * time.Second
)

// gossip exchanges signals with the other balancers: it publishes this balancer's records, and merges those of the
// others.
type gossip struct {
	name   string
	group  *membership.Group
	router *routing.Router

	// The router's lock guards the fields below.
	signals *signals.Exchange
	leases  *lease.Manager // nil: health checks are not shared, each balancer makes its own
}

// newGossip creates the exchange if the operators' options configure it, else it returns nil. run opens the sockets.
func newGossip(options *config.Options, router *routing.Router) *gossip {
	peers := options.Peers()
	if peers == nil {
		return nil
	}
	g := &gossip{name: peers.Name, router: router, signals: options.Signals()}
	if peers.Leases {
		g.shareHealthChecks()
	}
	g.group = membership.New(peers.Engine, membership.Instance{
		Name:      membership.Name(peers.Name),
		Label:     peers.Label,
		Bind:      peers.Bind,
		Advertise: peers.Advertise,
		Seeds:     peers.Seeds,
	}, g)
	return g
}

// shareHealthChecks has each server checked by one balancer only: the holder of the lease for that server.
func (g *gossip) shareHealthChecks() {
	g.leases = lease.New(lease.Holder(g.name), leaseDuration)
	g.signals.ShareLoads(func(server decide.ServerID, now time.Duration) (epoch uint64) {
		return uint64(g.leases.Renew(lease.Task(server), now))
	})
	g.router.SetHealthCheckFilter(func(server decide.ServerID, now time.Duration) bool {
		return g.leases.Holds(lease.Task(server), now)
	})
}

// run exchanges signals until the context ends.
func (g *gossip) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { g.group.Run(ctx) })
	ticker := time.NewTicker(publishCheckInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.publish()
			if n%ticksPerFullState == 0 {
				g.updateFullState()
			}
		}
	}
}

// publish sends this balancer's record if one is due.
func (g *gossip) publish() {
	fleetSize := g.group.AliveCount()
	candidates, reporters := g.aliveMembers()
	var record signals.Record
	var due bool
	g.router.WithLock(func() {
		g.signals.SetReporters(reporters)
		if g.leases != nil {
			g.leases.SetMembers(candidates)
		}
		record, due = g.signals.Publish(fleetSize)
	})
	if !due {
		return
	}
	message, err := signals.Encode(record)
	if err != nil {
		g.group.CountDropped("what is told here can't be written", err.Error())
		return
	}
	g.group.Publish(string(record.Origin), message)
}

// aliveMembers returns the alive members, as candidates for leases and as reporters of signals.
func (g *gossip) aliveMembers() (candidates []lease.Member, reporters []signals.Origin) {
	for _, member := range g.group.Members() {
		if member.State == membership.Alive {
			candidates = append(candidates, lease.Member{Name: lease.Holder(member.Name), Weight: 1, AliveFor: member.Since})
			reporters = append(reporters, signals.Origin(member.Name))
		}
	}
	return candidates, reporters
}

// OnMessage merges a member's message, and forwards it to other members if it is new.
func (g *gossip) OnMessage(message []byte) {
	if origin, isNew := g.merge(message); isNew {
		g.group.Publish(string(origin), message)
	}
}

// merge merges the record in a message.
func (g *gossip) merge(message []byte) (origin signals.Origin, isNew bool) {
	record, err := signals.Decode(message)
	if err != nil {
		g.group.CountDropped(dropReason(err), err.Error())
		return "", false
	}
	g.router.WithLock(func() {
		isNew = g.signals.Merge(record)
		if isNew && g.leases != nil {
			g.applyLoadReports(record)
		}
	})
	return record.Origin, isNew
}

// malformedMessage is the reason under which a message that can't be decoded is counted as dropped, unless the error is
// more specific.
const malformedMessage = "garbled"

// dropReason returns the reason under which a message that can't be decoded is counted.
func dropReason(err error) string {
	reason := malformedMessage
	for _, known := range []error{signals.ErrVersion, signals.ErrKind} {
		if errors.Is(err, known) {
			reason = known.Error()
		}
	}
	return reason
}

// applyLoadReports applies the load reports that a lease holder received from the servers that it checks. The caller
// holds the router's lock.
func (g *gossip) applyLoadReports(record signals.Record) {
	now := g.router.Now()
	g.signals.WithRelayedLoads(func() {
		for _, report := range record.LoadReports {
			g.leases.Observe(lease.Task(report.Server), lease.Epoch(report.Epoch), lease.Holder(record.Origin), report.Age, now)
			if report.Age < leaseDuration {
				g.router.OnLoadReport(report.Server, report.Load)
			}
		}
	})
}

// updateFullState encodes the full state that other members request.
func (g *gossip) updateFullState() {
	var records []signals.Record
	g.router.WithLock(func() { records = g.signals.FullState() })
	var messages [][]byte
	for _, record := range records {
		if message, err := signals.Encode(record); err == nil {
			messages = append(messages, message)
		}
	}
	all, err := signals.EncodeFullState(messages)
	if err != nil {
		g.group.CountDropped("what is known here can't be written", err.Error())
		return
	}
	g.group.SetFullState(all)
}

// OnRemoteState merges the full state of a member. It is not forwarded: each member requests it itself.
func (g *gossip) OnRemoteState(all []byte) {
	messages, err := signals.DecodeFullState(all)
	if err != nil {
		g.group.CountDropped(malformedMessage, err.Error())
		return
	}
	for _, message := range messages {
		g.merge(message)
	}
}

// OnSuspended tells signals and leases that this process was suspended.
func (g *gossip) OnSuspended(time.Duration) {
	g.router.WithLock(func() {
		g.signals.OnSuspended()
		if g.leases != nil {
			g.leases.OnSuspended(g.router.Now())
		}
	})
}
