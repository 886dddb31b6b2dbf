// Package membership is what a balancer knows of the others: members and bytes, no meaning. The gossip engine itself runs in a process of
// its own (internal/membership/engine, cmd/yardwinch-gossip), which this package starts, feeds and starts again.
package membership

import (
	"slices"
	"time"

	"yardwinch/internal/advice"
)

// Error is what went wrong with the members.
type Error = advice.Error

// Name is a member's; no two of a label may have one name.
type Name string

// State is how a member is seen.
type State string

// States of a member.
const (
	Alive State = "alive" // the engine tells nobody whom it suspects
	Gone  State = "gone"  // given up
	Left  State = "left"  // said that it goes
)

// Member is one member as it is seen from here.
type Member struct {
	Name  Name          `json:"name"`
	Addr  string        `json:"addr"`
	State State         `json:"state"`
	Since time.Duration `json:"since_ns"` // for how long it has been seen so
}

// Frames pass between the balancer and its engine, each a CBOR list: a kind, and what goes with it. Both are of one build.
const (
	FrameStart     uint64 = iota + 1 // name, label, bind, advertise, then the seeds
	FramePublish                     // key, message
	FrameFullState                   // all that is known
	FrameHeartbeat                   // the balancer runs
	FrameLeave
	FrameReceive     // message
	FrameRemoteState // all that another member knows
	FrameMembers     // of each: name, address, state, nanoseconds since; of each kind passed over: nothing, kind, number
	FrameSuspended   // nanoseconds
)

// BeatEvery is how often the balancer says that it runs, and BeatMost after how long without the engine falls silent: a frozen balancer
// must not look alive because its engine answers.
const (
	HeartbeatInterval = 250 * time.Millisecond
	HeartbeatTimeout  = time.Second
)

func sorted(all []Member) []Member {
	slices.SortFunc(all, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}
