package netfault

import (
	"fmt"
	"strings"
	"time"
)

// Condition is the set of faults on one direction of a path. The zero value forwards all traffic without delay.
type Condition struct {
	Delay      time.Duration
	Jitter     time.Duration // maximum of a uniformly distributed addition to the delay
	Loss       float64       // probability that a datagram is lost; a lost chunk of a stream is delayed until its retransmission
	Duplicate  float64       // probability that a datagram arrives twice
	Reorder    float64       // probability that a datagram arrives after later ones
	Rate       int           // bytes per second; 0: unlimited
	Corruption float64       // probability that the bytes of a datagram or of a chunk of a stream are changed
	Cut        bool          // datagrams are lost; streams are stalled until the cut ends, and none is established
	Stalled    bool          // streams are established but stalled; datagrams are lost
}

// blocksTraffic reports whether no traffic is forwarded.
func (c Condition) blocksTraffic() bool { return c.Cut || c.Stalled }

// String lists the faults by the names that they have in plan files.
func (c Condition) String() string {
	var parts []string
	add := func(on bool, format string, values ...any) {
		if on {
			parts = append(parts, fmt.Sprintf(format, values...))
		}
	}
	add(c.Delay > 0 || c.Jitter > 0, "delay %v+%v", c.Delay, c.Jitter)
	add(c.Loss > 0, "loss %g", c.Loss)
	add(c.Duplicate > 0, "repeat %g", c.Duplicate)
	add(c.Reorder > 0, "reorder %g", c.Reorder)
	add(c.Rate > 0, "rate %d/s", c.Rate)
	add(c.Corruption > 0, "garbage %g", c.Corruption)
	add(c.Cut, "cut")
	add(c.Stalled, "mute")
	if len(parts) == 0 {
		return "clear"
	}
	return strings.Join(parts, " ")
}
