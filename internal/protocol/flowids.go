package protocol

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
)

const (
	// servedIDs is how many ids of ended flows stay in use that a server may have run.
	servedIDs = 16_384
	// unservedIDs is how many ids of ended flows stay in use that no server has run. They are kept apart, as a client can
	// end thousands of such flows a second.
	unservedIDs = 4096
	idKeyBytes  = 16
	hashBytes   = 8
)

// flowIDs is the set of the ids of all open flows and of flows that ended recently. An id in the set is refused for
// another flow, and the first flow is not affected. As each connection has a new id, a client that uses the id of another
// flow must have copied it, or repeats a flow that may have run.
type flowIDs struct {
	mu sync.Mutex // guards the fields below
	// key is hashed with each id: clients choose their ids, and must not be able to construct collisions.
	key       []byte
	open      map[uint64]struct{} // of flows of this process
	elsewhere map[uint64]struct{} // of flows that are open at the other process of this balancer
	served    idRing              // of ended flows that a server may have run
	unserved  idRing              // of ended flows that no server has run
	// claimElsewhere claims an id at the process that imported the ids, and reports whether it was in use there. It
	// is nil if there is no such process.
	claimElsewhere func(hash uint64) bool
	// onSent, if not nil, is called with the id of each flow that is sent to a server.
	onSent func(hash uint64)
}

func newFlowIDs() *flowIDs {
	ids := &flowIDs{
		key:       make([]byte, idKeyBytes),
		open:      map[uint64]struct{}{},
		elsewhere: map[uint64]struct{}{},
		served:    newIDRing(servedIDs),
		unserved:  newIDRing(unservedIDs),
	}
	_, _ = rand.Read(ids.key) // never fails
	return ids
}

func (ids *flowIDs) hash(id string) uint64 {
	sum := sha256.Sum256(append(ids.key[:len(ids.key):len(ids.key)], id...))
	return binary.BigEndian.Uint64(sum[:])
}

// isTaken reports whether an id is in the set. The caller holds the mutex.
func (ids *flowIDs) isTaken(hash uint64) bool {
	_, isOpen := ids.open[hash]
	_, isElsewhere := ids.elsewhere[hash]
	return isOpen || isElsewhere || ids.served.contains(hash) || ids.unserved.contains(hash)
}

// claim adds the id of a new flow to the set and reports whether it was free. If so, the caller must call end once the
// flow has ended.
func (ids *flowIDs) claim(id string) (wasFree bool) {
	ids.mu.Lock()
	hash := ids.hash(id)
	claimElsewhere := ids.claimElsewhere
	wasFree = !ids.isTaken(hash)
	if wasFree {
		ids.open[hash] = struct{}{}
	}
	ids.mu.Unlock()
	if !wasFree || claimElsewhere == nil || !claimElsewhere(hash) {
		return wasFree
	}
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, hash) // there is no flow here for which end would be called
	ids.unserved.add(hash)
	return false
}

// claimHash adds the id of a flow that the other process opens. Unlike claim it reports whether the id was in use, as the
// reply to that process does.
func (ids *flowIDs) claimHash(hash uint64) (wasTaken bool) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	wasTaken = ids.isTaken(hash)
	if !wasTaken {
		ids.elsewhere[hash] = struct{}{}
	}
	return wasTaken
}

// adopt records that a flow of the other process is now one of this process. The caller must call end once it has ended.
func (ids *flowIDs) adopt(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	hash := ids.hash(id)
	delete(ids.elsewhere, hash)
	ids.open[hash] = struct{}{}
}

// sent records that a flow is being sent to a server.
func (ids *flowIDs) sent(id string) {
	ids.mu.Lock()
	onSent := ids.onSent
	hash := ids.hash(id)
	ids.mu.Unlock()
	if onSent != nil {
		onSent(hash)
	}
}

// addServed adds the id of a flow that the other process has sent to a server.
func (ids *flowIDs) addServed(hash uint64) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.served.add(hash)
}

// end records that a flow has ended, and whether a server may have run it. The empty id belongs to no flow and is
// ignored.
func (ids *flowIDs) end(id string, mayHaveRun bool) {
	if id == "" {
		return
	}
	ids.mu.Lock()
	defer ids.mu.Unlock()
	hash := ids.hash(id)
	delete(ids.open, hash)
	if mayHaveRun {
		ids.served.add(hash)
	} else {
		ids.unserved.add(hash)
	}
}

// endSharing records that the other process has ended, and all flows that were open there.
func (ids *flowIDs) endSharing() {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.claimElsewhere, ids.onSent = nil, nil
	for hash := range ids.elsewhere {
		ids.served.add(hash)
	}
	clear(ids.elsewhere)
}

// export returns all ids in the set, those that matter most last: an earlier build keeps only the last ones. From then on
// claimElsewhere is called for each new id.
func (ids *flowIDs) export(claimElsewhere func(hash uint64) bool) SharedIDs {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.claimElsewhere = claimElsewhere
	shared := SharedIDs{Key: ids.key}
	for hash := range ids.open {
		shared.Open = binary.BigEndian.AppendUint64(shared.Open, hash)
	}
	for hash := range ids.elsewhere {
		shared.Open = binary.BigEndian.AppendUint64(shared.Open, hash)
	}
	shared.All = append(ids.served.appendTo(ids.unserved.appendTo(nil)), shared.Open...)
	return shared
}

// importShared imports what export returned. Without the ids of open flows, which earlier builds don't send, all are
// added as those of ended flows. From then on onSent is called for each flow that is sent to a server.
func (ids *flowIDs) importShared(shared SharedIDs, onSent func(hash uint64)) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.onSent = onSent
	ids.key = shared.Key
	for hash := range hashesIn(shared.Open) {
		ids.elsewhere[hash] = struct{}{}
	}
	for hash := range hashesIn(shared.All) {
		if !ids.isTaken(hash) {
			ids.served.add(hash)
		}
	}
}

// hashesIn returns the hashes in a concatenation of them.
func hashesIn(concatenated []byte) func(yield func(hash uint64) bool) {
	return func(yield func(hash uint64) bool) {
		for ; len(concatenated) >= hashBytes; concatenated = concatenated[hashBytes:] {
			if !yield(binary.BigEndian.Uint64(concatenated)) {
				return
			}
		}
	}
}
