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

// teller notes what it hears.
type teller struct {
	mu    sync.Mutex
	heard map[string]int
}

func (t *teller) Hear(b []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[string(b)]++
}
func (t *teller) Whole() []byte        { return []byte("whole") }
func (t *teller) HearWhole(b []byte)   { t.Hear(b) }
func (t *teller) Away(_ time.Duration) {}
func (t *teller) has(what string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard[what] > 0
}

func free(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	at, err := freeaddr.UDP(t.Context(), ip)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// begin starts a member, and ends it with the test or when the function that it gives is called.
func begin(t *testing.T, name, label string, at netip.AddrPort, seeds ...netip.AddrPort) (*Group, *teller, func()) {
	t.Helper()
	tell := &teller{heard: map[string]int{}}
	var texts []string
	for _, s := range seeds {
		texts = append(texts, s.String())
	}
	g := New(membership.Name(name), label, at, at, texts, tell)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	end := func() { cancel(); <-done }
	t.Cleanup(end)
	return g, tell, end
}

func within(t *testing.T, wait time.Duration, what string, is func() bool) {
	t.Helper()
	until := time.Now().Add(wait)
	for !is() {
		if time.Now().After(until) {
			t.Fatalf("not within %v: %s", wait, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (g *Group) is(name membership.Name) membership.State {
	for _, s := range g.Members() {
		if s.Name == name {
			return s.State
		}
	}
	return ""
}

func TestMembersSeeEachOther(t *testing.T) {
	atA, atB, atC := free(t, "127.83.0.1"), free(t, "127.83.0.2"), free(t, "127.83.0.3")
	// Nobody answers a's seed yet: it runs alone and asks on.
	a, tellA, _ := begin(t, "a", "one", atA, atB)
	within(t, 5*time.Second, "a is bound", func() bool { return a.is("a") == membership.Alive })
	b, tellB, endB := begin(t, "b", "one", atB)
	c, _, _ := begin(t, "c", "two", atC, atA)
	within(t, 15*time.Second, "a sees b", func() bool { return a.is("b") == membership.Alive && b.is("a") == membership.Alive })
	a.Publish("a", []byte("late"))
	within(t, 5*time.Second, "b hears a", func() bool { return tellB.has("late") })
	within(t, 15*time.Second, "they told each other all", func() bool { return tellA.has("whole") && tellB.has("whole") })
	within(t, 15*time.Second, "c has asked in vain", func() bool { return len(a.Dropped()) > 0 })
	if a.is("c") != "" || c.is("a") != "" {
		t.Error("members of two labels see each other")
	}
	endB()
	within(t, 10*time.Second, "a sees that b left", func() bool { return a.is("b") == membership.Left })
}

// The address may still be another process's: the member comes up when it is free.
func TestTakenAddressIsTriedAgain(t *testing.T) {
	at := free(t, "127.83.0.4")
	other, err := net.ListenPacket("udp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	g, _, _ := begin(t, "a", "one", at)
	time.AfterFunc(300*time.Millisecond, func() { _ = other.Close() })
	within(t, 10*time.Second, "it is bound", func() bool { return g.is("a") == membership.Alive })
}

// A flood is counted by kind; each is logged once.
func TestFloodIsCounted(t *testing.T) {
	var lines strings.Builder
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&lines, nil)))
	defer slog.SetDefault(was)
	q := quiet{kinds: map[string]*told{}}
	for i := range 1000 {
		_, _ = fmt.Fprintf(&q, "[ERR] memberlist: Failed to read packet %d: nonsense from=1.2.3.4", i)
		_, _ = fmt.Fprintf(&q, "[DEBUG] memberlist: usual %d", i)
	}
	for i := range 200 { // labels of strangers, as the engine quotes them
		_, _ = fmt.Fprintf(&q, "[ERR] memberlist: discarding packet with unacceptable label %q: from=1.2.3.4:5", string([]byte{byte(i), 0xff, '"', ':', byte(3 * i)}))
	}
	for i := range 100 {
		q.note(strings.Repeat("x", i), "one of many kinds")
	}
	n := 0
	for _, k := range q.counts() {
		n += k
	}
	if len(q.counts()) > kindsKept+1 || n != 1300 {
		t.Errorf("%d kinds, %d counted", len(q.counts()), n)
	}
	if n := q.counts()["discarding packet with unacceptable label …"]; n != 200 {
		t.Errorf("%v", q.counts())
	}
	if got := strings.Count(lines.String(), "Failed to read packet"); got != 1 {
		t.Errorf("logged %d times", got)
	}
}

func TestErrorsSayWhatHelps(t *testing.T) {
	e := &membership.Error{Where: "peers.bind", What: "no member yet", Remedy: "see who has the address", Err: net.ErrClosed}
	if !errors.Is(e, net.ErrClosed) || e.Advice() == "" || !strings.Contains(e.Error(), "peers.bind") {
		t.Error(e, e.Advice())
	}
}

// How many are here takes nothing from what is known of those gone; of these the latest are kept.
func TestGoneAmongMany(t *testing.T) {
	g := &Group{seen: map[membership.Name]*seen{}, start: time.Now()}
	turn := func(name string, to membership.State) {
		g.turn(&memberlist.Node{Name: name}, to)
	}
	turn("first", membership.Gone)
	for i := range 1024 {
		turn(fmt.Sprint("here-", i), membership.Alive)
	}
	if g.seen["first"] == nil || len(g.seen) != 1025 {
		t.Errorf("the one gone is forgotten, or not all are here: %d are known", len(g.seen))
	}
	for i := range goneKept {
		turn(fmt.Sprint("gone-", i), membership.Gone)
	}
	if g.seen["first"] != nil || g.seen["gone-0"] == nil || len(g.seen) != 1024+goneKept {
		t.Errorf("%d are known, want those here and %d gone", len(g.seen), goneKept)
	}
}
