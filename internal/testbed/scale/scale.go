// Package scale measures the resource use of yardwinch as a fleet grows. Each sweep varies one size. It runs real processes,
// parts of the real code in this process, models of gossip and of the control machines, or simulated balancers: the real
// decisions without sockets, many in one process, in virtual time. A sweep yields series of points, which are stored in
// report files; docs/CAPACITY.md is generated from those files.
package scale

import (
	"context"
	"time"
)

// Origin says how a figure was obtained.
type Origin string

// The origins of a figure.
const (
	Measured   Origin = "measured"  // read from real processes or real code at that size
	Simulated  Origin = "simulated" // from simulated balancers or models, mostly in virtual time
	Calculated Origin = "reckoned"  // derived from other figures
)

// Point is a quantity at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one quantity as a function of one size, with all other sizes fixed. Its JSON keys are those of stored reports.
type Series struct {
	Name       string             `json:"name"`     // unique over all files, such as "placement.servers-looked-at.by-servers"
	Role       string             `json:"role"`     // of the process that has the cost, and the part of that role: "server", "balancer control: leases"
	Quantity   string             `json:"quantity"` // in words
	Unit       string             `json:"unit"`
	Against    string             `json:"against"` // what the sizes count
	Origin     Origin             `json:"origin"`
	Counted    bool               `json:"counted"`        // independent of the machine's speed: a count, a size or a virtual time
	FixedSizes map[string]float64 `json:"held,omitempty"` // the other sizes, by key
	Points     []Point            `json:"points"`         // in order of increasing size
}

// Check is a condition that a sweep verified, such as one of the four invariants.
type Check struct {
	Name   string `json:"name"`
	Passed bool   `json:"held"`
	Detail string `json:"detail,omitempty"`
}

// Report is the result of one experiment file.
type Report struct {
	Format     int           `json:"format"` // reportFormat
	Experiment string        `json:"experiment"`
	Command    string        `json:"command"` // the command that reproduces it
	Commit     string        `json:"commit"`  // revision of the program under test
	Seed       uint64        `json:"seed"`
	Took       time.Duration `json:"took_ns"`
	Series     []Series      `json:"series"`
	Checks     []Check       `json:"checks,omitempty"`
}

const reportFormat = 1

// Settings are the keys of an experiment file. A file must omit the keys that its sweep does not use.
type Settings struct {
	Sweep       string  `toml:"sweep"` // name of the sweep
	Seed        uint64  `toml:"seed"`
	Sizes       []int   `toml:"sizes"`
	Servers     int     `toml:"servers"`
	Balancers   int     `toml:"balancers"`
	Connections int     `toml:"connections"` // of each balancer
	Groups      int     `toml:"groups"`
	Zones       int     `toml:"zones"`
	Rate        float64 `toml:"rate"` // events per second; each sweep defines which
	Length      string  `toml:"length"`
	Against     string  `toml:"against"` // what the sizes count, for sweeps that can vary one of several sizes
}

// Progress is called with the number of completed steps and the total.
type Progress func(done, all int)

// Sweep runs a measurement at each size of its settings. It returns an error once ctx ends; Run returns the cause of that
// end instead.
type Sweep func(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error)

// sweeps holds each sweep by its name in experiment files.
var sweeps = map[string]Sweep{}
