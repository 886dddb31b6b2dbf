package protocol

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
)

const (
	// retiredIDs is how many ids of flows that ended stay taken.
	retiredIDs = 4096
	idKeyBytes = 16
	hashBytes  = 8
)

// flowIDs keeps the ids of all flows that have not ended, and of the last that did. An id that is taken is refused the
// second time and the first flow goes on: each connection brings a new id, so that a client with the id of a flow that
// ended a short while ago has read it from another client.
type flowIDs struct {
	mu sync.Mutex // guards the fields below
	// key goes into the hashes: clients choose their ids, and must not choose which ones share a hash.
	key     []byte
	taken   map[uint64]struct{}
	retired []uint64 // the ids that ended, a ring
	oldest  int      // of the ring, once it is full
	// isTakenElsewhere asks the process that took the ids over; nil: there is none.
	isTakenElsewhere func(hash uint64) bool
}

func newFlowIDs() *flowIDs {
	ids := &flowIDs{taken: map[uint64]struct{}{}, key: make([]byte, idKeyBytes)}
	_, _ = rand.Read(ids.key) // it never fails
	return ids
}

func (ids *flowIDs) hash(id string) uint64 {
	sum := sha256.Sum256(append(ids.key[:len(ids.key):len(ids.key)], id...))
	return binary.BigEndian.Uint64(sum[:])
}

// claim takes an id for a flow, until end. It reports whether it was free.
func (ids *flowIDs) claim(id string) (wasFree bool) {
	ids.mu.Lock()
	hash := ids.hash(id)
	isTakenElsewhere := ids.isTakenElsewhere
	wasFree = ids.take(hash)
	ids.mu.Unlock()
	if !wasFree || isTakenElsewhere == nil || !isTakenElsewhere(hash) {
		return wasFree
	}
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.retire(hash) // no flow here will end with it
	return false
}

// claimHash takes an id for a flow of the other process. Unlike claim it reports whether it was taken already, as the
// reply to that process does.
func (ids *flowIDs) claimHash(hash uint64) (wasTaken bool) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if !ids.take(hash) {
		return true
	}
	ids.retire(hash)
	return false
}

// end says that the flow of an id ended; the empty id belongs to none.
func (ids *flowIDs) end(id string) {
	if id == "" {
		return
	}
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.retire(ids.hash(id))
}

// take reports whether an id was free; the mutex is held.
func (ids *flowIDs) take(hash uint64) (wasFree bool) {
	if _, ok := ids.taken[hash]; ok {
		return false
	}
	ids.taken[hash] = struct{}{}
	return true
}

// retire keeps an id among the last that ended, and frees the oldest of these; the mutex is held.
func (ids *flowIDs) retire(hash uint64) {
	if len(ids.retired) < retiredIDs {
		ids.retired = append(ids.retired, hash)
		return
	}
	delete(ids.taken, ids.retired[ids.oldest])
	ids.retired[ids.oldest] = hash
	ids.oldest = (ids.oldest + 1) % retiredIDs
}

// share returns the key and the hashes of all ids that are taken, and has each further id claimed elsewhere too.
func (ids *flowIDs) share(isTakenElsewhere func(hash uint64) bool) (key, hashes []byte) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.isTakenElsewhere = isTakenElsewhere
	for hash := range ids.taken {
		hashes = binary.BigEndian.AppendUint64(hashes, hash)
	}
	return ids.key, hashes
}

// adopt takes over what share returned, as ids that ended: these stay taken longest.
func (ids *flowIDs) adopt(key, hashes []byte) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.key = key
	for ; len(hashes) >= hashBytes; hashes = hashes[hashBytes:] {
		if hash := binary.BigEndian.Uint64(hashes); ids.take(hash) {
			ids.retire(hash)
		}
	}
}

// ClaimID takes an id for a flow and reports whether it was free.
func (f *Frontend) ClaimID(id string) (wasFree bool) { return f.ids.claim(id) }

// ShareIDs returns the ids that are taken, as hashes under a key, for another process that takes them over. From
// then on that process is asked for each new id; nil ends this.
func (f *Frontend) ShareIDs(isTakenElsewhere func(hash uint64) (taken bool)) (key, ids []byte) {
	return f.ids.share(isTakenElsewhere)
}

// ImportIDs takes over what ShareIDs returned in another process, before any client is served.
func (f *Frontend) ImportIDs(key, ids []byte) { f.ids.adopt(key, ids) }

// ClaimHash takes an id for a flow of the other process, and reports whether it was taken already.
func (f *Frontend) ClaimHash(hash uint64) (wasTaken bool) { return f.ids.claimHash(hash) }
