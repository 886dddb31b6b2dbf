package signals

import (
	"maps"
	"slices"
	"time"
)

// MaxOrigins limits the number of origins whose records are stored.
const MaxOrigins = 2000

const originRetention = 10 * time.Minute // after the last record of an origin, which is then dropped if the store is full

// Store holds the latest record of each other origin.
type Store struct {
	own     Origin
	records map[Origin]storedRecord
}

// storedRecord is a record and when it was received. The ages of its reports are as of then.
type storedRecord struct {
	Record
	at time.Duration
}

// newStore returns the store of the balancer that publishes as own.
func newStore(own Origin) *Store { return &Store{own: own, records: map[Origin]storedRecord{}} }

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
	s.records[record.Origin] = storedRecord{Record: record, at: now}
	return true
}

// dropExpired drops the origins without a record for originRetention.
func (s *Store) dropExpired(now time.Duration) {
	for origin, stored := range s.records {
		if now-stored.at > originRetention {
			delete(s.records, origin)
		}
	}
}

// All returns all records, ordered by origin, and how long ago each was received.
func (s *Store) All(now time.Duration) (records []Record, ages []time.Duration) {
	for _, origin := range slices.Sorted(maps.Keys(s.records)) {
		stored := s.records[origin]
		records = append(records, stored.Record)
		ages = append(ages, now-stored.at)
	}
	return records, ages
}
