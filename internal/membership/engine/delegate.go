package engine

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"yardwinch/internal/membership"
)

// bound speaks from the address that it is bound to, so that whoever filters by address knows who speaks; the library's own
// transport dials from any.
type bound struct {
	*memberlist.NetTransport
	from netip.Addr
}

func (b bound) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: wait, LocalAddr: &net.TCPAddr{IP: b.from.AsSlice()}}
	return d.Dial("tcp", addr)
}

func (b bound) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	return b.DialTimeout(a.Addr, wait)
}

// said is a message on its way.
type said struct {
	key     string
	message []byte
}

func (s *said) Invalidates(o memberlist.Broadcast) bool {
	x, ok := o.(*said)
	return ok && x.key == s.key
}
func (s *said) Name() string    { return s.key }
func (s *said) Message() []byte { return s.message }
func (s *said) Finished()       {}

// delegate is what the engine calls.
type delegate struct{ g *Group }

// NodeMeta tells that this member leaves: of one that is gone the engine does not say whether it had said so.
func (d delegate) NodeMeta(int) []byte {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if d.g.leaving {
		return []byte(membership.Left)
	}
	return nil
}
func (d delegate) NotifyMsg(b []byte)                { d.g.tell.Hear(slices.Clone(b)) }
func (d delegate) LocalState(bool) []byte            { return d.g.tell.Whole() }
func (d delegate) MergeRemoteState(b []byte, _ bool) { d.g.tell.HearWhole(b) }

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	d.g.mu.Lock()
	q := d.g.queue
	d.g.mu.Unlock()
	if q == nil {
		return nil
	}
	return q.GetBroadcasts(overhead, limit)
}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.g.turn(n, membership.Alive) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.g.turn(n, membership.Alive) }
func (d delegate) NotifyLeave(n *memberlist.Node) {
	if string(n.Meta) == string(membership.Left) {
		d.g.turn(n, membership.Left)
	} else {
		d.g.turn(n, membership.Gone)
	}
}

func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	e := &membership.Error{Where: "peers.name", What: fmt.Sprintf("two members call themselves %s, at %s and at %s", existing.Name, existing.Address(), other.Address()),
		Remedy: "give each instance a name of its own and restart the one that came later"}
	d.g.quiet.note("two members of one name", e.Error()+"; what helps: "+e.Advice())
}
