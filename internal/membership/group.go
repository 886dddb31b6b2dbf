package membership

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	initialBackoff     = 500 * time.Millisecond // before the engine is restarted
	maxBackoff         = 30 * time.Second
	queueLength        = 256 // frames for the engine; further ones are dropped, as the state they carry is published again
	maxRejoinAddresses = 8   // that the next engine joins besides the seeds
)

// Subscriber knows the meaning of what passes. It is called from one goroutine and must not block.
type Subscriber interface {
	// OnMessage receives a message that another member published.
	OnMessage(message []byte)
	// OnRemoteState receives the full state of another member.
	OnRemoteState(state []byte)
	// OnSuspended says that the engine or the balancer was suspended for so long.
	OnSuspended(gap time.Duration)
}

// Group is the members of the fleet as this balancer sees them through its engine. Its methods may be called by
// several goroutines.
type Group struct {
	program    string // of the engine; empty: the one beside this program
	instance   Instance
	subscriber Subscriber
	queue      chan []any // frames for the engine
	drops      DropCounter

	mu              sync.Mutex
	members         []Member // sorted by name, as of membersAt
	membersAt       time.Time
	rejoinAddresses []string       // of members that an engine which ended saw, for the next one
	engineDropped   map[string]int // by kind, as the engine counts them
}

// New makes the group of an instance. program is the path of the engine's program; empty: the one beside this
// program. Nothing is started before Run.
func New(program string, instance Instance, subscriber Subscriber) *Group {
	return &Group{
		program:    program,
		instance:   instance,
		subscriber: subscriber,
		queue:      make(chan []any, queueLength),
	}
}

// Run keeps the engine running until the context ends and the member has left. An engine that ends by itself is
// restarted with a backoff that doubles, as each start costs time.
func (g *Group) Run(ctx context.Context) {
	for backoff := initialBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		started := time.Now()
		err := g.runEngine(ctx)
		g.forgetMembers()
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > maxBackoff {
			backoff = initialBackoff // it ran well for a while
		}
		g.reportEngineEnd(err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
	}
}

// forgetMembers forgets the members of an engine that ended. The next engine joins some of them, even if no seed
// answers.
func (g *Group) forgetMembers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, member := range g.members {
		if member.Name != g.instance.Name && member.State == Alive && len(g.rejoinAddresses) < maxRejoinAddresses {
			g.rejoinAddresses = append(g.rejoinAddresses, member.Addr)
		}
	}
	g.members = nil
}

// takeRejoinAddresses returns the addresses of members that earlier engines saw alive, and forgets them.
func (g *Group) takeRejoinAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := g.rejoinAddresses
	g.rejoinAddresses = nil
	return addresses
}

// send queues a frame for the engine. A frame that finds the queue full is dropped: the engine is not running, or
// does not read.
func (g *Group) send(frame ...any) {
	select {
	case g.queue <- frame:
	default:
	}
}

// Publish spreads a message to the other members; a later one of the same key replaces an earlier one that has not
// been sent yet.
func (g *Group) Publish(key string, message []byte) { g.send(FramePublish, key, message) }

// SetFullState sets what members that ask for the full state are sent from now on.
func (g *Group) SetFullState(state []byte) { g.send(FrameFullState, state) }

// setMembers takes over the members as the engine sees them, and what it dropped.
func (g *Group) setMembers(members []Member, dropped map[string]int) {
	slices.SortFunc(members, CompareByName)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = members
	g.membersAt = time.Now()
	g.engineDropped = dropped
}

// Members is all members as they are seen now, by name.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var members []Member
	for _, member := range g.members {
		member.Since += time.Since(g.membersAt)
		members = append(members, member)
	}
	return members
}

// AliveCount is the number of members that are alive, this one too.
func (g *Group) AliveCount() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, member := range g.members {
		if member.State == Alive {
			count++
		}
	}
	return max(count, 1)
}

// CountDropped counts input that the subscriber could not use; each kind is logged with its reason once a minute
// at most.
func (g *Group) CountDropped(kind, reason string) { g.drops.Add(kind, reason) }

// Dropped is how much input was dropped, here and by the engine, by kind.
func (g *Group) Dropped() map[string]int {
	totals := g.drops.Totals()
	g.mu.Lock()
	defer g.mu.Unlock()
	for kind, count := range g.engineDropped {
		totals[kind] += count
	}
	return totals
}
