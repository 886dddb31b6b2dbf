package sockets

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"yardwinch/internal/daemon"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

// TestMain lets the test binary act as a balancer, correct or faulty, if TESTBED_TEST_BALANCER is set.
func TestMain(m *testing.M) {
	switch fault := os.Getenv("TESTBED_TEST_BALANCER"); fault {
	case "":
		os.Exit(m.Run())
	case "sound":
		source := daemon.Source{
			ConfigPath:  os.Getenv("PROXY_CONFIG"),
			OptionsPath: os.Getenv("YARDWINCH_OPTIONS"),
			Environment: os.Getenv,
		}
		if err := daemon.Run(context.Background(), source); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	default:
		runFaultyBalancer(fault)
	}
}

// runFaultyBalancer runs a balancer that answers every client in a way that breaks a rule.
func runFaultyBalancer(fault string) {
	var configuration struct{ Listen string }
	text, err := os.ReadFile(os.Getenv("PROXY_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &configuration)
	}
	if err != nil {
		panic(err)
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", configuration.Listen)
	if err != nil {
		panic(err)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			line, _ := bufio.NewReader(c).ReadString('\n')
			switch {
			case strings.HasPrefix(line, "PING"):
				_, _ = c.Write([]byte("PONG\r\n"))
			case fault == "answers twice":
				_, _ = c.Write([]byte("BUSY 500\r\nERR no\r\n"))
			case fault == "does not answer":
			}
		}()
	}
}

const shortDay = `name = "short"
length = "6s"
[fleet]
servers = 6
balancers = 3
[load]
share = 0.3
per-core = 8
life = "5s"
[list]
notice = "300ms"
silent-notice = "600ms"
add = "200ms"
%s
`

const shortFaults = `[[trouble]]
kind = "deploy"
start = "1s"
length = "1s"
share = 0.3
strength = 0.2
extra = "1s"
[[trouble]]
kind = "vanish"
start = "1500ms"
length = "1500ms"
share = 0.2
[[trouble]]
kind = "balancer_crash"
start = "3s"
length = "500ms"
share = 0.3
[[trouble]]
kind = "cut"
hall = "south"
start = "3500ms"
length = "1s"
strength = 1
[[trouble]]
kind = "list_dark"
start = "2s"
length = "1s"
`

func newTestDriver(t *testing.T, text, balancer string) (*Driver, *invariants.Checker, *experiment.Day) {
	t.Helper()
	e, err := experiment.Read("short.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := e.Day(3)
	limits := e.Limits()
	slack, reordering := CheckerTolerances()
	checker := invariants.New(invariants.Limits{
		Slack:             slack,
		Reordering:        reordering,
		DrainGrace:        limits.DrainGrace,
		SlowStartMultiple: limits.SlowStartMultiple,
		SlowStartWindow:   limits.SlowStartWindow,
		SlowStart:         limits.MaxSlowStart,
		MeanLoad:          d.MeanLoad(),
	})
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("TESTBED_TEST_BALANCER", balancer)
	return New(context.Background(), d, checker, []string{self}, t.TempDir()), checker, d
}

func TestDayWithFaultsOnSockets(t *testing.T) {
	before := runtime.NumGoroutine()
	dr, checker, d := newTestDriver(t, fmt.Sprintf(shortDay, shortFaults), "sound")
	void, err := dr.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	if void != "" {
		t.Skip(void) // a void run doesn't reflect the balancer
	}
	for _, v := range checker.Violations() {
		t.Errorf("violation reported for a correct balancer: %v", v)
	}
	if n := d.World.Totals; n.Established < 20 || checker.CheckedFlows < 20 || dr.Counts.Connects < 20 {
		t.Errorf("established %d, flows checked %d, connects %d: want at least 20 of each", n.Established, checker.CheckedFlows, dr.Counts.Connects)
	}
	for range 200 {
		if runtime.NumGoroutine() <= before+1 {
			return
		}
		time.Sleep(10 * time.Millisecond) // the HTTP server's connections close asynchronously
	}
	t.Errorf("%d goroutines before the run, %d after it; want at most one more", before, runtime.NumGoroutine())
}

func TestFaultyBalancersAreFoundOnSockets(t *testing.T) {
	for _, c := range []struct{ fault, what string }{
		{"answers twice", "answered twice"},
		{"does not answer", "no answer in time"},
	} {
		t.Run(c.fault, func(t *testing.T) {
			text := strings.Replace(fmt.Sprintf(shortDay, ""), "6s", "4s", 1)
			text += "[[service]]\nname = \"x\"\nconnect-timeout = \"1s\"\n"
			dr, checker, _ := newTestDriver(t, text, c.fault)
			dr.arrivals = experiment.NewSteadySource(experiment.SteadyConfig{ // without initially established connections
				Seed:          1,
				Rate:          20,
				Lifetime:      time.Second,
				LifetimeSigma: 0.5,
				Groups:        3,
				Localities:    3,
			})
			if _, err := dr.Run(nil); err != nil {
				t.Fatal(err)
			}
			if v := checker.Violations(); len(v) == 0 || v[0].Rule != invariants.OneAnswer || !strings.Contains(v[0].Description, c.what) {
				t.Errorf("violations %v, want the first to break rule %d with %q", v, invariants.OneAnswer, c.what)
			}
		})
	}
}

const loadDay = `name = "load"
length = "3s"
[fleet]
servers = 1
balancers = 1
[[service]]
name = "x"
setup-target="1ms"
connect-timeout = "500ms"
`

func TestOpenLoopShowsUnresponsiveBalancer(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the kernel queues connections, but no process accepts them
	e, err := experiment.Read("load", []byte(loadDay))
	if err != nil {
		t.Fatal(err)
	}
	d := e.Day(1)
	slack, reordering := CheckerTolerances()
	checker := invariants.New(invariants.Limits{Slack: slack, Reordering: reordering, DrainGrace: time.Second})
	dr := NewLoadDriver(context.Background(), d, checker, []string{l.Addr().String()})
	source := experiment.NewSteadySource(experiment.SteadyConfig{
		Seed:          1,
		Rate:          40,
		Lifetime:      2 * time.Second,
		LifetimeSigma: 0.5,
		Groups:        3,
		Localities:    1,
	})
	if _, err := dr.RunLoad(source, nil); err != nil {
		t.Fatal(err)
	}
	n := d.World.Totals
	if n.Clients < 80 || n.Established != 0 || len(n.NeverEstablished) != n.Clients {
		t.Errorf("%d clients, %d established, %d never established; want at least 80, 0 and all: arrivals must neither wait for answers nor be dropped",
			n.Clients, n.Established, len(n.NeverEstablished))
	}
	if n.TimedOut < n.Clients/2 {
		t.Errorf("%d attempts timed out, want at least half of the number of clients, %d", n.TimedOut, n.Clients)
	}
}

func TestLateDriverVoidsItsRun(t *testing.T) {
	for _, c := range []struct {
		name string
		late []time.Duration
		void bool
	}{
		{"in time", []time.Duration{time.Millisecond, 2 * time.Millisecond}, false},
		{"often late", []time.Duration{time.Millisecond, 60 * time.Millisecond, 60 * time.Millisecond}, true},
		{"once by much", append(make([]time.Duration, 500), 900*time.Millisecond), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			dr, _, _ := newTestDriver(t, fmt.Sprintf(shortDay, ""), "sound")
			defer dr.Close()
			for _, d := range c.late {
				_ = dr.lateness.RecordValue(max(1, int64(d/time.Microsecond))) // the values are within the histogram's range
			}
			if got := dr.voidReason(); (got != "") != c.void {
				t.Errorf("void reason %q, want one: %v", got, c.void)
			}
		})
	}
}

func TestNestedConfiguration(t *testing.T) {
	got := nestSettings(map[string]string{"a.b": "3", "a.c": "x", "l.count": "2", "l.0.name": "p", "l.1.name": "q", "f": "true", "n": "1,2"})
	text, err := json.Marshal(got)
	if want := `{"a":{"b":3,"c":"x"},"f":true,"l":[{"name":"p"},{"name":"q"}],"n":[1,2]}`; err != nil || string(text) != want {
		t.Errorf("got %s, %v, want %s", text, err, want)
	}
}

// A line that arrives while its client leaves must not be reported as a second answer to the flow.
func TestLineAfterTheEndIsNoAnswer(t *testing.T) {
	dr, checker, _ := newTestDriver(t, fmt.Sprintf(shortDay, ""), "sound")
	dr.mu.Lock()
	dr.isRunning = true
	c := &client{driver: dr, flow: 7, deadline: time.Second}
	dr.clients[7] = c
	dr.observe(invariants.Event{Kind: invariants.FlowAccepted, Flow: 7, Deadline: time.Second})
	c.transition(awaitingAnswer)
	c.receive("UP 7")
	c.transition(ended)
	c.receive("T 0")
	dr.mu.Unlock()
	if found := checker.Finish(time.Minute); len(found) > 0 {
		t.Errorf("violations %v, want none", found)
	}
}

// The checker sorts events that are at most maxReordering late. A run in which the driver reported an event later than that is void.
func TestLateObservationVoidsTheRun(t *testing.T) {
	for _, c := range []struct {
		late time.Duration
		void bool
	}{{maxReordering / 2, false}, {2 * maxReordering, true}} {
		dr, _, _ := newTestDriver(t, fmt.Sprintf(shortDay, ""), "sound")
		dr.mu.Lock()
		dr.startedAt, dr.isRunning = time.Now().Add(-time.Minute), true
		dr.observeAt(dr.now()-c.late, invariants.Event{Kind: invariants.FlowAccepted, Flow: 7, Deadline: time.Hour})
		void := dr.voidReason()
		dr.mu.Unlock()
		if (void != "") != c.void {
			t.Errorf("event reported %v late: void reason is %q, want one: %v", c.late, void, c.void)
		}
	}
}

// Reporting progress after a step takes time. The pause must be computed afterwards, or the next action would be late.
func TestPauseCountsFromItsBeginning(t *testing.T) {
	dr, _, d := newTestDriver(t, fmt.Sprintf(shortDay, ""), "sound")
	defer dr.Close()
	dr.startedAt, dr.isRunning = time.Now(), true
	now, _ := dr.step()
	d.World.Schedule.At(now+maxPause/2, simulation.Work, func() {})
	time.Sleep(maxPause)
	if pause := dr.untilNext(); pause > 0 {
		t.Errorf("pause of %v although an action is late", pause)
	}
}
