package scale

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The sweeps on real processes run one yardwinch serve on loopback, with stubs of servers, discovery and clients in this
// process.
func init() {
	sweeps["real-servers"] = realServers
	sweeps["real-changes"] = realChanges
	sweeps["real-connections"] = realConnections
	sweeps["real-deliveries"] = realDeliveries
	sweeps["real-placements"] = realPlacements
	sweeps["compare"] = compareWithSimulated
}

const (
	minRealSizes             = 2
	maxRealServers           = 16_384 // on the list
	maxRealConnections       = 9_950  // of a balancer with 20,000 descriptors: each connection takes two
	minMeasurementPeriod     = 100 * time.Millisecond
	maxMeasurementPeriod     = 25 * time.Second
	defaultMeasurementPeriod = 20 * time.Second
	defaultRealZones         = 25
	defaultRealBalancers     = 8_100
	defaultRealServers       = 1_000
)

// ProcessError is an error of a real process under measurement, with advice on how an operator can correct it.
type ProcessError struct {
	What, Remedy string
	Err          error
}

// Error describes the error and its cause.
func (e *ProcessError) Error() string {
	if e.Err == nil {
		return "real process: " + e.What
	}
	return "real process: " + e.What + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Err }

// Advice returns how an operator can correct the error.
func (e *ProcessError) Advice() string { return e.Remedy }

type programKey struct{}

// WithProgram makes the sweeps on real processes start the given program and arguments instead of yardwinch serve, which
// they otherwise look up in the directory of the running program.
func WithProgram(ctx context.Context, program []string) context.Context {
	return context.WithValue(ctx, programKey{}, program)
}

func programOf(ctx context.Context) ([]string, error) {
	if program, ok := ctx.Value(programKey{}).([]string); ok {
		return program, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, &ProcessError{What: "can't find the directory of the running program", Remedy: "set the program to measure", Err: err}
	}
	path := filepath.Join(filepath.Dir(self), "yardwinch")
	if _, err := os.Stat(path); err != nil {
		return nil, &ProcessError{
			What:   "no program to measure",
			Remedy: "build bin/yardwinch and bin/testbed, and run bin/testbed",
			Err:    err,
		}
	}
	return []string{path, "serve"}, nil
}

// realSettings are the validated settings of a sweep on real processes, with defaults for keys that are not set.
type realSettings struct {
	Settings
	period time.Duration // of each measurement of an idle process
}

// settlingTime is how long a process is left idle before a measurement.
func (s realSettings) settlingTime() time.Duration { return s.period / 4 }

// newRealSettings validates a sweep's settings and sets defaults. At least minRealSizes sizes are required, none above
// maxSize; what names the thing that they count.
func newRealSettings(s Settings, maxSize int, what string) (realSettings, error) {
	if err := checkRealSizes(s.Sizes, maxSize, what); err != nil {
		return realSettings{}, err
	}
	if s.Servers < 0 || s.Servers > maxRealServers {
		return realSettings{}, invalidKey("servers", "want 1 to %d, got %d", maxRealServers, s.Servers)
	}
	if s.Connections < 0 || s.Connections > maxRealConnections {
		return realSettings{}, invalidKey("connections", "want 0 to %d, got %d", maxRealConnections, s.Connections)
	}
	period, err := measurementPeriod(s.Length)
	if err != nil {
		return realSettings{}, err
	}
	s.Zones = cmp.Or(s.Zones, defaultRealZones)
	s.Balancers = cmp.Or(s.Balancers, defaultRealBalancers)
	s.Groups = cmp.Or(s.Groups, maxRealConnections)
	s.Servers = cmp.Or(s.Servers, defaultRealServers)
	return realSettings{Settings: s, period: period}, nil
}

// invalidKey returns the error for an invalid key of an experiment file.
func invalidKey(key, format string, values ...any) error {
	return &ProcessError{What: key + ": " + fmt.Sprintf(format, values...), Remedy: "correct the key in the experiment file"}
}

func checkRealSizes(sizes []int, maxSize int, what string) error {
	if len(sizes) < minRealSizes {
		return invalidKey("sizes", "want %d or more numbers of %s", minRealSizes, what)
	}
	for i, size := range sizes {
		if size < 1 || size > maxSize || i > 0 && size <= sizes[i-1] {
			return invalidKey("sizes", "want increasing numbers of %s from 1 to %d, got %d", what, maxSize, size)
		}
	}
	return nil
}

// measurementPeriod parses the key length, which defaults to defaultMeasurementPeriod.
func measurementPeriod(length string) (time.Duration, error) {
	if length == "" {
		return defaultMeasurementPeriod, nil
	}
	period, err := time.ParseDuration(length)
	if err != nil || period < minMeasurementPeriod || period > maxMeasurementPeriod {
		return 0, invalidKey("length", "want a duration from 100ms to %v, after which silent clients count as disconnected, got %q",
			maxMeasurementPeriod, length)
	}
	return period, nil
}
