// Package signals is what balancers publish to each other about servers, and what one balancer decides by it. It
// does no I/O and has no clock: time comes with the calls. Each origin publishes its whole state, never events, so
// that the next record makes up for a lost one. Of two records of an origin the later one counts, by incarnation,
// then by sequence: merging is a join-semilattice, in which order, repeats and loss do not matter.
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
	// Incarnation tells the starts of an origin apart; only its order counts, as clocks may be wrong.
	Incarnation uint64
	// Sequence orders the records of one incarnation.
	Sequence uint64
)

// Fault is what an origin observes of a server; a higher one is worse.
type Fault int

// Faults of a server, by their numbers in messages.
const (
	// Healthy: connections are established and nothing is wrong.
	Healthy Fault = iota
	// Late: messages or set-ups take too long.
	Late
	// Failing: set-ups fail, or connections break.
	Failing
	// Silent: nothing is answered.
	Silent
)

// String is the fault as the operators' calls show it.
func (f Fault) String() string { return [...]string{"well", "late", "failing", "silent"}[f] }

// Report is what an origin reports of one server.
type Report struct {
	Server      decide.ServerID
	Fault       Fault
	Connections int           // that the origin has established there
	Age         time.Duration // of the newest evidence, when the record was published
}

// LoadReport is the load that a server reported to an origin which checks its health for all.
type LoadReport struct {
	Server decide.ServerID
	Load   float64 // over the server's capacity
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
	Rate        float64 // new flows a second
	Reports     []Report
	LoadReports []LoadReport
}

const (
	// MaxReports bounds the reports of a record: faulty servers come first, then those with most connections.
	MaxReports = 48
	// MaxLoadReports bounds the load reports of a record.
	MaxLoadReports = 64
)

// isLater reports whether a record replaces another of its origin.
func isLater(a, b Record) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// age makes the reports of a record older. They are copied, as others may share them.
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

// hasFault reports whether a record reports a fault of any server.
func (r *Record) hasFault() bool {
	return slices.ContainsFunc(r.Reports, func(report Report) bool { return report.Fault != Healthy })
}
