package compatibility

import (
	"context"
	"fmt"
	"io"
	"net"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of frames between a balancer and its gossip engine. The numbers are part of the protocol.
const (
	frameStart = iota + 1
	framePublish
	framePublishFullState
	frameHeartbeat
	frameLeave
	frameReceived
	frameReceivedFullState
	frameMembers
)

// fullStateTimeout allows for two exchanges of the full state and a margin. Members exchange full states every 10 s, for
// the first time after a random part of that interval.
const fullStateTimeout = 25 * time.Second

const heartbeatInterval = 200 * time.Millisecond // an engine stops sending if its balancer sends no frame for a second

// gossipEngine is a gossip engine's process, with the test in place of its balancer.
type gossipEngine struct {
	t          *testing.T
	process    *exec.Cmd
	toEngine   chan []any
	fromEngine chan []any
	unmatched  [][]any // frames that no wait has matched yet, as they arrive in no fixed order
	log        logBuffer
}

// startGossipEngine starts an engine as a member of the fleet with the label prod.
func startGossipEngine(t *testing.T, name, bind string, seeds ...any) *gossipEngine {
	t.Helper()
	g := &gossipEngine{t: t, toEngine: make(chan []any), fromEngine: make(chan []any, 1000)}
	// Without cancellation, as the cleanup ends the engine with a frame and checks its exit status, and the context of the
	// test is cancelled before.
	g.process = exec.CommandContext(context.WithoutCancel(t.Context()), commandPath(t, "gossip"))
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
	stop, writerDone, readerDone := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(writerDone)
		g.writeFrames(in, append([]any{frameStart, name, "prod", bind, bind}, seeds...), stop)
	}()
	go func() {
		defer close(readerDone)
		g.readFrames(out, stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-writerDone
		<-readerDone
		if err := g.process.Wait(); err != nil {
			t.Errorf("gossip engine failed: %v", err)
		}
		if t.Failed() {
			t.Log(g.log.String())
		}
	})
	return g
}

// writeFrames sends the engine the start frame, then heartbeats and the frames from toEngine, and a leave frame at the
// end. It ignores errors: if the engine has ended, the test times out waiting for a frame.
func (g *gossipEngine) writeFrames(in io.WriteCloser, start []any, stop <-chan struct{}) {
	defer func() { _ = in.Close() }()
	encoder := cbor.NewEncoder(in)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	_ = encoder.Encode(start)
	for {
		select {
		case <-stop:
			_ = encoder.Encode([]any{frameLeave})
			return
		case <-heartbeat.C:
			_ = encoder.Encode([]any{frameHeartbeat})
		case f := <-g.toEngine:
			_ = encoder.Encode(f)
		}
	}
}

// readFrames receives the engine's frames until the engine ends.
func (g *gossipEngine) readFrames(out io.Reader, stop <-chan struct{}) {
	decoder := cbor.NewDecoder(out)
	for {
		var f []any
		if decoder.Decode(&f) != nil {
			return
		}
		select {
		case g.fromEngine <- f:
		case <-stop:
		}
	}
}

// awaitFrame waits for a wanted frame, and keeps other frames for later calls.
func (g *gossipEngine) awaitFrame(what string, isWanted func(f []any) bool) []any {
	g.t.Helper()
	if i := slices.IndexFunc(g.unmatched, isWanted); i >= 0 {
		f := g.unmatched[i]
		g.unmatched = slices.Delete(g.unmatched, i, i+1)
		return f
	}
	for timeout := time.After(fullStateTimeout); ; {
		select {
		case f := <-g.fromEngine:
			if isWanted(f) {
				return f
			}
			g.unmatched = append(g.unmatched, f)
		case <-timeout:
			g.t.Fatalf("timed out after %v waiting until %s", fullStateTimeout, what)
		}
	}
}

// isAliveMember returns a function that reports whether a frame lists a member as alive.
func isAliveMember(name string) func(f []any) bool {
	return func(f []any) bool {
		if f[0] != uint64(frameMembers) {
			return false
		}
		members, _ := f[1].([]any)
		for _, x := range members {
			if m, _ := x.([]any); len(m) == 4 && m[0] == name && m[2] == "alive" {
				return true
			}
		}
		return false
	}
}

// isMessage returns a function that reports whether a frame has the kind and the message.
func isMessage(kind uint64, message string) func(f []any) bool {
	return func(f []any) bool {
		if f[0] != kind {
			return false
		}
		b, _ := f[1].([]byte)
		return string(b) == message
	}
}

// A balancer of an earlier build may run with this build's engine, and engines of both builds exchange gossip. So the
// frames must stay the same.
func TestGossipFrames(t *testing.T) {
	t.Parallel()
	addressA, addressB := uniqueHost()+":17946", uniqueHost()+":17946"
	a := startGossipEngine(t, "a", addressA)
	a.toEngine <- []any{framePublishFullState, []byte("all of a")}
	a.awaitFrame("a sees itself", isAliveMember("a"))
	b := startGossipEngine(t, "b", addressB, addressA)
	b.awaitFrame("b sees a", isAliveMember("a"))
	b.awaitFrame("b receives the full state of a", isMessage(frameReceivedFullState, "all of a"))
	a.awaitFrame("a sees b", isAliveMember("b"))
	a.toEngine <- []any{framePublish, "a", []byte("news")}
	b.awaitFrame("b receives the message of a", isMessage(frameReceived, "news"))
	f := a.awaitFrame("a sees b", isAliveMember("b"))
	var types strings.Builder
	for _, x := range f[1].([]any) {
		for _, field := range x.([]any) {
			fmt.Fprintf(&types, "%T ", field)
		}
		fmt.Fprintln(&types)
	}
	compareGolden(t, "gossip/members.txt", types.String())
}

// The engine fails with an error if the first frame is malformed.
func TestGossipMalformedStart(t *testing.T) {
	var output strings.Builder
	for _, c := range []struct {
		name  string
		frame []any
	}{
		{"another kind first", []any{frameHeartbeat}},
		{"too short", []any{frameStart, "a", "prod"}},
		{"no address", []any{frameStart, "a", "prod", "here", "here"}},
	} {
		text, err := cbor.Marshal(c.frame)
		if err != nil {
			t.Fatal(err)
		}
		r := runCommand(t, "gossip", "", string(text))
		fmt.Fprintf(&output, "== %s: exit code %d\n%s%s", c.name, r.exitCode, r.stdout, replaceCommandName("gossip", r.stderr))
	}
	r := runCommand(t, "gossip", "", "")
	fmt.Fprintf(&output, "== nothing: exit code %d\n%s%s", r.exitCode, r.stdout, r.stderr)
	compareGolden(t, "gossip/by-hand.txt", output.String())
}

// A daemon shows the records that an earlier build publishes, and the records that it publishes itself have the same keys.
func TestDaemonAmongEarlierBuilds(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.useAllOptions()
	otherAddress := net.JoinHostPort(uniqueHost(), "17946")
	other := startGossipEngine(t, "north-1", otherAddress)
	d.write(d.options, strings.Replace(readFile(t, d.options), "127.0.0.5:7946", otherAddress, 1))
	record, err := cbor.Marshal(map[int]any{0: 1, 1: 1, 2: "north-1", 3: uint64(1796282120637), 4: 17, 5: "recorded", 6: "told", 7: 123,
		8: [][]int64{{3826002220, 1, 12, 40}}, 9: [][]int64{{3826002220, 412, 3, 20}}, 77: "of a later build"})
	if err != nil {
		t.Fatal(err)
	}
	d.start()
	d.waitReady()
	other.awaitFrame("the daemon is a member", isAliveMember("north-3"))
	other.toEngine <- []any{framePublish, "north-1", record}
	d.waitUntil("the members command shows the record", func() bool {
		r := runCommand(t, "daemon", "", "", "members", "--socket", d.socket)
		for line := range strings.Lines(r.stdout) {
			f := strings.Fields(line)
			if len(f) == 11 && f[0] == "north-1" && f[1] == "alive" && f[7] == "recorded" && f[8] == "told" && f[9] == "12.3" && f[10] == "1" {
				return true
			}
		}
		return false
	})
	var published map[int]any
	other.awaitFrame("the daemon publishes its own record", func(f []any) bool { // it also relays records of others
		b, _ := f[len(f)-1].([]byte)
		published = nil
		return f[0] == uint64(frameReceived) && cbor.Unmarshal(b, &published) == nil && published[2] == "north-3"
	})
	for key, want := range map[int]string{0: "uint64", 1: "uint64", 2: "string", 3: "uint64", 4: "uint64", 5: "string", 6: "string", 7: "uint64", 8: "[]interface {}"} {
		if got := fmt.Sprintf("%T", published[key]); got != want {
			t.Errorf("key %d has type %s, want %s", key, got, want)
		}
	}
}
