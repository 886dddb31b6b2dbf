package compatibility

import (
	"fmt"
	"net"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of frames between a balancer and its gossip engine, as numbers that both must know.
const (
	frameStart = iota + 1
	frameSay
	frameWhole
	frameBeat
	frameLeave
	frameHear
	frameAll
	frameMembers
)

// Members exchange all they know every 10 s, the first time after a random part of that: two rounds and some slack.
const exchanges = 25 * time.Second

const beatEvery = 200 * time.Millisecond // an engine whose balancer says nothing for a second falls silent

// gossiper is an engine that the test feeds in place of a balancer.
type gossiper struct {
	t       *testing.T
	process *exec.Cmd
	say     chan []any // to the engine
	heard   chan []any // from it
	kept    [][]any    // heard, and not yet what a test waited for: frames come in no fixed order
	log     logged
}

// newGossiper starts an engine as a member of the label prod.
func newGossiper(t *testing.T, name, bind string, seeds ...any) *gossiper {
	t.Helper()
	g := &gossiper{t: t, say: make(chan []any), heard: make(chan []any, 1000)}
	g.process = exec.Command(command(t, "gossip"))
	g.process.Stderr = &g.log
	in, err := g.process.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := g.process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := g.process.Start(); err != nil {
		t.Fatal(err)
	}
	over, written, read := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		defer in.Close()
		to := cbor.NewEncoder(in)
		beat := time.NewTicker(beatEvery)
		defer beat.Stop()
		// An engine that is gone is seen by whoever reads.
		_ = to.Encode(append([]any{frameStart, name, "prod", bind, bind}, seeds...))
		for {
			select {
			case <-over:
				_ = to.Encode([]any{frameLeave})
				return
			case <-beat.C:
				_ = to.Encode([]any{frameBeat})
			case f := <-g.say:
				_ = to.Encode(f)
			}
		}
	}()
	go func() {
		defer close(read)
		from := cbor.NewDecoder(out)
		for {
			var f []any
			if from.Decode(&f) != nil {
				return
			}
			select {
			case g.heard <- f:
			case <-over:
			}
		}
	}()
	t.Cleanup(func() {
		close(over)
		<-written
		<-read
		if err := g.process.Wait(); err != nil {
			t.Errorf("the engine ended with %v", err)
		}
		if t.Failed() {
			t.Log(g.log.String())
		}
	})
	return g
}

// hears waits for a frame that is meant.
func (g *gossiper) hears(what string, meant func(f []any) bool) []any {
	g.t.Helper()
	if i := slices.IndexFunc(g.kept, meant); i >= 0 {
		f := g.kept[i]
		g.kept = slices.Delete(g.kept, i, i+1)
		return f
	}
	for late := time.After(exchanges); ; {
		select {
		case f := <-g.heard:
			if meant(f) {
				return f
			}
			g.kept = append(g.kept, f)
		case <-late:
			g.t.Fatalf("not within %v: %s", exchanges, what)
		}
	}
}

// sees tells whether a frame names a member in a state.
func sees(name, state string) func(f []any) bool {
	return func(f []any) bool {
		if f[0] != uint64(frameMembers) {
			return false
		}
		all, _ := f[1].([]any)
		for _, x := range all {
			if m, _ := x.([]any); len(m) == 4 && m[0] == name && m[2] == state {
				return true
			}
		}
		return false
	}
}

func says(kind uint64, message string) func(f []any) bool {
	return func(f []any) bool {
		if f[0] != kind {
			return false
		}
		b, _ := f[1].([]byte)
		return string(b) == message
	}
}

// A balancer of an earlier build may find this build's engine beside it, and engines of both speak to each other.
func TestGossipFrames(t *testing.T) {
	t.Parallel()
	atA, atB := ownHost()+":17946", ownHost()+":17946"
	a := newGossiper(t, "a", atA)
	a.say <- []any{frameWhole, []byte("all of a")}
	a.hears("a sees itself", sees("a", "alive"))
	b := newGossiper(t, "b", atB, atA)
	b.hears("b sees a", sees("a", "alive"))
	b.hears("b is told all of a", says(frameAll, "all of a"))
	a.hears("a sees b", sees("b", "alive"))
	a.say <- []any{frameSay, "a", []byte("news")}
	b.hears("b hears a", says(frameHear, "news"))
	f := a.hears("a sees b", sees("b", "alive"))
	var shown strings.Builder
	for _, x := range f[1].([]any) {
		for _, field := range x.([]any) {
			fmt.Fprintf(&shown, "%T ", field)
		}
		fmt.Fprintln(&shown)
	}
	golden(t, "gossip/members.txt", shown.String())
}

// What is not said as it must be ends the engine with an error.
func TestGossipStartedByHand(t *testing.T) {
	var all strings.Builder
	for _, c := range []struct {
		name  string
		frame []any
	}{
		{"another kind first", []any{frameBeat}},
		{"too short", []any{frameStart, "a", "prod"}},
		{"no address", []any{frameStart, "a", "prod", "here", "here"}},
	} {
		text, err := cbor.Marshal(c.frame)
		if err != nil {
			t.Fatal(err)
		}
		r := ran(t, "gossip", "", string(text))
		fmt.Fprintf(&all, "== %s: exit code %d\n%s%s", c.name, r.code, r.out, unnamed("gossip", r.err))
	}
	r := ran(t, "gossip", "", "")
	fmt.Fprintf(&all, "== nothing: exit code %d\n%s%s", r.code, r.out, r.err)
	golden(t, "gossip/by-hand.txt", all.String())
}

// A daemon hears the records of an earlier build, shows what they say, and what it says itself has the same keys.
func TestDaemonAmongEarlierBuilds(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, echo(t))
	d.allOptions()
	at := net.JoinHostPort(ownHost(), "17946")
	other := newGossiper(t, "north-1", at)
	d.write(d.options, strings.Replace(read(t, d.options), "127.0.0.5:7946", at, 1))
	record, err := cbor.Marshal(map[int]any{0: 1, 1: 1, 2: "north-1", 3: uint64(1796282120637), 4: 17, 5: "recorded", 6: "told", 7: 123,
		8: [][]int64{{3826002220, 1, 12, 40}}, 9: [][]int64{{3826002220, 412, 3, 20}}, 77: "of a later build"})
	if err != nil {
		t.Fatal(err)
	}
	d.start()
	d.ready()
	other.hears("the daemon is a member", sees("north-3", "alive"))
	other.say <- []any{frameSay, "north-1", record}
	d.until("the record is shown", func() bool {
		r := ran(t, "daemon", "", "", "members", "--socket", d.socket)
		for line := range strings.Lines(r.out) {
			f := strings.Fields(line)
			if len(f) == 11 && f[0] == "north-1" && f[1] == "alive" && f[7] == "recorded" && f[8] == "told" && f[9] == "12.3" && f[10] == "1" {
				return true
			}
		}
		return false
	})
	var said map[int]any
	other.hears("the daemon says something of its own", func(f []any) bool { // it passes on what it hears, too
		b, _ := f[len(f)-1].([]byte)
		said = nil
		return f[0] == uint64(frameHear) && cbor.Unmarshal(b, &said) == nil && said[2] == "north-3"
	})
	for key, want := range map[int]string{0: "uint64", 1: "uint64", 2: "string", 3: "uint64", 4: "uint64", 5: "string", 6: "string", 7: "uint64", 8: "[]interface {}"} {
		if got := fmt.Sprintf("%T", said[key]); got != want {
			t.Errorf("key %d has a %s, want a %s", key, got, want)
		}
	}
}
