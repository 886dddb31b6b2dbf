package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The sweeps on real processes: one yardwinch serve before stand-in servers, discovery and clients on loopback, all of which live
// in this process.
func init() {
	sweeps["real-servers"] = realServers
	sweeps["real-changes"] = realChanges
	sweeps["real-connections"] = realConnections
	sweeps["real-deliveries"] = realDeliveries
	sweeps["real-placements"] = realPlacements
	sweeps["compare"] = compareWithHollow
}

const (
	mostRealServers     = 16_384 // servers that a list may have
	mostRealConnections = 9_950  // of one process of 20,000 descriptors, of which each connection takes two
	leastSizes          = 2      // of a sweep
	leastQuiet          = 100 * time.Millisecond
	mostQuiet           = 25 * time.Second
	realQuiet           = 20 * time.Second
	realZones           = 25
	realBalancers       = 8_100
	realServersAbsent   = 1000 // where the file names no number
)

// ProcessError says what went wrong with a real process and what helps.
type ProcessError struct {
	What, Do string
	Err      error
}

func (e *ProcessError) Error() string {
	if e.Err == nil {
		return "real process: " + e.What
	}
	return "real process: " + e.What + ": " + e.Err.Error()
}

// Unwrap gives the cause.
func (e *ProcessError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ProcessError) Advice() string { return e.Do }

type programKey struct{}

// WithProgram has the sweeps on real processes start this program with these arguments, in place of the yardwinch that lies
// beside the program that runs.
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
	quiet time.Duration // how long each time at rest is measured
}

// settle is how long a process is left alone before a time of quiet is measured.
func (s realSettings) settle() time.Duration { return s.quiet / 4 }

// readReal checks settings and sets defaults. The sizes are rising numbers of something, up to mostSize.
func readReal(s Settings, mostSize int, of string) (realSettings, error) {
	r := realSettings{Settings: s, quiet: realQuiet}
	if err := checkRealSizes(s.Sizes, mostSize, of); err != nil {
		return realSettings{}, err
	}
	if s.Servers < 0 || s.Servers > mostRealServers {
		return realSettings{}, badSetting("servers", "want 1 to %d, got %d", mostRealServers, s.Servers)
	}
	if s.Connections < 0 || s.Connections > mostRealConnections {
		return realSettings{}, badSetting("connections", "want 0 to %d, got %d", mostRealConnections, s.Connections)
	}
	if s.Length != "" {
		length, err := time.ParseDuration(s.Length)
		if err != nil || length < leastQuiet || length > mostQuiet {
			return realSettings{}, badSetting("length", "want a time from %v to %v, after which clients that say nothing count as gone, got %q", leastQuiet, mostQuiet, s.Length)
		}
		r.quiet = length
	}
	for _, setting := range []struct {
		value  *int
		absent int
	}{{&r.Zones, realZones}, {&r.Balancers, realBalancers}, {&r.Groups, mostRealConnections}, {&r.Servers, realServersAbsent}} {
		if *setting.value == 0 {
			*setting.value = setting.absent
		}
	}
	return r, nil
}

func checkRealSizes(sizes []int, most int, of string) error {
	if len(sizes) < leastSizes {
		return badSetting("sizes", "want %d or more numbers of %s", leastSizes, of)
	}
	for i, n := range sizes {
		if n < 1 || n > most || i > 0 && n <= sizes[i-1] {
			return badSetting("sizes", "want rising numbers of %s from 1 to %d, got %d", of, most, n)
		}
	}
	return nil
}

func badSetting(key, format string, values ...any) error {
	return &ProcessError{What: key + ": " + fmt.Sprintf(format, values...), Do: "mend the key in the experiment's file"}
}
