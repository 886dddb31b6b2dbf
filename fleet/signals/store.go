package signals

import (
	"maps"
	"slices"
	"time"
)

// MaxOrigins bounds the origins whose records are stored.
const MaxOrigins = 2000

const originRetention = 10 * time.Minute // after the last record of an origin, when room is needed

// Store holds the latest record of each origin but its own.
type Store struct {
	own     Origin
	records map[Origin]received
}

// received is a record and when it came; its reports have aged since then.
type received struct {
	Record
	at time.Duration
}

// newStore makes a store of a balancer that publishes as own.
func newStore(own Origin) *Store { return &Store{own: own, records: map[Origin]received{}} }

// Merge stores a record that is later than the stored one of its origin, and reports whether it did.
func (s *Store) Merge(record Record, now time.Duration) bool {
	if record.Origin == s.own {
		return false
	}
	stored, known := s.records[record.Origin]
	if known && !isLater(record, stored.Record) {
		return false
	}
	if !known && len(s.records) >= MaxOrigins {
		s.dropExpired(now)
		if len(s.records) >= MaxOrigins {
			return false
		}
	}
	s.records[record.Origin] = received{Record: record, at: now}
	return true
}

// dropExpired drops the origins that have published nothing for long.
func (s *Store) dropExpired(now time.Duration) {
	for origin, stored := range s.records {
		if now-stored.at > originRetention {
			delete(s.records, origin)
		}
	}
}

// All returns every record, by origin, and how long ago each came.
func (s *Store) All(now time.Duration) (records []Record, ages []time.Duration) {
	for _, origin := range slices.Sorted(maps.Keys(s.records)) {
		stored := s.records[origin]
		records = append(records, stored.Record)
		ages = append(ages, now-stored.at)
	}
	return records, ages
}
