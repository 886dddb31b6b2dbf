package transport

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxTurn is for how long a relay may work without waiting for input before it counts as busy, and for how long busy
	// relays may work on each processor before they rest.
	maxTurn = time.Millisecond
	// restTime is for how long busy relays rest while other connections have work. As soon as no goroutine can run, the
	// scheduler looks for input on all connections.
	restTime = time.Millisecond
	// activeTime is for how long after its last input a connection counts as having work.
	activeTime = 5 * time.Second
)

// relayTurns makes the busy relays of this process rest together from time to time, so that a few connections with
// endless input don't delay all others: while busy relays keep all processors in use, the runtime looks for input on other
// connections only every 10 ms.
var relayTurns turns

// processStart is the origin of the times in turns.
var processStart = time.Now()

// turns coordinates relays.
type turns struct {
	working   atomic.Int64 // busy relays that work at present
	worked    atomic.Int64 // work of busy relays since they last rested while all processors were in use, in nanoseconds
	restUntil atomic.Int64 // when busy relays may go on, in nanoseconds since processStart

	mu            sync.Mutex // guards the fields below
	latest, other lastInput  // the two clients that had input most recently, other than by a busy relay
}

// lastInput is when a client's connection, or the one to its server, last had input.
type lastInput struct {
	client *Conn
	at     time.Time
}

// onInput records input of a client, or of its server, that is not handled by a busy relay.
func (t *turns) onInput(client *Conn, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest.client != client {
		t.other = t.latest
	}
	t.latest = lastInput{client, now}
}

// othersHaveWork reports whether clients other than the given one have had input recently.
func (t *turns) othersHaveWork(client *Conn, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.latest
	if last.client == client {
		last = t.other
	}
	return now.Sub(last.at) <= activeTime
}

// addWork records work of a client's busy relay until now, and begins a rest if one is due. No rest is due as long as a
// processor is left for others.
func (t *turns) addWork(client *Conn, work time.Duration, now time.Time) {
	processors := int64(runtime.GOMAXPROCS(0))
	if t.working.Load() < processors || t.worked.Add(int64(min(work, maxTurn))) < processors*int64(maxTurn) {
		return
	}
	t.worked.Store(0)
	if t.othersHaveWork(client, now) {
		t.restUntil.Store(int64(now.Sub(processStart) + restTime))
	}
}

// rest waits until busy relays may go on.
func (t *turns) rest(now time.Time) {
	time.Sleep(time.Duration(t.restUntil.Load()) - now.Sub(processStart))
}

// newRelayTurn returns the turn of a relay between a client and its server. The client's connection is the one that is
// counted in a budget.
func newRelayTurn(dst, src *Conn) relayTurn {
	if src.budget != nil {
		return relayTurn{client: src}
	}
	return relayTurn{client: dst}
}

// relayTurn measures the work of one relay.
type relayTurn struct {
	client  *Conn         // whose input or output is relayed
	worked  time.Duration // since the relay last waited for input
	isBusy  bool          // it counts in turns.working
	endedAt time.Time     // when it last finished with its input; zero: it has had none
}

// begin is called when the relay has input. It returns when the relay may work; end must follow.
func (r *relayTurn) begin() (now time.Time) {
	now = time.Now()
	switch {
	case now.Sub(r.endedAt) >= maxTurn: // it waited for input
		r.worked = 0
		relayTurns.onInput(r.client, now)
	case r.worked >= maxTurn:
		relayTurns.rest(now)
		relayTurns.working.Add(1)
		r.isBusy = true
		now = time.Now()
	}
	return now
}

// end is called when the relay has finished with the input that it had at the beginning.
func (r *relayTurn) end(beganAt time.Time) {
	r.endedAt = time.Now()
	work := r.endedAt.Sub(beganAt)
	r.worked += work
	if r.isBusy {
		relayTurns.addWork(r.client, work, r.endedAt)
		relayTurns.working.Add(-1)
		r.isBusy = false
	}
}
