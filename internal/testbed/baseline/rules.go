package baseline

import (
	"hash/fnv"
	"math"
	"slices"

	"yardwinch/internal/testbed/experiment"
)

const maxLoadFactor = 1.25 // bound of a server's connections as a multiple of the mean, in hashing with bounded loads

// Rule chooses one of the ready servers, of which there is at least one; nil rejects the flow.
type Rule func(p *Policy, f *flow, ready []*server) *server

// Rules maps the names of policies to their rules.
var Rules = map[string]Rule{
	experiment.RandomServer:     randomServer,
	experiment.LeastConnections: leastConnections,
	experiment.TwoChoices:       twoChoices,
	experiment.BoundedHashing:   boundedHashing,
	experiment.Omniscient:       leastCost,
}

func randomServer(p *Policy, _ *flow, ready []*server) *server {
	return ready[p.random.IntN(len(ready))]
}

// leastConnections chooses at random among the servers with the fewest own connections.
func leastConnections(p *Policy, _ *flow, ready []*server) *server {
	least := slices.MinFunc(ready, func(a, b *server) int { return a.connections - b.connections }).connections
	var candidates []*server
	for _, s := range ready {
		if s.connections == least {
			candidates = append(candidates, s)
		}
	}
	return candidates[p.random.IntN(len(candidates))]
}

// twoChoices draws two servers and chooses the one with fewer own connections (the power of two choices).
func twoChoices(p *Policy, _ *flow, ready []*server) *server {
	first := ready[p.random.IntN(len(ready))]
	second := ready[p.random.IntN(len(ready))]
	if second.connections < first.connections {
		return second
	}
	return first
}

// boundedHashing is rendezvous hashing with bounded loads, keyed by the flow's group. It chooses the server with the highest hash among
// those below the bound, or one with the fewest connections where all have reached the bound.
func boundedHashing(p *Policy, f *flow, ready []*server) *server {
	key := string(f.group)
	if key == "" {
		key = string(f.id)
	}
	bound := p.connectionBound(len(ready))
	var best *server
	var bestHash uint64
	for _, s := range ready {
		if s.connections >= bound {
			continue
		}
		if hash := hashOf(key, s); best == nil || hash > bestHash {
			best, bestHash = s, hash
		}
	}
	if best == nil {
		return leastConnections(p, f, ready)
	}
	return best
}

// connectionBound is the greatest number of connections that one server may have once the next connection is placed.
func (p *Policy) connectionBound(servers int) int {
	open := 1
	for _, s := range p.servers {
		open += s.connections
	}
	return int(math.Ceil(maxLoadFactor * float64(open) / float64(servers)))
}

// hashOf hashes a key and a server, mixing the bits by a part of MurmurHash3's finalizer.
func hashOf(key string, s *server) uint64 {
	const goldenRatio64, mixer, shift = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd, 33
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // Write of a hash never fails
	x := (h.Sum64() ^ uint64(s.id)*goldenRatio64) * mixer
	return x ^ x>>shift
}
