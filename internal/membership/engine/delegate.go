package engine

import (
	"fmt"
	"slices"

	"github.com/hashicorp/memberlist"

	"yardwinch/internal/membership"
)

// broadcast is a published message in the library's transmit queue.
type broadcast struct {
	key     string
	message []byte
}

// Invalidates reports whether this message replaces another one: an earlier one of the same key.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	earlier, ok := other.(*broadcast)
	return ok && earlier.key == b.key
}

func (b *broadcast) Name() string    { return b.key }
func (b *broadcast) Message() []byte { return b.message }
func (b *broadcast) Finished()       {}

// delegate implements the callbacks of the gossip library.
type delegate struct{ group *Group }

// NodeMeta returns what this member publishes about itself: nothing, or that it is leaving. The library reports
// members that left and members that are gone alike; the metadata tells them apart.
func (d delegate) NodeMeta(int) []byte {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.group.leaving {
		return []byte(membership.Left)
	}
	return nil
}

func (d delegate) NotifyMsg(message []byte) {
	d.group.subscriber.OnMessage(slices.Clone(message)) // the library reuses the buffer
}

func (d delegate) LocalState(bool) []byte { return d.group.subscriber.FullState() }

func (d delegate) MergeRemoteState(state []byte, _ bool) { d.group.subscriber.OnRemoteState(state) }

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	d.group.mu.Lock()
	queue := d.group.queue
	d.group.mu.Unlock()
	if queue == nil {
		return nil
	}
	return queue.GetBroadcasts(overhead, limit)
}

func (d delegate) NotifyJoin(node *memberlist.Node) { d.group.setState(node, membership.Alive) }

func (d delegate) NotifyUpdate(node *memberlist.Node) { d.group.setState(node, membership.Alive) }

func (d delegate) NotifyLeave(node *memberlist.Node) {
	if string(node.Meta) == string(membership.Left) {
		d.group.setState(node, membership.Left)
	} else {
		d.group.setState(node, membership.Gone)
	}
}

// NotifyConflict counts and logs that two members use the same name.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	fault := &membership.Error{
		Where: "peers.name",
		What: fmt.Sprintf("two members call themselves %s, at %s and at %s",
			existing.Name, existing.Address(), other.Address()),
		Remedy: "give each instance a unique name and restart the one that was started last",
	}
	reason := fault.Error() // unbounded, as the names come from the network
	d.group.drops.Add("two members of one name", reason[:min(len(reason), maxLogLineBytes)], "advice", fault.Advice())
}

var (
	_ memberlist.Delegate         = delegate{}
	_ memberlist.EventDelegate    = delegate{}
	_ memberlist.ConflictDelegate = delegate{}
)
