package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The sweeps on real processes run one yardwinch serve against stubs of servers, discovery and clients on loopback,
// all of which live in this process.
func init() {
	sweeps["real-servers"] = realServers
	sweeps["real-changes"] = realChanges
	sweeps["real-connections"] = realConnections
	sweeps["real-deliveries"] = realDeliveries
	sweeps["real-placements"] = realPlacements
	sweeps["compare"] = compareWithSimulated
}

const (
	maxRealServers           = 16_384 // in a list
	maxRealConnections       = 9_950  // of a process with 20,000 descriptors; each connection takes two
	maxMeasurementPeriod     = 25 * time.Second
	defaultMeasurementPeriod = 20 * time.Second
	defaultRealZones         = 25
	defaultRealBalancers     = 8_100
)

// ProcessError is a fault of a real process, with what an operator can do about it.
type ProcessError struct {
	What, Remedy string
	Err          error
}

func (e *ProcessError) Error() string {
	if e.Err == nil {
		return "real process: " + e.What
	}
	return "real process: " + e.What + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ProcessError) Advice() string { return e.Remedy }

type programKey struct{}

// WithProgram makes the sweeps on real processes start this program with these arguments instead of the yardwinch
// beside the running program.
func WithProgram(ctx context.Context, program []string) context.Context {
	return context.WithValue(ctx, programKey{}, program)
}

func programOf(ctx context.Context) ([]string, error) {
	if program, ok := ctx.Value(programKey{}).([]string); ok {
		return program, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, &ProcessError{"no program", "name one", err}
	}
	path := filepath.Join(filepath.Dir(self), "yardwinch")
	if _, err := os.Stat(path); err != nil {
		return nil, &ProcessError{"no program to measure", "build bin/yardwinch and bin/testbed, and run bin/testbed", err}
	}
	return []string{path, "serve"}, nil
}

// realSettings are settings with the defaults of the sweeps on real processes.
type realSettings struct {
	Settings
	period time.Duration // of each measurement of an idle process
}

// settlingTime is how long a process is left alone before a measurement.
func (s realSettings) settlingTime() time.Duration { return s.period / 4 }

func newRealSettings(s Settings, sizes, mostSize int, of string) (realSettings, error) {
	bad := func(key, format string, a ...any) (realSettings, error) {
		return realSettings{}, &ProcessError{What: key + ": " + fmt.Sprintf(format, a...), Remedy: "mend the key in the experiment's file"}
	}
	r := realSettings{Settings: s, period: defaultMeasurementPeriod}
	if len(s.Sizes) < sizes {
		return bad("sizes", "want %d or more numbers of %s", sizes, of)
	}
	for i, n := range s.Sizes {
		if n < 1 || n > mostSize || i > 0 && n <= s.Sizes[i-1] {
			return bad("sizes", "want rising numbers of %s from 1 to %d, got %d", of, mostSize, n)
		}
	}
	if s.Servers < 0 || s.Servers > maxRealServers {
		return bad("servers", "want 1 to %d, got %d", maxRealServers, s.Servers)
	}
	if s.Connections < 0 || s.Connections > maxRealConnections {
		return bad("connections", "want 0 to %d, got %d", maxRealConnections, s.Connections)
	}
	if s.Length != "" {
		length, err := time.ParseDuration(s.Length)
		if err != nil || length < 100*time.Millisecond || length > maxMeasurementPeriod {
			return bad("length", "want a time from 100ms to %v, after which clients that say nothing count as gone, got %q", maxMeasurementPeriod, s.Length)
		}
		r.period = length
	}
	for _, v := range []struct {
		value  *int
		absent int
	}{{&r.Zones, defaultRealZones}, {&r.Balancers, defaultRealBalancers}, {&r.Groups, maxRealConnections}, {&r.Servers, 1000}} {
		if *v.value == 0 {
			*v.value = v.absent
		}
	}
	return r, nil
}
