package engine

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/goleak"

	"yardwinch/internal/freeaddr"
	"yardwinch/internal/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a subscriber that records what it receives.
type recorder struct {
	mu       sync.Mutex
	received map[string]int
}

func (r *recorder) OnMessage(message []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[string(message)]++
}

func (r *recorder) FullState() []byte { return []byte("full state") }

func (r *recorder) OnRemoteState(state []byte) { r.OnMessage(state) }

func (r *recorder) OnSuspended(time.Duration) {}

func (r *recorder) has(message string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received[message] > 0
}

func freeAddress(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	address, err := freeaddr.UDP(t.Context(), ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start runs a member with an address for both listening and advertising, until the test ends or the returned function
// is called.
func start(t *testing.T, name, label string, address netip.AddrPort, seeds ...netip.AddrPort) (*Group, *recorder, func()) {
	t.Helper()
	instance := membership.Instance{Name: membership.Name(name), Label: label, Bind: address, Advertise: address}
	for _, seed := range seeds {
		instance.Seeds = append(instance.Seeds, seed.String())
	}
	return startInstance(t, instance)
}

// startInstance runs an instance until the test ends or the returned function is called.
func startInstance(t *testing.T, instance membership.Instance) (*Group, *recorder, func()) {
	t.Helper()
	subscriber := &recorder{received: map[string]int{}}
	group := New(instance, subscriber)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { group.Run(ctx) })
	stop := func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return group, subscriber, stop
}

// eventually waits until a condition holds.
func eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting until %s", timeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// stateOf returns the state of a member as the group sees it, or an empty one if it doesn't know the member.
func stateOf(group *Group, name membership.Name) membership.State {
	for _, member := range group.Members() {
		if member.Name == name {
			return member.State
		}
	}
	return ""
}

func TestMembersSeeEachOther(t *testing.T) {
	addressA, addressB, addressC := freeAddress(t, "127.83.0.1"), freeAddress(t, "127.83.0.2"), freeAddress(t, "127.83.0.3")
	// a's seed doesn't respond yet: a runs alone and retries.
	a, receivedA, _ := start(t, "a", "one", addressA, addressB)
	eventually(t, 5*time.Second, "a has started", func() bool { return stateOf(a, "a") == membership.Alive })
	b, receivedB, stopB := start(t, "b", "one", addressB)
	c, _, _ := start(t, "c", "two", addressC, addressA)
	eventually(t, 15*time.Second, "a and b see each other", func() bool {
		return stateOf(a, "b") == membership.Alive && stateOf(b, "a") == membership.Alive
	})
	a.Publish("a", []byte("late"))
	eventually(t, 5*time.Second, "b receives a's message", func() bool { return receivedB.has("late") })
	eventually(t, 15*time.Second, "a and b exchange full states", func() bool {
		return receivedA.has("full state") && receivedB.has("full state")
	})
	eventually(t, 15*time.Second, "a rejects c's attempts to join", func() bool { return len(a.Dropped()) > 0 })
	if stateOf(a, "c") != "" || stateOf(c, "a") != "" {
		t.Error("members with different labels see each other")
	}
	stopB()
	eventually(t, 10*time.Second, "a sees that b left", func() bool { return stateOf(a, "b") == membership.Left })
}

// While another process uses the address, the member retries and starts once the address is free.
func TestOpenRetriesWhileAddressIsTaken(t *testing.T) {
	address := freeAddress(t, "127.83.0.4")
	var config net.ListenConfig
	other, err := config.ListenPacket(t.Context(), "udp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	group, _, _ := start(t, "a", "one", address)
	time.AfterFunc(300*time.Millisecond, func() { _ = other.Close() })
	eventually(t, 10*time.Second, "the member has started", func() bool { return stateOf(group, "a") == membership.Alive })
}

// A flood of errors is counted by kind, and each kind is logged once. The number of kinds stays bounded, whatever the
// input.
func TestErrorFloodIsCountedByKind(t *testing.T) {
	var log strings.Builder
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	var drops membership.DropCounter
	filter := &logFilter{drops: &drops}
	for i := range 1000 {
		_, _ = fmt.Fprintf(filter, "[ERR] memberlist: Failed to read packet %d: nonsense from=1.2.3.4", i)
		_, _ = fmt.Fprintf(filter, "[DEBUG] memberlist: usual %d", i)
	}
	for i := range 200 { // labels from the network, as the library quotes them
		label := string([]byte{byte(i), 0xff, '"', ':', byte(3 * i)})
		_, _ = fmt.Fprintf(filter, "[ERR] memberlist: discarding packet with unacceptable label %q: from=1.2.3.4:5", label)
	}
	for i := range 100 {
		drops.Add(strings.Repeat("x", i), "one of many kinds")
	}
	totals := drops.Totals()
	sum := 0
	for _, total := range totals {
		sum += total
	}
	if len(totals) > membership.MaxDropKinds+1 || sum != 1300 {
		t.Errorf("got %d kinds and %d drops, want at most MaxDropKinds+1 kinds and 1300 drops", len(totals), sum)
	}
	if total := totals["discarding packet with unacceptable label …"]; total != 200 {
		t.Errorf("want 200 drops for unacceptable labels, got %v", totals)
	}
	if count := strings.Count(log.String(), "Failed to read packet"); count != 1 {
		t.Errorf("the kind was logged %d times, want once", count)
	}
}

func TestErrorHasCauseAndAdvice(t *testing.T) {
	err := &membership.Error{Where: "peers.bind", What: "no member yet", Remedy: "see who has the address", Err: net.ErrClosed}
	if !errors.Is(err, net.ErrClosed) || err.Advice() == "" || !strings.Contains(err.Error(), "peers.bind") {
		t.Error("want the place, the cause and advice, got", err, err.Advice())
	}
}

// The limit on departed members does not count those that are alive; beyond it the member that departed first is
// forgotten.
func TestDepartedMembersAreBounded(t *testing.T) {
	group := New(membership.Instance{}, nil)
	setState := func(name string, state membership.State) {
		group.setState(&memberlist.Node{Name: name}, state)
	}
	setState("first", membership.Gone)
	for i := range 1024 {
		setState(fmt.Sprint("alive-", i), membership.Alive)
	}
	if group.members["first"] == nil || len(group.members) != 1025 {
		t.Errorf("the departed member or an alive one is missing: %d members are listed, want 1025", len(group.members))
	}
	for i := range maxDeparted {
		setState(fmt.Sprint("gone-", i), membership.Gone)
	}
	if group.members["first"] != nil || group.members["gone-0"] == nil || len(group.members) != 1024+maxDeparted {
		t.Errorf("%d members are listed, want all that are alive and the latest %d departed ones", len(group.members), maxDeparted)
	}
}

// Names come from the network, so the part of them that is logged is bounded.
func TestNameConflictLogIsBounded(t *testing.T) {
	var log strings.Builder
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	group := New(membership.Instance{}, nil)
	node := &memberlist.Node{Name: strings.Repeat("x", 4*maxLogLineBytes)}
	delegate{group}.NotifyConflict(node, node)
	if total := group.Dropped()["two members of one name"]; total != 1 {
		t.Errorf("the conflict was counted %d times, want once", total)
	}
	if count := strings.Count(log.String(), "x"); count == 0 || count > maxLogLineBytes {
		t.Errorf("%d bytes of the name were logged, want 1 to %d", count, maxLogLineBytes)
	}
}
