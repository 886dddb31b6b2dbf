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
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

// The test's own program stands for a balancer, sound or bent, as its environment says.
func TestMain(m *testing.M) {
	switch way := os.Getenv("YARD_TEST_BALANCER"); way {
	case "":
		os.Exit(m.Run())
	case "sound":
		if err := daemon.Run(os.Getenv("PROXY_CONFIG"), os.Getenv("YARDWINCH_OPTIONS"), os.Getenv); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	default:
		bentBalancer(way)
	}
}

// bentBalancer turns everybody away, in one way too many.
func bentBalancer(way string) {
	var told struct{ Listen string }
	text, err := os.ReadFile(os.Getenv("PROXY_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &told)
	}
	if err != nil {
		panic(err)
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", told.Listen)
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
			case way == "answers twice":
				_, _ = c.Write([]byte("BUSY 500\r\nERR no\r\n"))
			case way == "ends without a word":
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

const shortTroubles = `[[trouble]]
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

func drive(t *testing.T, text, way string) (*Drive, *invariants.Checker, *experiment.Day) {
	t.Helper()
	e, err := experiment.Read("short.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := e.Day(3)
	terms := e.Terms()
	slack, hold := HeldBack()
	ref := invariants.New(invariants.Limits{Slack: slack, Reordering: hold, DrainGrace: terms.DrainGrace,
		SlowStartMultiple: terms.SlowStartMultiple, SlowStartWindow: terms.SlowStartWindow, SlowStart: terms.SlowStart, MeanLoad: d.MeanLoad()})
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("YARD_TEST_BALANCER", way)
	return New(context.Background(), d, ref, []string{self}, t.TempDir()), ref, d
}

func TestADayOfTroubleOnSockets(t *testing.T) {
	before := runtime.NumGoroutine()
	dr, ref, d := drive(t, fmt.Sprintf(shortDay, shortTroubles), "sound")
	void, err := dr.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	if void != "" {
		t.Skip(void) // says nothing of the balancer
	}
	for _, v := range ref.Violations() {
		t.Errorf("a sound balancer is blamed: %v", v)
	}
	if n := d.World.Totals; n.Established < 20 || ref.Judged < 20 || dr.Tally.Connects < 20 {
		t.Errorf("established %d, judged %d, connects %d: the day was not played", n.Established, ref.Judged, dr.Tally.Connects)
	}
	for range 200 {
		if runtime.NumGoroutine() <= before+1 {
			return
		}
		time.Sleep(10 * time.Millisecond) // connections of the HTTP server take a moment to end
	}
	t.Errorf("%d goroutines before, %d after", before, runtime.NumGoroutine())
}

func TestBentBalancersAreCaughtOnSockets(t *testing.T) {
	for _, c := range []struct{ way, what string }{
		{"answers twice", "answered twice"},
		{"ends without a word", "no answer in time"},
	} {
		t.Run(c.way, func(t *testing.T) {
			text := strings.Replace(fmt.Sprintf(shortDay, ""), "6s", "4s", 1)
			text += "[[service]]\nname = \"x\"\nconnect-timeout = \"1s\"\n"
			dr, ref, _ := drive(t, text, c.way)
			dr.source = experiment.NewSteady(experiment.SteadyConfig{Seed: 1, Rate: 20, Lifetime: time.Second, LifetimeSigma: 0.5, Groups: 3, Localities: 3}) // nobody stands at the beginning
			if _, err := dr.Run(nil); err != nil {
				t.Fatal(err)
			}
			if v := ref.Violations(); len(v) == 0 || v[0].Rule != invariants.OneAnswer || !strings.Contains(v[0].What, c.what) {
				t.Errorf("found %v, want %q", v, c.what)
			}
		})
	}
}

func TestOpenLoopShowsABalancerThatStopped(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // takes connections in the system's queue and never a word more
	e, err := experiment.Read("load", []byte("name = \"load\"\nlength = \"3s\"\n[fleet]\nservers = 1\nbalancers = 1\n[[service]]\nname = \"x\"\nsetup-target=\"1ms\"\nconnect-timeout = \"500ms\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	d := e.Day(1)
	slack, hold := HeldBack()
	ref := invariants.New(invariants.Limits{Slack: slack, Reordering: hold, DrainGrace: time.Second})
	dr := Load(context.Background(), d, ref, []string{l.Addr().String()})
	if _, err := dr.RunLoad(experiment.NewSteady(experiment.SteadyConfig{Seed: 1, Rate: 40, Lifetime: 2 * time.Second, LifetimeSigma: 0.5, Groups: 3, Localities: 1}), nil); err != nil {
		t.Fatal(err)
	}
	n := d.World.Totals
	if n.Clients < 80 || n.Established != 0 || len(n.NeverEstablished) != n.Clients {
		t.Errorf("%d clients, %d established, %d never up: arrivals must not wait, nor vanish", n.Clients, n.Established, len(n.NeverEstablished))
	}
	if n.TimedOut < n.Clients/2 {
		t.Errorf("%d tries were given up at their timeout", n.TimedOut)
	}
}

func TestALateDriveVoidsItsRun(t *testing.T) {
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
			dr, _, _ := drive(t, fmt.Sprintf(shortDay, ""), "sound")
			defer dr.Close()
			for _, d := range c.late {
				_ = dr.late.RecordValue(max(1, int64(d/time.Microsecond))) // within its range
			}
			if got := dr.void(); (got != "") != c.void {
				t.Errorf("void: %q, want so: %v", got, c.void)
			}
		})
	}
}

func TestWhatBalancersAreTold(t *testing.T) {
	got := nested(map[string]string{"a.b": "3", "a.c": "x", "l.count": "2", "l.0.name": "p", "l.1.name": "q", "f": "true", "n": "1,2"})
	text, err := json.Marshal(got)
	if want := `{"a":{"b":3,"c":"x"},"f":true,"l":[{"name":"p"},{"name":"q"}],"n":[1,2]}`; err != nil || string(text) != want {
		t.Errorf("got %s, %v, want %s", text, err, want)
	}
}

// A line that comes as its client leaves is talk: it was taken for an answer after the end.
func TestTalkAfterTheEndIsNoAnswer(t *testing.T) {
	dr, ref, _ := drive(t, fmt.Sprintf(shortDay, ""), "sound")
	dr.mu.Lock()
	dr.running = true
	c := &client{dr: dr, flow: 7, due: time.Second}
	dr.flows[7] = c
	dr.see(invariants.Event{Kind: invariants.FlowAccepted, Flow: 7, Deadline: time.Second})
	c.turn(asking)
	c.hear("UP 7")
	c.turn(gone)
	c.hear("T 0")
	dr.mu.Unlock()
	if found := ref.Finish(time.Minute); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

// The referee puts in order what it hears of in time; a run in which the drive told it of something later says nothing.
func TestWhatIsSeenTooLateMakesTheRunVoid(t *testing.T) {
	for _, c := range []struct {
		late time.Duration
		void bool
	}{{heldBack / 2, false}, {2 * heldBack, true}} {
		dr, _, _ := drive(t, fmt.Sprintf(shortDay, ""), "sound")
		dr.mu.Lock()
		dr.start, dr.running = time.Now().Add(-time.Minute), true
		dr.seeAt(dr.now()-c.late, invariants.Event{Kind: invariants.FlowAccepted, Flow: 7, Deadline: time.Hour})
		void := dr.void()
		dr.mu.Unlock()
		if (void != "") != c.void {
			t.Errorf("seen %v late: void is %q", c.late, void)
		}
	}
}
