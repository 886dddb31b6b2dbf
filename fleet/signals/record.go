// Package signals exchanges what balancers observe of servers, and penalises servers that enough of them report as
// faulty. It does no I/O and has no clock: the time is passed in. Each origin publishes its full state rather than
// events, so that the next record makes up for a lost one. Of two records of an origin the later one is kept, by
// incarnation and then by sequence. So the merge is the join of a semilattice: the order, duplication and loss of
// records do not matter.
package signals

import (
	"cmp"
	"slices"
	"time"

	"yardwinch/decide"
)

type (
	// Origin is the name of a balancer that publishes.
	Origin string
	// Incarnation distinguishes the starts of an origin. Only its order matters, as clocks may be wrong.
	Incarnation uint64
	// Sequence orders the records of one incarnation.
	Sequence uint64
)

// Fault is the fault that an origin observes at a server; a higher one is worse.
type Fault int

// Faults of a server. Messages hold their numbers.
const (
	// Healthy: connections are established and nothing is wrong.
	Healthy Fault = iota
	// Late: messages or set-ups take too long.
	Late
	// Failing: set-ups fail, or connections break.
	Failing
	// Silent: no attempt is answered.
	Silent
)

// String returns the fault as the control interface shows it.
func (f Fault) String() string { return [...]string{"well", "late", "failing", "silent"}[f] }

// Report is what an origin reports on one server.
type Report struct {
	Server      decide.ServerID
	Fault       Fault
	Connections int           // that the origin has established there
	Age         time.Duration // of the newest evidence, when the record was published
}

// LoadReport is the load that a server reported to the origin that checks its health for all balancers.
type LoadReport struct {
	Server decide.ServerID
	Load   float64 // as a share of the server's capacity
	Epoch  uint64  // of the lease on the server's health checks
	Age    time.Duration
}

// Record is everything that an origin publishes.
type Record struct {
	Origin      Origin
	Incarnation Incarnation
	Sequence    Sequence
	Build       string
	Settings    string  // a digest of the settings that should be the same at all balancers
	Rate        float64 // new flows per second
	Reports     []Report
	LoadReports []LoadReport
}

const (
	// MaxReports limits the reports of a record: faulty servers come first, then those with the most connections.
	MaxReports = 48
	// MaxLoadReports limits the load reports of a record.
	MaxLoadReports = 64
)

// isLater reports whether record a replaces record b of the same origin.
func isLater(a, b Record) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// age adds to the ages of a record's reports. The reports are copied first, as other records may share them.
func (r *Record) age(by time.Duration) {
	r.Reports = slices.Clone(r.Reports)
	for i := range r.Reports {
		r.Reports[i].Age += by
	}
	r.LoadReports = slices.Clone(r.LoadReports)
	for i := range r.LoadReports {
		r.LoadReports[i].Age += by
	}
}

// hasFault reports whether a record reports any server as faulty.
func (r *Record) hasFault() bool {
	return slices.ContainsFunc(r.Reports, func(report Report) bool { return report.Fault != Healthy })
}
