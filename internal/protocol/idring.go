package protocol

import "encoding/binary"

// idRing is a set of hashes of ids that keeps only the last ones that were added.
type idRing struct {
	size   int
	hashes map[uint64]struct{}
	order  []uint64 // in the order of their addition, from oldest on and around
	oldest int      // index of the oldest entry, once the ring is full
}

func newIDRing(size int) idRing { return idRing{size: size, hashes: map[uint64]struct{}{}} }

func (r *idRing) contains(hash uint64) bool {
	_, ok := r.hashes[hash]
	return ok
}

// add adds a hash, in place of the oldest one if the ring is full. A hash that is in the ring keeps its place.
func (r *idRing) add(hash uint64) {
	if r.contains(hash) {
		return
	}
	r.hashes[hash] = struct{}{}
	if len(r.order) < r.size {
		r.order = append(r.order, hash)
		return
	}
	delete(r.hashes, r.order[r.oldest])
	r.order[r.oldest] = hash
	r.oldest = (r.oldest + 1) % r.size
}

// appendTo appends all hashes to text, the oldest first.
func (r *idRing) appendTo(text []byte) []byte {
	for i := range r.order {
		text = binary.BigEndian.AppendUint64(text, r.order[(r.oldest+i)%len(r.order)])
	}
	return text
}
