package signals

import (
	"maps"
	"slices"
	"time"

	"yardwinch/decide"
)

const loadValid = 6 * time.Second // of a load report: one that was published thrice was heard, and what is older is no news

// ownLoad is a server's report of its load that came to this balancer first.
type ownLoad struct {
	load  float64
	epoch uint64
	at    time.Duration
}

// ShareLoads has what servers report here published to the others; onLoad hears of each report that came here first and gives the epoch
// of the duty.
func (s *Exchange) ShareLoads(onLoad func(decide.ServerID, time.Duration) (epoch uint64)) {
	s.onLoad = onLoad
}

// OnLoadReport takes in a server's own report of its load. One that another balancer relayed is not published again as this balancer's own.
func (s *Exchange) OnLoadReport(id decide.ServerID, load float64) {
	if s.onLoad == nil || s.relaying {
		return
	}
	epoch := s.onLoad(id, s.now)
	s.loads[id] = ownLoad{load: load, epoch: epoch, at: s.now}
}

// Relay runs something while load reports are others'.
func (s *Exchange) Relay(do func()) {
	s.relaying = true
	defer func() { s.relaying = false }()
	do()
}

// loadReports are those to publish now.
func (s *Exchange) loadReports() (reports []LoadReport) {
	for _, id := range slices.Sorted(maps.Keys(s.loads)) {
		x := s.loads[id]
		age := s.now - x.at
		if age < loadValid && len(reports) < MaxLoadReports {
			reports = append(reports, LoadReport{Server: id, Load: x.load, Epoch: x.epoch, Age: age})
		}
	}
	return reports
}
