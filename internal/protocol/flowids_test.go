package protocol

import (
	"fmt"
	"testing"

	"yardwinch/decide"
)

// count returns the number of ids in the set.
func (ids *flowIDs) count() int {
	return len(ids.open) + len(ids.elsewhere) + len(ids.served.order) + len(ids.unserved.order)
}

// endMany claims and ends a number of ids.
func (ids *flowIDs) endMany(t *testing.T, prefix string, number int, mayHaveRun bool) {
	t.Helper()
	for i := range number {
		id := fmt.Sprint(prefix, i)
		if !ids.claim(id) {
			t.Fatalf("%s is in use", id)
		}
		ids.end(id, mayHaveRun)
	}
}

// The number of ids in use is bounded: the oldest of flows that ended become free.
func TestOldestIDsBecomeFree(t *testing.T) {
	ids := newFlowIDs()
	ids.endMany(t, "served", servedIDs+1, true)
	ids.endMany(t, "unserved", unservedIDs+1, false)
	if n := ids.count(); n != servedIDs+unservedIDs {
		t.Errorf("%d ids are in use, want %d", n, servedIDs+unservedIDs)
	}
	for id, want := range map[string]bool{"served0": true, "served1": false, "unserved0": true, "unserved1": false} {
		if isFree := !ids.isTaken(ids.hash(id)); isFree != want {
			t.Errorf("%s is free: %v, want %v", id, isFree, want)
		}
	}
}

// Guards against a flow that runs twice because its id was forgotten: clients that are turned away by the thousand don't
// displace the ids of flows that a server may have run, nor those of open ones.
func TestUnservedFlowsDisplaceNoServedOnes(t *testing.T) {
	ids := newFlowIDs()
	ids.endMany(t, "ran", 1, true)
	ids.claim("open")
	ids.endMany(t, "x", servedIDs+unservedIDs, false)
	for _, id := range []string{"ran0", "open"} {
		if ids.claim(id) {
			t.Errorf("%s is free", id)
		}
	}
}

// Guards against a flow that runs twice over a replacement of the process: the id of a flow that is still open at either
// process stays in use, whatever ends meanwhile, and so does that of one that ended at either.
func TestSharedIDsStayInUse(t *testing.T) {
	old, next := newFlowIDs(), newFlowIDs()
	for _, id := range []string{"open", "transferred", "ran"} {
		old.claim(id)
	}
	old.end("ran", true)
	next.importShared(old.export(next.claimHash), old.addServed)
	old.claim("late")
	next.adopt("transferred")
	next.claim("new")
	next.sent("new")
	old.endMany(t, "at old ", unservedIDs+1, false)
	next.endMany(t, "at next ", unservedIDs+1, false)
	check := func(when string, ids *flowIDs, taken ...string) {
		t.Helper()
		for _, id := range taken {
			if !ids.isTaken(ids.hash(id)) {
				t.Errorf("%s: %s is free", when, id)
			}
		}
	}
	next.endMany(t, "y", servedIDs-1, true) // all but one of the ring, which has "ran"
	check("at the successor", next, "open", "transferred", "late", "new", "ran")
	next.endMany(t, "z", 10, true)
	check("at the successor, after more flows than are kept", next, "open", "transferred", "late", "new")
	next.endSharing()
	next.endMany(t, "w", servedIDs-unservedIDs-10, true) // the ring has room for these and those of the predecessor
	check("after the end of the predecessor", next, "open", "transferred", "late", "new")
	old.endSharing()
	check("at the predecessor, after the end of the successor", old, "open", "transferred", "late", "new", "ran")
}

// A process of an earlier build hands over ids without saying which are open, and keeps only the last ones that it is
// handed.
func TestSharedIDsWithEarlierBuild(t *testing.T) {
	old, next := newFlowIDs(), newFlowIDs()
	old.endMany(t, "x", unservedIDs, false)
	old.claim("open")
	shared := old.export(nil)
	last := shared.All[len(shared.All)-hashBytes:]
	for hash := range hashesIn(last) {
		if hash != old.hash("open") {
			t.Error("the last id is not that of the open flow, which an earlier build keeps longest")
		}
	}
	shared.Open = nil
	next.importShared(shared, nil)
	next.adopt("open")
	next.endMany(t, "y", servedIDs, true)
	if next.claim("open") {
		t.Error("the id of a flow that was taken over is free")
	}
}

// An id that is in use in another process of this balancer belongs to no flow here. It is kept like that of a flow that
// ended, so that the set does not grow without bound.
func TestIDTakenByOtherProcess(t *testing.T) {
	f := startBalancer(t, decide.Idempotent, 0).frontend
	f.ShareIDs(func(uint64) bool { return true })
	for i := range 2 * unservedIDs {
		if f.ClaimID(fmt.Sprint("x", i)) {
			t.Fatal("an id that is in use in the other process is free here")
		}
	}
	if n := f.ids.count(); n > unservedIDs {
		t.Errorf("%d ids are in use, want at most %d", n, unservedIDs)
	}
}
