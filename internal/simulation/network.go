package simulation

import "time"

// Network is the network between localities.
type Network struct {
	WithinLocality, BetweenLocalities, Client time.Duration // one way

	blocked map[direction]int // number of faults that block each direction
}

type direction struct{ from, to LocalityID }

func newNetwork() *Network { return &Network{blocked: map[direction]int{}} }

// ConfigureNetwork sets the one-way delays within a locality, between localities, and between clients and balancers.
func (w *World) ConfigureNetwork(within, between, client time.Duration) {
	w.Network.WithinLocality, w.Network.BetweenLocalities, w.Network.Client = within, between, client
}

// Delay is the one-way delay from one locality to another.
func (n *Network) Delay(from, to LocalityID) time.Duration {
	if from == to {
		return n.WithinLocality
	}
	return n.BetweenLocalities
}

// IsBlocked reports whether a fault blocks traffic from one locality to another now; the opposite direction may be open.
func (n *Network) IsBlocked(from, to LocalityID) bool {
	return len(n.blocked) > 0 && n.blocked[direction{from, to}] > 0
}

// isPartitioned reports whether either direction is blocked.
func (n *Network) isPartitioned(a, b LocalityID) bool { return n.IsBlocked(a, b) || n.IsBlocked(b, a) }

// block changes the number of faults that block a direction; a negative number removes faults.
func (n *Network) block(from, to LocalityID, faults int) {
	d := direction{from, to}
	n.blocked[d] += faults
	if n.blocked[d] == 0 {
		delete(n.blocked, d)
	}
}
