package netfault

import (
	"fmt"
	"strings"
	"time"
)

// Condition is what one direction of a path does to the traffic on it. The zero value passes all of it at once.
type Condition struct {
	Delay      time.Duration
	Jitter     time.Duration // up to so much is added to the delay, evenly distributed
	Loss       float64       // share of datagrams that are lost; a stream waits for what was lost to be sent again
	Duplicate  float64       // share of datagrams that arrive twice
	Reorder    float64       // share of datagrams that arrive after later ones
	Rate       int           // bytes a second; 0: unlimited
	Corruption float64       // share of datagrams, and of pieces of a stream, whose bytes are changed
	Cut        bool          // datagrams are lost; streams stand still until it ends, and none is established
	Stalled    bool          // streams are established, and nothing passes on them; datagrams are lost
}

// blocksTraffic tells whether nothing passes for now.
func (c Condition) blocksTraffic() bool { return c.Cut || c.Stalled }

// String lists what differs from a clear path, in the words of plan files.
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
