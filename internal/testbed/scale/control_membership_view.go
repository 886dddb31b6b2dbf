package scale

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yardwinch/fleet/lease"
	"yardwinch/fleet/signals"
	"yardwinch/internal/membership"
)

// memberView is a gossip engine's view of the members.
type memberView struct {
	members map[membership.Name]membership.Member
}

func newMemberView(count int) memberView {
	v := memberView{map[membership.Name]membership.Member{}}
	for i := range count {
		name := membership.Name(memberName(i))
		addr := memberAddr(i)
		v.members[name] = membership.Member{
			Name:  name,
			Addr:  fmt.Sprintf("%d.%d.%d.%d:%d", addr[0], addr[1], addr[2], addr[3], memberPort),
			State: membership.Alive,
			Since: time.Hour,
		}
	}
	return v
}

// sorted returns the members sorted by name, as the engine lists them.
func (v memberView) sorted() []membership.Member {
	return slices.SortedFunc(maps.Values(v.members), func(a, b membership.Member) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
}

// frame encodes the members as internal/membership/engine does for its balancer every membersFrameInterval.
func (v memberView) frame() []byte {
	list := []any{}
	for _, s := range v.sorted() {
		list = append(list, []any{string(s.Name), s.Addr, string(s.State), uint64(s.Since)})
	}
	var text bytes.Buffer
	if err := cbor.NewEncoder(&text).Encode([]any{membership.FrameMembers, list}); err != nil {
		panic(err) // neither the buffer nor these types can fail
	}
	return text.Bytes()
}

// readFrame decodes a frame as the balancer does and returns the number of members.
func readFrame(text []byte) int {
	var frame []any
	if err := cbor.Unmarshal(text, &frame); err != nil {
		return 0
	}
	list, _ := frame[1].([]any)
	var seen []membership.Member
	for _, entry := range list {
		fields, _ := entry.([]any)
		name, _ := fields[0].(string)
		addr, _ := fields[1].(string)
		state, _ := fields[2].(string)
		since, _ := fields[3].(uint64)
		seen = append(seen, membership.Member{
			Name:  membership.Name(name),
			Addr:  addr,
			State: membership.State(state),
			Since: time.Duration(since),
		})
	}
	slices.SortFunc(seen, func(a, b membership.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return len(seen)
}

// applyMembership passes the live members to the signal exchange and the lease manager, as a balancer does every
// publishCheckInterval.
func applyMembership(list []membership.Member, signalExchange *signals.Exchange, leases *lease.Manager) {
	var alive []lease.Member
	var reporters []signals.Origin
	for _, s := range list {
		alive = append(alive, lease.Member{Name: lease.Holder(s.Name), Weight: 1, AliveFor: s.Since})
		reporters = append(reporters, signals.Origin(s.Name))
	}
	signalExchange.SetReporters(reporters)
	leases.SetMembers(alive)
}
