// Package signals holds what balancers tell each other of what each sees at first hand, and bounds the decisions by it. It does no
// I/O and has no clock: time comes with the calls. Each origin tells its whole state, never events: what is lost is healed by the
// next. Of two states of one origin the later one (by incarnation, then sequence) holds, so that order, repeats and loss of what
// passes don't matter: a join-semilattice, by origin the greater.
package signals

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yardwinch/decide"
)

// Each kind of id is a type of its own.
type (
	// Origin names a balancer.
	Origin string
	// Incarnation tells the starts of an origin apart; only its order counts, no clock is trusted for it.
	Incarnation uint64
	// Sequence orders what an origin published in one incarnation.
	Sequence uint64
)

// Fault is what an origin observed of a server, the worst last.
type Fault int

// Faults.
const (
	Healthy Fault = iota // connections stand there and nothing is wrong
	Late                 // messages or set-ups take too long
	Failing              // set-ups fail, or connections break
	Silent               // nothing comes back
)

func (t Fault) String() string { return [...]string{"well", "late", "failing", "silent"}[t] }

// Report is what an origin reports of one server.
type Report struct {
	Server      decide.ServerID
	Fault       Fault
	Connections int           // connections that it holds there
	Age         time.Duration // of the newest evidence, when it was published
}

// LoadReport is the load that a server reported of itself to an origin that probed it for all.
type LoadReport struct {
	Server decide.ServerID
	Load   float64 // over its capacity
	Epoch  uint64  // of the duty to probe it
	Age    time.Duration
}

// Record is all that an origin publishes.
type Record struct {
	Origin      Origin
	Incarnation Incarnation
	Sequence    Sequence
	Build       string
	Settings    string  // a digest of what it was told
	Rate        float64 // new flows a second
	Reports     []Report
	LoadReports []LoadReport
}

// Bounds of what is kept and published.
const (
	MaxOrigins     = 2000
	MaxLoadReports = 64
	MaxReports     = 48 // of a record; those in trouble first, then those with most connections
	forgetAfter    = 10 * time.Minute
)

// later tells whether a record takes another's place.
func later(a, b Record) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// Store holds the newest record of each origin. The zero value is not for use.
type Store struct {
	own     Origin
	records map[Origin]received
}

// received is a record and when it came: what it reports is as old as it was then, and the time since more.
type received struct {
	Record
	at time.Duration
}

// NewStore makes one that keeps nothing of its own origin: that is known better here.
func NewStore(own Origin) *Store { return &Store{own: own, records: map[Origin]received{}} }

// Merge takes a record in, and tells whether it was news. One of the store's own origin is never kept.
func (s *Store) Merge(r Record, now time.Duration) bool {
	old, known := s.records[r.Origin]
	if r.Origin == s.own || known && !later(r, old.Record) {
		return false
	}
	if !known && len(s.records) >= MaxOrigins {
		s.forget(now)
		if len(s.records) >= MaxOrigins {
			return false
		}
	}
	s.records[r.Origin] = received{Record: r, at: now}
	return true
}

// forget drops the origins of which nothing came for long.
func (s *Store) forget(now time.Duration) {
	for origin, x := range s.records {
		if now-x.at > forgetAfter {
			delete(s.records, origin)
		}
	}
}

// All returns every record with how long ago it came, by origin.
func (s *Store) All(now time.Duration) (list []Record, ages []time.Duration) {
	for _, origin := range slices.Sorted(maps.Keys(s.records)) {
		x := s.records[origin]
		list = append(list, x.Record)
		ages = append(ages, now-x.at)
	}
	return list, ages
}
