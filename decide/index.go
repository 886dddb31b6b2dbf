package decide

import "slices"

// serverIndex finds a few servers of many by a hash: the same ones at every balancer that has the same list, and the
// same but for those that came or went at one whose list is a little older. Each server has a bucket by its id; how
// many buckets there are depends on the number of servers alone.
type serverIndex struct {
	servers []*server // by bucket
	ends    []int     // of each bucket in servers; a power of two of them, each with one or two servers on average
}

// build puts servers into buckets, in place of those before.
func (x *serverIndex) build(servers []*server) {
	count := 1
	for 2*count <= len(servers) {
		count *= 2
	}
	x.ends = slices.Grow(x.ends[:0], count)[:count]
	x.servers = slices.Grow(x.servers[:0], len(servers))[:len(servers)]
	clear(x.ends)
	for _, r := range servers {
		x.ends[x.place(uint64(r.id))]++
	}
	start := 0
	for i, size := range x.ends {
		x.ends[i] = start
		start += size
	}
	for _, r := range servers {
		end := &x.ends[x.place(uint64(r.id))]
		x.servers[*end] = r
		*end++
	}
}

// place is the number of the bucket that a number falls into.
func (x *serverIndex) place(number uint64) int { return int(mix(number) & uint64(len(x.ends)-1)) }

// bucket is the one that a number falls into.
func (x *serverIndex) bucket(number uint64) []*server {
	i, start := x.place(number), 0
	if i > 0 {
		start = x.ends[i-1]
	}
	return x.servers[start:x.ends[i]]
}

// mix spreads a number over 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// long tells whether a decision looks at a part of the list only.
func (l *serverList) long() bool { return len(l.ready) > wholeList }

// add takes a ready server into the selection in hand, once.
func (l *serverList) add(r *server) {
	if r.taken != l.selections && r.state == Ready {
		r.taken = l.selections
		l.candidates = append(l.candidates, r)
	}
}

// selectHomes takes the servers where all balancers expect a group, and says how many there are.
func (l *serverList) selectHomes(group uint64, draws int) int {
	for range draws {
		group++
		for _, r := range l.homes.bucket(group) {
			l.add(r)
		}
	}
	return len(l.candidates)
}

// selectDrawn takes servers by chance; one that is drawn twice counts once.
func (l *serverList) selectDrawn(from []*server, draws int, chance *pcg) {
	for range draws {
		if len(from) > 0 {
			l.add(from[int(chance.unit()*float64(len(from)))])
		}
	}
}

// reachable are those servers, or the ready ones of the zone or cell that a repeat is bound to.
func (l *serverList) reachable(f *flow, s *ServiceType, servers []*server) []*server {
	if !f.mayRan || s.Effect == Idempotent || s.Deduplication == DeduplicatedByFleet {
		return servers
	}
	if l.zones == nil {
		l.sortByPlace()
	}
	if s.Deduplication == DeduplicatedByZone {
		return l.zones[f.ranZone]
	}
	return l.cells[f.ranCell]
}

// sortByPlace is done once a list, when a repeat first asks for it.
func (l *serverList) sortByPlace() {
	l.zones, l.cells = map[Zone][]*server{}, map[CellID][]*server{}
	for _, r := range l.ready {
		l.zones[r.zone] = append(l.zones[r.zone], r)
		l.cells[r.cell] = append(l.cells[r.cell], r)
	}
}

// arrange sorts the ready servers of a long list by what decisions draw from. Groups are at home anywhere, or in the
// own zone where its servers, each weighing so much more, are likelier homes than all others.
func (l *serverList) arrange(nearWeight float64) {
	l.near, l.zones, l.cells = l.near[:0], nil, nil
	if !l.long() {
		return
	}
	for _, r := range l.ready {
		if r.zone == l.Zone {
			l.near = append(l.near, r)
		}
	}
	homes := l.ready
	if near := float64(len(l.near)); nearWeight*near > float64(len(l.ready))-near {
		homes = l.near
	}
	l.homes.build(homes)
}
