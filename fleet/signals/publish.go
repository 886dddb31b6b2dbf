package signals

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardwinch/decide"
)

const (
	publishGap    = 250 * time.Millisecond // between two records of one origin
	quietInterval = 2 * time.Second        // the same while nothing is wrong, in a small fleet
	smallFleet    = 40                     // in a larger one it grows with the fleet, so that what passes stays the same
	republishTime = troubleValid / 2       // trouble is published again before what was reported of it fades
	minElapsed    = 0.001                  // seconds that a rate is reckoned over
)

// Publish returns the record to publish now, if one is due: soon after something changed, and now and then, in a fleet of so many. It
// goes out less often the larger the fleet is, and a trouble that enough others report already is no reason to hurry.
func (s *Exchange) Publish(fleet int) (Record, bool) {
	s.fleetSize = fleet
	elapsed := s.now - s.publishedAt
	if elapsed < publishGap {
		return Record{}, false
	}
	s.gather()
	reports, urgent := s.reports()
	if !urgent && elapsed < quietIntervalOf(fleet) {
		return Record{}, false
	}
	if s.own.Sequence > 0 {
		s.own.Rate = float64(s.newFlows) / math.Max(elapsed.Seconds(), minElapsed)
	}
	s.own.Sequence++
	s.own.Reports = reports
	s.own.LoadReports = s.loadReports()
	s.published = reports
	s.publishedAt = s.now
	s.newFlows = 0
	return s.own, true
}

// quietIntervalOf is the interval between records in a fleet of so many while nothing is wrong.
func quietIntervalOf(fleet int) time.Duration {
	return time.Duration(float64(quietInterval) * math.Max(1, float64(fleet)/smallFleet))
}

// reports are those to publish, in trouble first; urgent where one of them is worth publishing at once.
func (s *Exchange) reports() (list []Report, urgent bool) {
	before := map[decide.ServerID]Report{}
	for _, report := range s.published {
		before[report.Server] = report
	}
	for id, x := range s.observations {
		trouble, age := x.trouble(s.now)
		report := Report{Server: id, Fault: trouble, Connections: x.held, Age: age}
		wasInTrouble := before[id].Fault != Healthy
		switch {
		case trouble != Healthy:
			list = append(list, report)
			urgent = urgent || s.urgent(id, wasInTrouble)
		case x.held > 0:
			report.Age = 0 // connections stand there now
			list = append(list, report)
			urgent = urgent || wasInTrouble
		case wasInTrouble && age < evidenceValid:
			list = append(list, report)
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Fault, a.Fault), cmp.Compare(b.Connections, a.Connections), cmp.Compare(a.Server, b.Server))
	})
	return list[:min(len(list), MaxReports)], urgent
}

// urgent tells whether trouble on a server is worth publishing at once: by some of those who observe it, where it is new or what was
// published of it is about to fade.
func (s *Exchange) urgent(id decide.ServerID, published bool) bool {
	others := 0
	if c := s.servers[id]; c != nil {
		others = c.troubled - 1
	}
	return others < maxReporters && (!published || s.now-s.publishedAt > republishTime)
}

// OwnRecord is what this balancer last published.
func (s *Exchange) OwnRecord() Record { return s.own }
