package decide

import "slices"

// bucketIndex finds a few servers of many by a hash: the same ones at every balancer that has the same list, and
// nearly the same at one whose list is a little older. Each server has a bucket by its id; the number of buckets
// depends on the number of servers alone.
type bucketIndex struct {
	servers []*serverState // by bucket
	ends    []int          // of each bucket in servers; a power of two of them, each with one or two servers on average
}

// build replaces the servers of the index.
func (x *bucketIndex) build(servers []*serverState) {
	count := 1
	for 2*count <= len(servers) {
		count *= 2
	}
	x.ends = slices.Grow(x.ends[:0], count)[:count]
	x.servers = slices.Grow(x.servers[:0], len(servers))[:len(servers)]
	clear(x.ends)
	for _, server := range servers {
		x.ends[x.bucketNumber(uint64(server.id))]++
	}
	start := 0
	for i, size := range x.ends {
		x.ends[i] = start
		start += size
	}
	for _, server := range servers {
		end := &x.ends[x.bucketNumber(uint64(server.id))]
		x.servers[*end] = server
		*end++
	}
}

// bucketNumber is the index of the bucket of a number.
func (x *bucketIndex) bucketNumber(number uint64) int {
	return int(mix(number) & uint64(len(x.ends)-1))
}

// bucket is the servers in the bucket of a number.
func (x *bucketIndex) bucket(number uint64) []*serverState {
	i := x.bucketNumber(number)
	start := 0
	if i > 0 {
		start = x.ends[i-1]
	}
	return x.servers[start:x.ends[i]]
}

// mix spreads a number over 64 bits (the finalizer of SplitMix64).
func mix(number uint64) uint64 {
	number += goldenRatio
	number = (number ^ number>>30) * 0xbf58476d1ce4e5b9
	number = (number ^ number>>27) * 0x94d049bb133111eb
	return number ^ number>>31
}
