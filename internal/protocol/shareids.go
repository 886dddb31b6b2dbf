package protocol

// This file shares the ids of flows between the two processes of a balancer during a hand-over.

// SharedIDs are the ids of flows that a process has in use, as keyed hashes, for another process.
type SharedIDs struct {
	Key  []byte // of the hash function
	All  []byte // concatenated hashes
	Open []byte // those of open flows, which are in All too
}

// ClaimID claims an id for a flow and reports whether it was free.
func (f *Frontend) ClaimID(id string) (wasFree bool) { return f.ids.claim(id) }

// ShareIDs returns the ids in use for another process that imports them. From then on claimElsewhere is called for each
// new id, to claim it at that process.
func (f *Frontend) ShareIDs(claimElsewhere func(hash uint64) (taken bool)) SharedIDs {
	return f.ids.export(claimElsewhere)
}

// ImportIDs imports what ShareIDs returned in another process. It is called before any client is served. From then on
// onSent is called with the hash of the id of each flow that is sent to a server.
func (f *Frontend) ImportIDs(shared SharedIDs, onSent func(hash uint64)) {
	f.ids.importShared(shared, onSent)
}

// ClaimHash claims an id, given by its hash, for a flow of the other process. It reports whether the id was in use.
func (f *Frontend) ClaimHash(hash uint64) (wasTaken bool) { return f.ids.claimHash(hash) }

// AddServedHash records that the other process has sent a flow to a server, given by the hash of its id.
func (f *Frontend) AddServedHash(hash uint64) { f.ids.addServed(hash) }

// EndIDSharing records that the other process has ended, with all its flows.
func (f *Frontend) EndIDSharing() { f.ids.endSharing() }
