package decide

import "math"

const (
	pcgMultiplier = 6364136223846793005
	pcgIncrement  = 1442695040888963407
	fnvOffset     = 14695981039346656037
	fnvPrime      = 1099511628211
	goldenRatio   = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
)

// pcg is the random number generator PCG-XSH-RR 64/32. Its values depend on the seed alone, on every platform.
type pcg uint64

func (p *pcg) next() uint32 {
	state := uint64(*p)
	*p = pcg(state*pcgMultiplier + pcgIncrement)
	mixed := uint32(((state >> 18) ^ state) >> 27)
	rotation := uint32(state >> 59)
	return mixed>>rotation | mixed<<(-rotation&31)
}

func seeded(seed uint64) pcg {
	p := pcg(seed + pcgIncrement)
	p.next()
	return p
}

// uniform returns a random number in [0,1).
func (p *pcg) uniform() float64 { return float64(p.next()) / (1 << 32) }

// hash returns the FNV-1a hash, which is the same at every balancer.
func (g GroupKey) hash() uint64 {
	hash := uint64(fnvOffset)
	for i := 0; i < len(g); i++ {
		hash = (hash ^ uint64(g[i])) * fnvPrime
	}
	return hash
}

// rendezvousWeight returns the weight of a server for a group, given by its hash, in weighted rendezvous hashing. It is
// the same at every balancer. If it is multiplied by the servers' sizes, each server has the largest weight for a share
// of groups that is proportional to its size.
func rendezvousWeight(group uint64, id ServerID) float64 {
	p := seeded(group ^ uint64(id)*goldenRatio)
	return -1 / math.Log((float64(p.next())+0.5)/(1<<32))
}
