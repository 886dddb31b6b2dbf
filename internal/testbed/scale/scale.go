// Package scale measures what yardwinch costs as a fleet grows: sweeps over the size of one thing at a time, run on
// hollow balancers (the real deciders, lists, records and encodings without sockets, many in one process, in virtual
// time) or on real processes. Each sweep yields series of points; docs/CAPACITY.md is written from their files.
package scale

import (
	"context"
	"time"
)

// Origin says how a figure came about.
type Origin string

// The origins of a figure.
const (
	Measured   Origin = "measured"  // read off real processes or real code at that size
	Simulated  Origin = "simulated" // from hollow balancers in virtual time
	Calculated Origin = "reckoned"  // worked out from other figures
)

// Point is a quantity at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one quantity over sizes of one thing, all else held.
type Series struct {
	Name     string             `json:"name"`     // unique over all files: "placement.servers-looked-at"
	Role     string             `json:"role"`     // of docs/CAPACITY.md: "balancer control", "server", ...
	Quantity string             `json:"quantity"` // what is measured, in words
	Unit     string             `json:"unit"`
	Against  string             `json:"against"` // what the sizes count: "servers", "connections", ...
	Origin   Origin             `json:"origin"`
	Counted  bool               `json:"counted"`        // counted work, the same on every machine, not read off a clock
	Held     map[string]float64 `json:"held,omitempty"` // what was held at which size
	Points   []Point            `json:"points"`         // by rising size
}

// Check is one thing that had to hold during a sweep, such as one of the four rules.
type Check struct {
	Name   string `json:"name"`
	Held   bool   `json:"held"`
	Detail string `json:"detail,omitempty"`
}

// Report is what one experiment file came to; it is written whole or not at all.
type Report struct {
	Format     int           `json:"format"` // reportFormat
	Experiment string        `json:"experiment"`
	Command    string        `json:"command"` // that gives it again
	Commit     string        `json:"commit"`  // of the program that was measured
	Seed       uint64        `json:"seed"`
	Took       time.Duration `json:"took_ns"`
	Series     []Series      `json:"series"`
	Checks     []Check       `json:"checks,omitempty"`
}

const reportFormat = 1

// Settings are what an experiment file asks of its sweep; one that a sweep does not use must be left out of the file.
type Settings struct {
	Sweep       string  `toml:"sweep"` // names the sweep
	Seed        uint64  `toml:"seed"`
	Sizes       []int   `toml:"sizes"`
	Servers     int     `toml:"servers"`
	Balancers   int     `toml:"balancers"`
	Connections int     `toml:"connections"` // a balancer holds
	Groups      int     `toml:"groups"`
	Zones       int     `toml:"zones"`
	Rate        float64 `toml:"rate"` // of what the sweep says, a second
	Length      string  `toml:"length"`
	Against     string  `toml:"against"` // what the sizes count, where a sweep can go over several things
}

// Progress is told how many of all steps are done.
type Progress func(done, all int)

// Sweep measures one thing over the sizes of its settings. It stops with ctx's error when ctx ends.
type Sweep func(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error)

// sweeps holds each sweep by the name that an experiment file gives.
var sweeps = map[string]Sweep{}
