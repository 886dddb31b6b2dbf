package protocol

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
)

const (
	// retiredIDs is how many ids of ended flows stay in use.
	retiredIDs = 4096
	idKeyBytes = 16
	hashBytes  = 8
)

// flowIDs is the set of the ids of all open flows and of the last retiredIDs that ended. An id in the set is refused
// for another flow, and the first flow is not affected. As each connection has a new id, a client that uses the id of a
// recently ended flow must have copied it from another client.
type flowIDs struct {
	mu sync.Mutex // guards the fields below
	// key is hashed with each id: clients choose their ids, and must not be able to construct collisions.
	key     []byte
	taken   map[uint64]struct{}
	retired []uint64 // a ring of the ids of ended flows
	oldest  int      // index of the oldest entry of the ring, once it is full
	// claimElsewhere claims an id at the process that imported the ids, and reports whether it was in use there. It
	// is nil if there is no such process.
	claimElsewhere func(hash uint64) bool
}

func newFlowIDs() *flowIDs {
	ids := &flowIDs{taken: map[uint64]struct{}{}, key: make([]byte, idKeyBytes)}
	_, _ = rand.Read(ids.key) // never fails
	return ids
}

func (ids *flowIDs) hash(id string) uint64 {
	sum := sha256.Sum256(append(ids.key[:len(ids.key):len(ids.key)], id...))
	return binary.BigEndian.Uint64(sum[:])
}

// claim adds the id of a new flow to the set and reports whether it was free. If so, the caller must call end once the
// flow has ended.
func (ids *flowIDs) claim(id string) (wasFree bool) {
	ids.mu.Lock()
	hash := ids.hash(id)
	claimElsewhere := ids.claimElsewhere
	wasFree = ids.addIfFree(hash)
	ids.mu.Unlock()
	if !wasFree || claimElsewhere == nil || !claimElsewhere(hash) {
		return wasFree
	}
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.retire(hash) // there is no flow here for which end would be called
	return false
}

// claimHash adds the id of a flow of the other process to the set. Unlike claim it reports whether the id was in use,
// as the reply to that process does.
func (ids *flowIDs) claimHash(hash uint64) (wasTaken bool) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if !ids.addIfFree(hash) {
		return true
	}
	ids.retire(hash)
	return false
}

// end retires the id of a flow that ended. The empty id belongs to no flow and is ignored.
func (ids *flowIDs) end(id string) {
	if id == "" {
		return
	}
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.retire(ids.hash(id))
}

// addIfFree adds an id to the set and reports whether it was free. The caller holds the mutex.
func (ids *flowIDs) addIfFree(hash uint64) (wasFree bool) {
	if _, ok := ids.taken[hash]; ok {
		return false
	}
	ids.taken[hash] = struct{}{}
	return true
}

// retire adds an id to the ring of ended flows, and removes the oldest one of the ring from the set. The caller holds
// the mutex.
func (ids *flowIDs) retire(hash uint64) {
	if len(ids.retired) < retiredIDs {
		ids.retired = append(ids.retired, hash)
		return
	}
	delete(ids.taken, ids.retired[ids.oldest])
	ids.retired[ids.oldest] = hash
	ids.oldest = (ids.oldest + 1) % retiredIDs
}

// export returns the key and the hashes of all ids in the set. From then on claimElsewhere is called for each new id.
func (ids *flowIDs) export(claimElsewhere func(hash uint64) bool) (key, hashes []byte) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.claimElsewhere = claimElsewhere
	for hash := range ids.taken {
		hashes = binary.BigEndian.AppendUint64(hashes, hash)
	}
	return ids.key, hashes
}

// importHashes imports what export returned. The ids are added as retired ones, which leave the set only when newer
// ones replace them.
func (ids *flowIDs) importHashes(key, hashes []byte) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.key = key
	for ; len(hashes) >= hashBytes; hashes = hashes[hashBytes:] {
		if hash := binary.BigEndian.Uint64(hashes); ids.addIfFree(hash) {
			ids.retire(hash)
		}
	}
}

// ClaimID claims an id for a flow and reports whether it was free.
func (f *Frontend) ClaimID(id string) (wasFree bool) { return f.ids.claim(id) }

// ShareIDs returns the ids in use, as keyed hashes, for another process that imports them. From then on
// claimElsewhere is called for each new id, to claim it at that process; calling ShareIDs with nil ends this.
func (f *Frontend) ShareIDs(claimElsewhere func(hash uint64) (taken bool)) (key, ids []byte) {
	return f.ids.export(claimElsewhere)
}

// ImportIDs imports what ShareIDs returned in another process. It is called before any client is served.
func (f *Frontend) ImportIDs(key, ids []byte) { f.ids.importHashes(key, ids) }

// ClaimHash claims an id, given by its hash, for a flow of the other process. It reports whether the id was in use.
func (f *Frontend) ClaimHash(hash uint64) (wasTaken bool) { return f.ids.claimHash(hash) }
