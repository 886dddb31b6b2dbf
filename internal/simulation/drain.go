package simulation

// Drain is what a draining server does with its connections.
type Drain int

// Ways to drain.
const (
	Quiet  Drain = iota // keep them until the server stops
	Paced               // ask their clients to reconnect, spread evenly over the drain
	AtOnce              // ask all their clients to reconnect when the drain begins
)
