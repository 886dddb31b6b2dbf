// Package membership tracks the other balancers of the fleet and exchanges opaque messages with them. The gossip
// engine is a separate process (internal/membership/engine, cmd/yardwinch-gossip), which this package starts,
// restarts and talks to over its standard input and output.
package membership

import (
	"cmp"
	"net/netip"
	"time"

	"yardwinch/internal/advice"
)

// Error is a membership error with advice for the operator.
type Error = advice.Error

// Name is the name of a member, unique among the members of a label.
type Name string

// Instance configures how one balancer takes part in the membership.
type Instance struct {
	Name      Name
	Label     string         // members of other labels are ignored
	Bind      netip.AddrPort // address to listen on and to send from
	Advertise netip.AddrPort // address at which other members reach it
	Seeds     []string       // addresses of members to join
}

// State is the state of a member as this instance sees it.
type State string

const (
	// Alive members respond. A member under suspicion counts as alive until the suspicion is confirmed.
	Alive State = "alive"
	// Gone members stopped responding without having left.
	Gone State = "gone"
	// Left members announced that they leave.
	Left State = "left"
)

// Member is a member as this instance sees it.
type Member struct {
	Name  Name          `json:"name"`
	Addr  string        `json:"addr"`
	State State         `json:"state"`
	Since time.Duration `json:"since_ns"` // how long it has been in this state
}

// CompareByName orders members by name.
func CompareByName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// The engine stops responding to other members when the balancer's heartbeats stop; otherwise a suspended balancer
// would look alive because its engine still responds.
const (
	// HeartbeatInterval is the interval at which the balancer sends heartbeats to its engine.
	HeartbeatInterval = 250 * time.Millisecond
	// HeartbeatTimeout is the time without any frame from the balancer after which the engine stops responding.
	HeartbeatTimeout = time.Second
)
