package membership_test

import (
	"context"
	"os"
	"slices"
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

// engineModeVariable is an environment variable that has the test binary run as an engine: the real one, or one that
// fails in some way.
const engineModeVariable = "MEMBERS_TEST_ENGINE"

func TestMain(m *testing.M) {
	switch os.Getenv(engineModeVariable) {
	case "":
		goleak.VerifyTestMain(m)
	case "real":
		os.Exit(engine.Main(os.Stdin, os.Stdout, os.Stderr))
	case "nonsense":
		_, _ = os.Stdout.WriteString(strings.Repeat("\x9f\xff\x81\x00 no frame", 1000))
	case "invalid names": // a member name and a kind of drop that are not valid UTF-8
		_ = cbor.NewEncoder(os.Stdout).Encode([]any{membership.FrameMembers, []any{[]any{"\xff\xfe", "127.0.0.1:1", "alive", uint64(5)},
			[]any{"b", "127.0.0.1:2", "alive", uint64(5)}, []any{"", "\xc3\x28", "", uint64(7)}}})
		time.Sleep(time.Hour)
	case "unresponsive":
		time.Sleep(time.Hour)
	}
}

// recorder is a subscriber that records what it receives.
type recorder struct {
	mu       sync.Mutex
	received []string
}

func (r *recorder) OnMessage(message []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, string(message))
}

func (r *recorder) OnRemoteState(state []byte) { r.OnMessage(state) }

func (r *recorder) OnSuspended(time.Duration) { r.OnMessage([]byte("suspended")) }

func (r *recorder) has(message string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.received, message)
}

// balancer is a member with its own engine process.
type balancer struct {
	group    *membership.Group
	received *recorder
	address  string
	stop     func()
}

// start runs a balancer whose engine runs in the given mode, until the test ends or stop is called.
func start(t *testing.T, engineMode, name, ip string, seeds ...string) balancer {
	t.Helper()
	address, err := freeaddr.UDP(t.Context(), ip)
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(engineModeVariable, engineMode)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	received := &recorder{}
	group := membership.New(self, membership.Instance{
		Name:      membership.Name(name),
		Label:     "one",
		Bind:      address,
		Advertise: address,
		Seeds:     seeds,
	}, received)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { group.Run(ctx) })
	stop := func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return balancer{group: group, received: received, address: address.String(), stop: stop}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until ", what)
		}
	}
}

// stateOf returns the state of a member as the balancer sees it, or an empty one if it doesn't know the member.
func (b balancer) stateOf(name membership.Name) membership.State {
	for _, member := range b.group.Members() {
		if member.Name == name {
			return member.State
		}
	}
	return ""
}

// engineProcesses returns the IDs of the running child processes of this one.
func engineProcesses(t *testing.T) (ids []int) {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		id, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		stat, err := os.ReadFile("/proc/" + entry.Name() + "/stat")
		if err != nil {
			continue // it has exited meanwhile
		}
		fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
		state, parent := fields[0], fields[1]
		if parent == strconv.Itoa(os.Getpid()) && state != "Z" {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestMembershipThroughEngineProcesses(t *testing.T) {
	a := start(t, "real", "a", "127.84.0.1")
	a.group.SetFullState([]byte("full state"))
	eventually(t, "a is alive", func() bool { return a.stateOf("a") == membership.Alive })
	enginesOfA := engineProcesses(t)
	b := start(t, "real", "b", "127.84.0.2", a.address)
	eventually(t, "a and b see each other", func() bool {
		return a.stateOf("b") == membership.Alive && b.stateOf("a") == membership.Alive && a.group.AliveCount() == 2
	})
	a.group.Publish("a", []byte("late"))
	eventually(t, "b receives a's message", func() bool { return b.received.has("late") })
	eventually(t, "b receives a's full state", func() bool { return b.received.has("full state") })
	// An engine that is killed is restarted, and the member joins again.
	if len(enginesOfA) != 1 || syscall.Kill(enginesOfA[0], syscall.SIGKILL) != nil {
		t.Fatalf("cannot kill a's engine: processes %v, want exactly one that can be killed", enginesOfA)
	}
	eventually(t, "a has no engine and counts its exit", func() bool { return a.group.AliveCount() == 1 && len(a.group.Dropped()) > 0 })
	b.group.Publish("b", []byte("well"))
	eventually(t, "a has rejoined: it receives b's message or sees b", func() bool { return a.received.has("well") || a.stateOf("b") == membership.Alive })
	b.stop()
	eventually(t, "b has left", func() bool { return a.stateOf("b") == membership.Left })
}

// Member names, and labels that the engine quotes, come from the network. Invalid UTF-8 in them must not break the link
// to the engine.
func TestInvalidUTF8FromEngine(t *testing.T) {
	a := start(t, "invalid names", "a", "127.84.0.4")
	eventually(t, "all members and drops are reported", func() bool { return len(a.group.Members()) == 2 && len(a.group.Dropped()) == 1 })
}

// A balancer whose engine fails runs without members and is not blocked. The engine exits with the balancer.
func TestBalancerRunsAloneWhenEngineFails(t *testing.T) {
	for _, mode := range []string{"nonsense", "unresponsive"} {
		t.Run(mode, func(t *testing.T) {
			a := start(t, mode, "a", "127.84.0.3")
			for i := range 1000 { // more than the queue holds: Publish must not block
				a.group.Publish("a", []byte{byte(i)})
			}
			if mode == "nonsense" {
				eventually(t, "the failure is counted", func() bool { return len(a.group.Dropped()) > 0 })
			}
			if count := len(a.group.Members()); count != 0 || a.group.AliveCount() != 1 {
				t.Errorf("got %d members, want none, and one alive", count)
			}
			a.stop()
			if left := engineProcesses(t); len(left) > 0 {
				t.Errorf("engine processes still running: %v", left)
			}
		})
	}
}
