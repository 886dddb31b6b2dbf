package baseline

import (
	"hash/fnv"
	"math"
	"slices"

	"yardwinch/internal/testbed/experiment"
)

const maxLoadFactor = 1.25 // times the mean, in consistent hashing with bounded loads

// Rule chooses among ready servers, of which there is one at the least; nil rejects the flow.
type Rule func(p *Policy, f *flow, ready []*server) *server

// Rules by the name of their policy.
var Rules = map[string]Rule{
	experiment.RandomServer:     randomServer,
	experiment.LeastConnections: leastConnections,
	experiment.TwoChoices:       twoChoices,
	experiment.BoundedHashing:   boundedHashing,
	experiment.Omniscient:       omniscient,
}

func randomServer(p *Policy, _ *flow, ready []*server) *server {
	return ready[p.random.IntN(len(ready))]
}

// leastConnections chooses at random among the servers with the fewest own connections.
func leastConnections(p *Policy, _ *flow, ready []*server) *server {
	least := slices.MinFunc(ready, func(a, b *server) int { return a.open - b.open }).open
	var candidates []*server
	for _, s := range ready {
		if s.open == least {
			candidates = append(candidates, s)
		}
	}
	return candidates[p.random.IntN(len(candidates))]
}

// twoChoices draws two servers and takes the one with fewer own connections.
func twoChoices(p *Policy, _ *flow, ready []*server) *server {
	first := ready[p.random.IntN(len(ready))]
	second := ready[p.random.IntN(len(ready))]
	if second.open < first.open {
		return second
	}
	return first
}

// boundedHashing is rendezvous hashing by the flow's group with bounded loads: it takes the first server in the order of the hashes that
// has fewer connections than the bound, and the one with the fewest where all are at the bound.
func boundedHashing(p *Policy, f *flow, ready []*server) *server {
	key := string(f.group)
	if key == "" {
		key = string(f.id)
	}
	bound := p.connectionBound(len(ready))
	var best *server
	var bestHash uint64
	for _, s := range ready {
		if s.open >= bound {
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

// connectionBound is what one of so many servers may have with the next connection.
func (p *Policy) connectionBound(servers int) int {
	open := 1
	for _, s := range p.servers {
		open += s.open
	}
	return int(math.Ceil(maxLoadFactor * float64(open) / float64(servers)))
}

// hashOf mixes a key and a server as the finalizer of MurmurHash does.
func hashOf(key string, s *server) uint64 {
	const golden, mixer, shift = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd, 33
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash takes all
	x := (h.Sum64() ^ uint64(s.id)*golden) * mixer
	return x ^ x>>shift
}
