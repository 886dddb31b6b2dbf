package membership

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	initialBackoff     = 500 * time.Millisecond // delay before the first restart of the engine
	maxBackoff         = 30 * time.Second
	queueLength        = 256 // frames to the engine; further ones are dropped, as the state they carry is published again
	maxRejoinAddresses = 8   // addresses that a restarted engine joins besides the seeds
)

// Subscriber handles what other members send. Its methods are called from one goroutine and must not block.
type Subscriber interface {
	// OnMessage receives a message that another member published.
	OnMessage(message []byte)
	// OnRemoteState receives the full state of another member.
	OnRemoteState(state []byte)
	// OnSuspended is called with the measured gap after the engine was suspended, or with HeartbeatTimeout, the minimum,
	// after the balancer was.
	OnSuspended(gap time.Duration)
}

// Group runs this balancer's engine and holds the members of the fleet as the engine reports them. It is safe for
// concurrent use.
type Group struct {
	program    string // path of the engine's program; empty: the one next to this program
	instance   Instance
	subscriber Subscriber
	queue      chan []any // frames to the engine
	drops      DropCounter

	mu              sync.Mutex
	members         []Member // sorted by name, as reported at membersAt
	membersAt       time.Time
	rejoinAddresses []string       // of members that earlier engines saw alive; the next engine joins them
	engineDropped   map[string]int // drop counts by kind, as the engine reports them
}

// New returns the group of an instance. program is the path of the engine's program; if it is empty, the one next to
// this program is run. Nothing is started before Run.
func New(program string, instance Instance, subscriber Subscriber) *Group {
	return &Group{
		program:    program,
		instance:   instance,
		subscriber: subscriber,
		queue:      make(chan []any, queueLength),
	}
}

// Run keeps the engine running until the context ends, and returns after the member has left. An engine that exits
// unexpectedly is restarted with exponential backoff, as each start costs time.
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

// forgetMembers clears the members after the engine has exited. It keeps the addresses of some, so that the next
// engine can rejoin even if no seed responds.
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

// takeRejoinAddresses returns the addresses of members that earlier engines saw alive, and clears them.
func (g *Group) takeRejoinAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := g.rejoinAddresses
	g.rejoinAddresses = nil
	return addresses
}

// send queues a frame to the engine. If the queue is full, the engine is not running or not reading, and the frame is
// dropped.
func (g *Group) send(frame ...any) {
	select {
	case g.queue <- frame:
	default:
	}
}

// Publish broadcasts a message to the other members. It replaces an earlier message of the same key that is still
// waiting to be sent.
func (g *Group) Publish(key string, message []byte) { g.send(FramePublish, key, message) }

// SetFullState sets the full state that is sent to other members on request.
func (g *Group) SetFullState(state []byte) { g.send(FrameFullState, state) }

// setMembers stores the members and the drop counts that the engine reports.
func (g *Group) setMembers(members []Member, dropped map[string]int) {
	slices.SortFunc(members, CompareByName)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = members
	g.membersAt = time.Now()
	g.engineDropped = dropped
}

// Members returns all known members, sorted by name.
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

// AliveCount returns the number of members that are alive, including this one.
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

// CountDropped counts input that the subscriber could not use. Each kind is logged, with its reason, at most once a
// minute.
func (g *Group) CountDropped(kind, reason string) { g.drops.Add(kind, reason) }

// Dropped returns the number of inputs that the subscriber and the engine dropped, by kind.
func (g *Group) Dropped() map[string]int {
	totals := g.drops.Totals()
	g.mu.Lock()
	defer g.mu.Unlock()
	for kind, count := range g.engineDropped {
		totals[kind] += count
	}
	return totals
}
