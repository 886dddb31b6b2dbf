package membership_test

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"yardwinch/internal/freeaddr"
	"yardwinch/internal/membership"
	"yardwinch/internal/membership/engine"
)

// The test's own program stands for the engine: the real one, or one that fails in some way.
func TestMain(m *testing.M) {
	switch os.Getenv("MEMBERS_TEST_ENGINE") {
	case "":
		goleak.VerifyTestMain(m)
	case "real":
		os.Exit(engine.Main(os.Stdin, os.Stdout, os.Stderr))
	case "nonsense":
		_, _ = os.Stdout.WriteString(strings.Repeat("\x9f\xff\x81\x00 no frame", 1000))
	case "odd": // members of names that are no text, and what garbage left in the counts
		_ = cbor.NewEncoder(os.Stdout).Encode([]any{membership.FrameMembers, []any{[]any{"\xff\xfe", "127.0.0.1:1", "alive", uint64(5)},
			[]any{"b", "127.0.0.1:2", "alive", uint64(5)}, []any{"", "\xc3\x28", "", uint64(7)}}})
		time.Sleep(time.Hour)
	case "deaf":
		time.Sleep(time.Hour)
	}
}

type teller struct {
	mu    sync.Mutex
	heard []string
}

func (t *teller) Hear(b []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = append(t.heard, string(b))
}
func (t *teller) HearWhole(b []byte) { t.Hear(b) }
func (t *teller) Away(time.Duration) { t.Hear([]byte("away")) }
func (t *teller) has(what string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.heard {
		if x == what {
			return true
		}
	}
	return false
}

func begin(t *testing.T, way, name, ip string, seeds ...string) (*membership.Group, *teller, string, func()) {
	t.Helper()
	at, err := freeaddr.UDP(t.Context(), ip)
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("MEMBERS_TEST_ENGINE", way)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	tell := &teller{}
	g := membership.New(self, membership.Name(name), "one", at, at, seeds, tell)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	end := func() { cancel(); <-done }
	t.Cleanup(end)
	return g, tell, at.String(), end
}

func within(t *testing.T, what string, is func() bool) {
	t.Helper()
	for until := time.Now().Add(15 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("not in time: ", what)
		}
	}
}

func state(g *membership.Group, name membership.Name) membership.State {
	for _, s := range g.Members() {
		if s.Name == name {
			return s.State
		}
	}
	return ""
}

// engines are the processes of the test's own program that this one started.
func engines(t *testing.T) (ids []int) {
	t.Helper()
	list, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range list {
		id, err := strconv.Atoi(e.Name())
		if err != nil {
			continue
		}
		stat, err := os.ReadFile("/proc/" + e.Name() + "/stat")
		if err != nil {
			continue // it has ended meanwhile
		}
		rest := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
		if rest[1] == strconv.Itoa(os.Getpid()) && rest[0] != "Z" {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestThroughTheEngine(t *testing.T) {
	a, tellA, atA, _ := begin(t, "real", "a", "127.84.0.1")
	a.SetFullState([]byte("all"))
	within(t, "a is up", func() bool { return state(a, "a") == membership.Alive })
	first := engines(t)
	b, tellB, _, endB := begin(t, "real", "b", "127.84.0.2", atA)
	within(t, "they see each other", func() bool {
		return state(a, "b") == membership.Alive && state(b, "a") == membership.Alive && a.AliveCount() == 2
	})
	a.Publish("a", []byte("late"))
	within(t, "b hears a", func() bool { return tellB.has("late") })
	within(t, "b is told all", func() bool { return tellB.has("all") })
	// An engine that is killed is started again, and the member is back.
	if len(first) != 1 || syscall.Kill(first[0], syscall.SIGKILL) != nil {
		t.Fatalf("engines %v", first)
	}
	within(t, "a has none, and says so", func() bool { return a.AliveCount() == 1 && len(a.Dropped()) > 0 })
	b.Publish("b", []byte("well"))
	within(t, "a is back and hears b", func() bool { return tellA.has("well") || state(a, "b") == membership.Alive })
	endB()
	within(t, "b has left", func() bool { return state(a, "b") == membership.Left })
}

// What strangers call themselves does not end the engine's link: random datagrams did, by the label that the engine quoted.
func TestNamesThatAreNoText(t *testing.T) {
	g, _, _, _ := begin(t, "odd", "a", "127.84.0.4")
	within(t, "all are seen", func() bool { return len(g.Members()) == 2 && len(g.Dropped()) == 1 })
}

// An engine that can't run, or runs wrong, leaves the balancer alone; and it ends with it.
func TestEnginesThatFail(t *testing.T) {
	for _, way := range []string{"nonsense", "deaf"} {
		t.Run(way, func(t *testing.T) {
			g, _, _, end := begin(t, way, "a", "127.84.0.3")
			for i := range 1000 { // more than waits: nobody is held up
				g.Publish("a", []byte{byte(i)})
			}
			if way == "nonsense" {
				within(t, "it is noted", func() bool { return len(g.Dropped()) > 0 })
			}
			if n := len(g.Members()); n != 0 || g.AliveCount() != 1 {
				t.Errorf("%d members seen", n)
			}
			end()
			if left := engines(t); len(left) > 0 {
				t.Errorf("engines are left: %v", left)
			}
		})
	}
}
