package simulation

// Drain is what a draining server does with its connections.
type Drain int

// Ways to drain.
const (
	Quiet  Drain = iota // it keeps them until it stops
	Paced               // it has their clients reconnect, evenly over the drain
	AtOnce              // it has all their clients reconnect at once
)
