// Package netfault puts network faults between processes: delay and jitter, loss, duplicates and reordering of datagrams, limited rates,
// partitions in one direction or both, resets, stalls and corruption. Processes under test run unchanged: they are given addresses of this
// package's proxies and listeners as those of their peers.
package netfault

import "sync"

// Endpoint is the name of an end of a path: a balancer, a server, discovery, the operator.
type Endpoint string

// path is one direction between two endpoints.
type path struct{ from, to Endpoint }

// Network is all paths of a run, with the streams that are forwarded on them.
type Network struct {
	seed uint64

	mu         sync.Mutex
	directions map[path]*direction
	streams    map[*stream]bool
	closed     bool
}

// New makes a network without faults. All of its random draws come from the seed.
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

// SetCondition replaces what one direction does, for established streams too.
func (n *Network) SetCondition(from, to Endpoint, c Condition) { n.direction(from, to).set(c) }

// IsCut tells whether a stream from one endpoint to another can't be established now: its first packet or the answer to it is lost.
func (n *Network) IsCut(from, to Endpoint) bool {
	out, _ := n.direction(from, to).current()
	back, _ := n.direction(to, from).current()
	return out.Cut || back.Cut
}

// Reset aborts all streams between two endpoints, as a middlebox that lost its connection table does. It returns their number.
func (n *Network) Reset(a, b Endpoint) int {
	streams := n.streamsWhere(func(s *stream) bool {
		return s.path == path{a, b} || s.path == path{b, a}
	})
	for _, s := range streams {
		s.abort()
	}
	return len(streams)
}

// Passed counts the datagrams, and pieces of streams, that one direction was given, and the datagrams that it lost.
func (n *Network) Passed(from, to Endpoint) (all, lost int) {
	d := n.direction(from, to)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed, d.lost
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

// add registers a stream and tells whether the network is still open.
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
