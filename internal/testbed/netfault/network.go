// Package netfault injects network faults between processes: delay and jitter, loss, duplication and reordering of datagrams, rate limits,
// partitions in one direction or both, resets, stalls and corruption. Processes under test run unchanged: the addresses of their peers that
// they are configured with belong to proxies and listeners of this package.
package netfault

import "sync"

// Endpoint is the name of one end of a path: a balancer, a server, discovery or the operator.
type Endpoint string

// path is a pair of endpoints. As a key of Network.directions it stands for the direction from the first to the second. The path of a
// stream begins with the endpoint that opened the stream.
type path struct{ from, to Endpoint }

// Network holds all paths of a run and the streams that are forwarded on them.
type Network struct {
	seed uint64

	mu         sync.Mutex
	directions map[path]*direction
	streams    map[*stream]bool
	closed     bool
}

// New returns a network without faults. All random draws derive from the seed.
func New(seed uint64) *Network {
	return &Network{seed: seed, directions: map[path]*direction{}, streams: map[*stream]bool{}}
}

func (n *Network) direction(from, to Endpoint) *direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := path{from, to}
	if n.directions[key] == nil {
		n.directions[key] = newDirection(n.seed, from, to)
	}
	return n.directions[key]
}

// SetCondition replaces the condition of one direction. It applies to established streams too.
func (n *Network) SetCondition(from, to Endpoint, c Condition) { n.direction(from, to).set(c) }

// IsCut reports whether no stream from one endpoint to another can be established, as the SYN or the reply to it would be lost.
func (n *Network) IsCut(from, to Endpoint) bool {
	out, _ := n.direction(from, to).current()
	back, _ := n.direction(to, from).current()
	return out.Cut || back.Cut
}

// Reset aborts all streams between two endpoints and returns their number. It simulates a middlebox that has lost its connection table.
func (n *Network) Reset(a, b Endpoint) int {
	streams := n.streamsWhere(func(s *stream) bool {
		return s.path == path{a, b} || s.path == path{b, a}
	})
	for _, s := range streams {
		s.abort()
	}
	return len(streams)
}

// SentAndLost returns the number of datagrams and chunks of streams that were sent in one direction, and the number of datagrams lost
// among them.
func (n *Network) SentAndLost(from, to Endpoint) (all, lost int) {
	d := n.direction(from, to)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sent, d.lost
}

// Close ends all streams. Streams that are forwarded later end at once.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	for _, s := range n.streamsWhere(func(*stream) bool { return true }) {
		s.close()
	}
}

func (n *Network) streamsWhere(matches func(*stream) bool) (found []*stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.streams {
		if matches(s) {
			found = append(found, s)
		}
	}
	return found
}

// add registers a stream and reports whether the network is still open.
func (n *Network) add(s *stream) (isOpen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams[s] = true
	return !n.closed
}

func (n *Network) remove(s *stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.streams, s)
}
