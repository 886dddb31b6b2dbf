package engine

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yardwinch/internal/membership"
)

// engineUnderTest is an engine whose balancer is played by the test.
type engineUnderTest struct {
	t       *testing.T
	encoder *cbor.Encoder
	frames  chan []any // from the engine
	end     func() error
}

func serve(t *testing.T) *engineUnderTest {
	t.Helper()
	in, toEngine := io.Pipe()
	fromEngine, out := io.Pipe()
	frames := make(chan []any, 1000)
	var running sync.WaitGroup
	var served error
	running.Go(func() {
		served = Serve(in, out)
		_ = out.Close() // never fails
	})
	running.Go(func() {
		decoder := cbor.NewDecoder(fromEngine)
		for {
			var frame []any
			if decoder.Decode(&frame) != nil {
				return
			}
			frames <- frame
		}
	})
	end := sync.OnceValue(func() error {
		_ = toEngine.Close() // never fails
		running.Wait()
		return served
	})
	t.Cleanup(func() { _ = end() })
	return &engineUnderTest{t: t, encoder: cbor.NewEncoder(toEngine), frames: frames, end: end}
}

func (e *engineUnderTest) send(frame ...any) {
	e.t.Helper()
	if err := e.encoder.Encode(frame); err != nil {
		e.t.Fatal(err)
	}
}

// await returns the next frame of a kind. If the balancer is running, it sends heartbeats meanwhile.
func (e *engineUnderTest) await(kind uint64, balancerRuns bool) []any {
	e.t.Helper()
	heartbeats := time.NewTicker(membership.HeartbeatInterval)
	defer heartbeats.Stop()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case frame := <-e.frames:
			if frameKind(frame) == kind {
				return frame
			}
		case <-heartbeats.C:
			if balancerRuns {
				e.send(membership.FrameHeartbeat)
			}
		case <-deadline:
			e.t.Fatalf("timed out waiting for a frame of kind %d", kind)
		}
	}
}

// The member stops while the balancer's heartbeats are missing, and the balancer is told of its suspension when it
// sends frames again.
func TestMemberIsSilentWhileTheBalancerIsSuspended(t *testing.T) {
	address := freeAddress(t, "127.83.0.5").String()
	engine := serve(t)
	engine.send(membership.FrameStart, "a", "one", address, address)
	engine.await(membership.FrameMembers, true)
	// Send no heartbeats until the engine stops reporting members.
	for lastFrame := time.Now(); time.Since(lastFrame) < membership.HeartbeatTimeout; {
		select {
		case <-engine.frames:
			lastFrame = time.Now()
		case <-time.After(membership.HeartbeatTimeout):
		}
	}
	engine.send(membership.FrameHeartbeat)
	frame := engine.await(membership.FrameSuspended, true)
	if gap, _ := frame[1].(uint64); time.Duration(gap) != membership.HeartbeatTimeout {
		t.Errorf("suspended for %v, want HeartbeatTimeout", frame[1])
	}
	engine.await(membership.FrameMembers, true)
	engine.send(membership.FrameLeave)
	if err := engine.end(); err != nil {
		t.Error(err)
	}
}

func TestServeEnds(t *testing.T) {
	address := freeAddress(t, "127.83.0.6").String()
	for _, c := range []struct {
		name   string
		frames [][]any
		fails  bool
	}{
		{"without frames", nil, false},
		{"after a start frame", [][]any{{membership.FrameStart, "a", "one", address, address}}, false},
		{"after a start and a leave frame", [][]any{{membership.FrameStart, "a", "one", address, address}, {membership.FrameLeave}}, false},
		{"with an error for another first frame", [][]any{{membership.FrameHeartbeat}}, true},
		{"with an error for an invalid address", [][]any{{membership.FrameStart, "a", "one", "here", address}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			engine := serve(t)
			for _, frame := range c.frames {
				engine.send(frame...)
			}
			if err := engine.end(); (err != nil) != c.fails {
				t.Errorf("Serve returned %v, want an error: %v", err, c.fails)
			}
		})
	}
}
