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
	Origin      string // a balancer
	Incarnation uint64 // of an origin's starts; only its order counts, no clock is trusted for it
	Sequence    uint64 // of what an origin told in one incarnation
)

// Trouble is what an origin saw of a server, the worst last.
type Trouble int

const (
	Well    Trouble = iota // connections stand there and nothing is wrong
	Late                   // messages or set-ups take too long
	Failing                // set-ups fail, or connections break
	Silent                 // nothing comes back
)

func (t Trouble) String() string { return [...]string{"well", "late", "failing", "silent"}[t] }

// Sight is what an origin sees of one server.
type Sight struct {
	Server  decide.ServerID
	Trouble Trouble
	Held    int           // connections that it holds there
	Age     time.Duration // of the newest evidence, when it was told
}

// Load is what a server told this origin of itself, when it probed it for all.
type Load struct {
	Server decide.ServerID
	Load   float64 // over its capacity
	Epoch  uint64  // of the duty to probe it
	Age    time.Duration
}

// Record is all that an origin tells.
type Record struct {
	Origin      Origin
	Incarnation Incarnation
	Sequence    Sequence
	Build       string
	Settings    string  // a digest of what it was told
	Rate        float64 // new flows a second
	Sights      []Sight
	Loads       []Load
}

// Bounds of what is kept and told.
const (
	MostOrigins = 2000
	MostLoads   = 64
	MostSights  = 48 // of a record; those in trouble first, then those with most connections
	forgetAfter = 10 * time.Minute
)

// later tells whether a record takes another's place.
func later(a, b Record) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// Store is what was heard, by origin. The zero value is not for use.
type Store struct {
	own     Origin
	records map[Origin]heard
}

type heard struct {
	Record
	at time.Duration // when it came: what it tells is as old as it was then, and this more
}

// NewStore makes one that keeps nothing of its own origin: that is known better here.
func NewStore(own Origin) *Store { return &Store{own: own, records: map[Origin]heard{}} }

// Merge takes a record in, and tells whether it was news. One of the store's own origin is never kept.
func (s *Store) Merge(r Record, now time.Duration) bool {
	old, known := s.records[r.Origin]
	if r.Origin == s.own || known && !later(r, old.Record) {
		return false
	}
	if !known && len(s.records) >= MostOrigins {
		s.forget(now)
		if len(s.records) >= MostOrigins {
			return false
		}
	}
	s.records[r.Origin] = heard{r, now}
	return true
}

// forget drops who has said nothing for long.
func (s *Store) forget(now time.Duration) {
	for o, h := range s.records {
		if now-h.at > forgetAfter {
			delete(s.records, o)
		}
	}
}

// All is every record with how long ago it came, by origin.
func (s *Store) All(now time.Duration) (list []Record, ages []time.Duration) {
	for _, o := range slices.Sorted(maps.Keys(s.records)) {
		list = append(list, s.records[o].Record)
		ages = append(ages, now-s.records[o].at)
	}
	return list, ages
}
