package simulation

import "time"

// Net is the network between halls.
type Net struct {
	Same, Cross, Client time.Duration // one way
	cut                 map[[2]HallID]int
}

func newNet() *Net { return &Net{cut: map[[2]HallID]int{}} }

// StartNet sets the delays one way: within a hall, between two, and from clients to balancers.
func (w *World) StartNet(same, cross, client time.Duration) {
	w.Net.Same, w.Net.Cross, w.Net.Client = same, cross, client
}

// Way is how long something takes from a hall to another.
func (n *Net) Way(from, to HallID) time.Duration {
	if from == to {
		return n.Same
	}
	return n.Cross
}

// Blocked tells whether nothing gets from one hall to another now; the way back may be open.
func (n *Net) Blocked(from, to HallID) bool { return len(n.cut) > 0 && n.cut[[2]HallID{from, to}] > 0 }

func (n *Net) block(from, to HallID, by int) {
	k := [2]HallID{from, to}
	if n.cut[k] += by; n.cut[k] == 0 {
		delete(n.cut, k)
	}
}
