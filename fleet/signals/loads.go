package signals

import (
	"maps"
	"slices"
	"time"

	"yardwinch/decide"
)

// loadValidity is the age after which a load report is no longer published. In a small fleet it has been published about
// three times by then, in a larger one less often.
const loadValidity = 6 * time.Second

// ownLoad is a load report that this balancer received from the server itself.
type ownLoad struct {
	load  float64
	epoch uint64
	at    time.Duration
}

// ShareLoads makes the exchange publish the load reports that this balancer receives from servers itself. onLoadReport
// is called for each of them, and returns the epoch of the lease on the server's health checks.
func (e *Exchange) ShareLoads(onLoadReport func(_ decide.ServerID, now time.Duration) (epoch uint64)) {
	e.onLoadReport = onLoadReport
}

// OnLoadReport handles a server's report of its load. One that another balancer published is not published again as
// this balancer's own.
func (e *Exchange) OnLoadReport(id decide.ServerID, load float64) {
	if e.onLoadReport == nil || e.isRelaying {
		return
	}
	epoch := e.onLoadReport(id, e.now)
	e.loads[id] = ownLoad{load: load, epoch: epoch, at: e.now}
}

// WithRelayedLoads runs a function that passes on load reports of another balancer.
func (e *Exchange) WithRelayedLoads(do func()) {
	e.isRelaying = true
	defer func() { e.isRelaying = false }()
	do()
}

// loadReports returns the load reports to publish now.
func (e *Exchange) loadReports() (reports []LoadReport) {
	for _, id := range slices.Sorted(maps.Keys(e.loads)) {
		own := e.loads[id]
		age := e.now - own.at
		if age < loadValidity && len(reports) < MaxLoadReports {
			reports = append(reports, LoadReport{Server: id, Load: own.load, Epoch: own.epoch, Age: age})
		}
	}
	return reports
}
