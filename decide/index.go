package decide

import "slices"

// bucketIndex selects a few of many servers by a hash. Balancers with the same list select the same servers, and nearly
// the same if one list is slightly older. Servers are assigned to buckets by their ID. The number of buckets, a power of
// two, depends only on the number of servers; a bucket has one to two servers on average.
type bucketIndex struct {
	servers []*serverState // by bucket
	ends    []int          // end of each bucket in servers
}

// build rebuilds the index from these servers.
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

// bucketNumber returns the index of the bucket that a number falls into.
func (x *bucketIndex) bucketNumber(number uint64) int {
	return int(mix(number) & uint64(len(x.ends)-1))
}

// bucket returns the servers of the bucket that a number falls into.
func (x *bucketIndex) bucket(number uint64) []*serverState {
	i := x.bucketNumber(number)
	start := 0
	if i > 0 {
		start = x.ends[i-1]
	}
	return x.servers[start:x.ends[i]]
}

// mix hashes a number to 64 bits (the finalizer of SplitMix64).
func mix(number uint64) uint64 {
	number += goldenRatio
	number = (number ^ number>>30) * 0xbf58476d1ce4e5b9
	number = (number ^ number>>27) * 0x94d049bb133111eb
	return number ^ number>>31
}
