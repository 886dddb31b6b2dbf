package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"yardwinch/internal/daemon"
)

const balancerEnvironment = "SCALE_TEST_BALANCER"

// runAsBalancer runs a balancer if the environment marks this process as one that a test started.
func runAsBalancer() {
	if os.Getenv(balancerEnvironment) == "" {
		return
	}
	if err := daemon.Run(context.Background(), daemon.Source{ConfigPath: os.Getenv("PROXY_CONFIG"), Environment: os.Getenv}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func TestMain(m *testing.M) {
	runAsBalancer()
	os.Exit(m.Run())
}

// withOwnProgram makes sweeps start the test binary as the balancer, and limits their time.
func withOwnProgram(t *testing.T) context.Context {
	t.Helper()
	t.Setenv(balancerEnvironment, "yes")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute) // so that a test that hangs fails
	t.Cleanup(cancel)
	return WithProgram(ctx, []string{self})
}

// Each sweep on a real process yields valid points at every size, and no connection is lost.
func TestRealSweeps(t *testing.T) {
	ctx := withOwnProgram(t)
	for _, x := range []struct {
		name     string
		settings Settings
	}{
		{"real-servers", Settings{Sizes: []int{10, 300}}},
		{"real-changes", Settings{Sizes: []int{10, 300}}},
		{"real-connections", Settings{Sizes: []int{10, 50}, Servers: 10}},
		{"real-deliveries", Settings{Sizes: []int{10, 50}, Servers: 10, Rate: 500}},
		{"real-placements", Settings{Sizes: []int{10, 50}, Connections: 20}},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.settings.Length = "300ms"
			steps := 0
			list, checks, err := sweeps[x.name](ctx, x.settings, func(_, _ int) { steps++ })
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range checks {
				if !c.Passed {
					t.Errorf("failed check %q: %s", c.Name, c.Detail)
				}
			}
			if steps != len(x.settings.Sizes)+1 || len(list) == 0 {
				t.Errorf("%d steps reported, %d series; want %d steps and at least one series", steps, len(list), len(x.settings.Sizes)+1)
			}
			for _, s := range list {
				checkSeries(t, s, x.settings.Sizes)
			}
		})
	}
}

func checkSeries(t *testing.T, s Series, sizes []int) {
	t.Helper()
	if s.Name == "" || s.Role == "" || s.Quantity == "" || s.Unit == "" || s.Against == "" || s.Origin != Measured || s.Counted {
		t.Errorf("%+v is incomplete, of another origin than measured, or marked as counted", s)
	}
	if len(s.Points) != len(sizes) {
		t.Fatalf("%s: %d points, want %d", s.Name, len(s.Points), len(sizes))
	}
	for i, p := range s.Points {
		if p.Size != float64(sizes[i]) {
			t.Errorf("%s: point %d is at size %v, want %d", s.Name, i, p.Size, sizes[i])
		}
		if s.Unit == "bytes" && p.Value < 1<<20 {
			t.Errorf("%s: %v bytes is less than any process uses", s.Name, p.Value)
		}
	}
}

// The processor time that is read from another process increases while that process works.
func TestRealProcessorTimeOfAnotherProcess(t *testing.T) {
	s, err := newRealSettings(Settings{Sizes: []int{10, 20}}, maxRealServers, "servers")
	if err != nil {
		t.Fatal(err)
	}
	p, err := startReal(withOwnProgram(t), s, 10)
	if err != nil {
		t.Fatal(err)
	}
	defer p.end()
	before, err := p.processorTime()
	if err != nil || before <= 0 {
		t.Fatalf("processor time %v before the work, error %v, want more than 0", before, err)
	}
	for range 200 {
		p.list.publishFullList()
	}
	if err := p.awaitServer(t.Context(), p.list.lastName()); err != nil {
		t.Fatal(err)
	}
	if after, err := p.processorTime(); err != nil || after <= before {
		t.Errorf("processor time %v before the work and %v after it, error %v, want an increase", before, after, err)
	}
}

// Invalid settings are reported with their key before anything is started.
func TestInvalidRealSettings(t *testing.T) {
	for _, x := range []struct {
		settings Settings
		want     string
	}{
		{Settings{Sizes: []int{10}}, "sizes: want 2 or more"},
		{Settings{Sizes: []int{0, 10}}, "sizes: want increasing numbers of servers from 1 to"},
		{Settings{Sizes: []int{20, 10}}, "sizes: want increasing"},
		{Settings{Sizes: []int{10, maxRealServers + 1}}, "sizes: want increasing"},
		{Settings{Sizes: []int{10, 20}, Servers: -1}, "servers: want"},
		{Settings{Sizes: []int{10, 20}, Connections: maxRealConnections + 1}, "connections: want"},
		{Settings{Sizes: []int{10, 20}, Length: "2h"}, "length: want a duration"},
	} {
		_, _, err := realServers(t.Context(), x.settings, func(int, int) {})
		var e *ProcessError
		if !errors.As(err, &e) || !strings.Contains(err.Error(), x.want) || e.Advice() == "" {
			t.Errorf("got %v, want %q with advice", err, x.want)
		}
	}
}

// A cancelled sweep ends with its context's error and leaves no process behind.
func TestRealSweepStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(withOwnProgram(t))
	began := false
	_, _, err := realServers(ctx, Settings{Sizes: []int{10, 20}}, func(int, int) {
		began = true
		time.AfterFunc(100*time.Millisecond, cancel)
	})
	if !began || !errors.Is(err, context.Canceled) {
		t.Errorf("sweep began: %v, error %v; want it to begin and end with the error of its context", began, err)
	}
}

// A program that exits early is reported with its output.
func TestRealProcessExitsEarly(t *testing.T) {
	ctx := WithProgram(t.Context(), []string{"/bin/sh", "-c", "echo missing library; exit 3"})
	_, _, err := realServers(ctx, Settings{Sizes: []int{10, 20}}, func(int, int) {})
	var e *ProcessError
	if !errors.As(err, &e) || !strings.Contains(err.Error(), "missing library") {
		t.Errorf("error %v, want a ProcessError with the output of the program", err)
	}
}

// While a list of 12,800 servers, the most that are assumed for the planned fleet, is published repeatedly, a process uses
// at most three quarters of the 64 MB that are budgeted for control, including the pages of its program.
func TestRealMemoryOfTheLongestPlannedList(t *testing.T) {
	const servers, most = 12_800, raceFactor * 48e6
	s, err := newRealSettings(Settings{Sizes: []int{1, servers}}, maxRealServers, "servers")
	if err != nil {
		t.Fatal(err)
	}
	p, err := startReal(withOwnProgram(t), s, servers)
	if err != nil {
		t.Fatal(err)
	}
	defer p.end()
	for range 5 {
		if err := p.awaitServer(t.Context(), p.list.publishFullList()); err != nil {
			t.Fatal(err)
		}
	}
	m, err := p.memory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%.1f MB resident, peak %.1f MB, %.1f MB in anonymous pages", m.resident/1e6, m.peak/1e6, m.private/1e6)
	if m.peak > most {
		t.Errorf("peak of %.1f MB resident, want at most %.0f", m.peak/1e6, most/1e6)
	}
}

// A real figure may be outside the range of the simulated ones by compareTolerance; if it is further off, the check passes
// only with a known reason for that direction.
func TestComparisonTolerance(t *testing.T) {
	for _, x := range []struct {
		real      float64
		simulated []float64
		below     string
		passed    bool
	}{
		{1, []float64{0.9, 1, 1.1}, "", true},
		{1.3, []float64{0.9, 1, 1.1}, "", true},
		{1.4, []float64{0.9, 1, 1.1}, "", false},
		{0.7, []float64{0.9, 1, 1.1}, "", false},
		{1.4, []float64{0.9, 1, 1.1}, "a known reason", true},
		{0.7, []float64{0.9, 1, 1.1}, "a known reason", false},
	} {
		c := comparison{name: "rest", unit: "cores", reasonBelow: x.below}.check(60, x.real, x.simulated)
		if c.Passed != x.passed {
			t.Errorf("real %v, simulated %v, reason %q: passed %v, want %v (%s)", x.real, x.simulated, x.below, c.Passed, x.passed, c.Detail)
		}
	}
}
