// Package membership knows the other balancers of the fleet and passes bytes between them, without knowing their
// meaning. The gossip engine is a separate process (internal/membership/engine, cmd/yardwinch-gossip), which
// this package starts, feeds and restarts.
package membership

import (
	"cmp"
	"net/netip"
	"time"

	"yardwinch/internal/advice"
)

// Error is a fault of the membership and what an operator can do about it.
type Error = advice.Error

// Name is a member's name; no two members of a label have the same.
type Name string

// Instance is how one balancer takes part in the membership.
type Instance struct {
	Name      Name
	Label     string         // members of other labels are ignored
	Bind      netip.AddrPort // to listen on and send from
	Advertise netip.AddrPort // at which the others reach it
	Seeds     []string       // addresses of members to join
}

// State is how a member is seen.
type State string

const (
	// Alive members answer. One that is suspected to be gone is alive until the suspicion is confirmed.
	Alive State = "alive"
	// Gone members stopped answering.
	Gone State = "gone"
	// Left members said that they leave.
	Left State = "left"
)

// Member is a member as it is seen from here.
type Member struct {
	Name  Name          `json:"name"`
	Addr  string        `json:"addr"`
	State State         `json:"state"`
	Since time.Duration `json:"since_ns"` // how long it has been in this state
}

// CompareByName orders members by name.
func CompareByName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// A frozen balancer must not look alive because its engine answers, so the engine falls silent when the balancer's
// heartbeats stop.
const (
	// HeartbeatInterval is the interval between heartbeats from the balancer to its engine.
	HeartbeatInterval = 250 * time.Millisecond
	// HeartbeatTimeout is the time without any frame from the balancer after which the engine falls silent.
	HeartbeatTimeout = time.Second
)
