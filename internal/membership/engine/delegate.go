package engine

import (
	"fmt"
	"slices"

	"github.com/hashicorp/memberlist"

	"yardwinch/internal/membership"
)

// broadcast is a message that is being spread.
type broadcast struct {
	key     string
	message []byte
}

// Invalidates reports whether a message replaces an earlier one of its key.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	earlier, ok := other.(*broadcast)
	return ok && earlier.key == b.key
}

func (b *broadcast) Name() string    { return b.key }
func (b *broadcast) Message() []byte { return b.message }
func (b *broadcast) Finished()       {}

// delegate is what the gossip library calls.
type delegate struct{ group *Group }

// NodeMeta is what this member publishes about itself: nothing, or that it leaves. The library does not tell
// members that left from those that are gone.
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

// NotifyConflict reports two members of one name.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	fault := &membership.Error{
		Where: "peers.name",
		What: fmt.Sprintf("two members call themselves %s, at %s and at %s",
			existing.Name, existing.Address(), other.Address()),
		Remedy: "give each instance a name of its own and restart the one that came later",
	}
	reason := fault.Error() // the name comes from the network
	d.group.drops.Add("two members of one name", reason[:min(len(reason), maxLogLine)], "advice", fault.Advice())
}

var (
	_ memberlist.Delegate         = delegate{}
	_ memberlist.EventDelegate    = delegate{}
	_ memberlist.ConflictDelegate = delegate{}
)
