package simulation

import "time"

// Network is the network between halls.
type Network struct {
	WithinLocality, BetweenLocalities, Client time.Duration // one way
	blocked                                   map[[2]LocalityID]int
}

func newNetwork() *Network { return &Network{blocked: map[[2]LocalityID]int{}} }

// ConfigureNetwork sets the delays one way: within a hall, between two, and from clients to balancers.
func (w *World) ConfigureNetwork(same, cross, client time.Duration) {
	w.Network.WithinLocality, w.Network.BetweenLocalities, w.Network.Client = same, cross, client
}

// Delay is how long something takes from a hall to another.
func (n *Network) Delay(from, to LocalityID) time.Duration {
	if from == to {
		return n.WithinLocality
	}
	return n.BetweenLocalities
}

// IsBlocked tells whether nothing gets from one hall to another now; the way back may be open.
func (n *Network) IsBlocked(from, to LocalityID) bool {
	return len(n.blocked) > 0 && n.blocked[[2]LocalityID{from, to}] > 0
}

func (n *Network) block(from, to LocalityID, by int) {
	k := [2]LocalityID{from, to}
	if n.blocked[k] += by; n.blocked[k] == 0 {
		delete(n.blocked, k)
	}
}
