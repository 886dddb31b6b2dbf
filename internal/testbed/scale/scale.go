// Package scale measures what yardwinch costs as a fleet grows. Sweeps vary the size of one thing at a time, on
// simulated balancers (the real deciders, lists, records and encodings without sockets, many in one process, in
// virtual time) or on real processes. Each sweep yields series of points; docs/CAPACITY.md is generated from their
// files.
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
	Simulated  Origin = "simulated" // from simulated balancers in virtual time
	Calculated Origin = "reckoned"  // derived from other figures
)

// Point is a quantity at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one quantity against the sizes of one thing, with everything else fixed.
type Series struct {
	Name     string             `json:"name"`     // unique over all files: "placement.servers-looked-at"
	Role     string             `json:"role"`     // as in docs/CAPACITY.md: "balancer control", "server", ...
	Quantity string             `json:"quantity"` // in words
	Unit     string             `json:"unit"`
	Against  string             `json:"against"`
	Origin   Origin             `json:"origin"`
	Counted  bool               `json:"counted"`        // work that is the same on every machine, not read from a clock
	Held     map[string]float64 `json:"held,omitempty"` // the fixed sizes
	Points   []Point            `json:"points"`         // by increasing size
}

// Check is a condition that a sweep verified, such as one of the four invariants.
type Check struct {
	Name   string `json:"name"`
	Held   bool   `json:"held"`
	Detail string `json:"detail,omitempty"`
}

// Report is the result of one experiment file; it is written atomically.
type Report struct {
	Format     int           `json:"format"` // reportFormat
	Experiment string        `json:"experiment"`
	Command    string        `json:"command"` // that reproduces it
	Commit     string        `json:"commit"`  // of the program under test
	Seed       uint64        `json:"seed"`
	Took       time.Duration `json:"took_ns"`
	Series     []Series      `json:"series"`
	Checks     []Check       `json:"checks,omitempty"`
}

const reportFormat = 1

// Settings are an experiment file's settings of its sweep; a file must leave out those that its sweep does not use.
type Settings struct {
	Sweep       string  `toml:"sweep"` // its name
	Seed        uint64  `toml:"seed"`
	Sizes       []int   `toml:"sizes"`
	Servers     int     `toml:"servers"`
	Balancers   int     `toml:"balancers"`
	Connections int     `toml:"connections"` // of each balancer
	Groups      int     `toml:"groups"`
	Zones       int     `toml:"zones"`
	Rate        float64 `toml:"rate"` // per second, of what the sweep defines
	Length      string  `toml:"length"`
	Against     string  `toml:"against"` // what the sizes count, where a sweep can go over several things
}

// Progress is called with the number of steps done, and of all steps.
type Progress func(done, all int)

// Sweep measures one thing over the sizes of its settings. It stops with ctx's error when ctx ends.
type Sweep func(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error)

// sweeps holds each sweep by its name in experiment files.
var sweeps = map[string]Sweep{}
