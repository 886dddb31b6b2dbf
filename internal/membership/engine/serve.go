package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yardwinch/internal/membership"
)

const (
	membersInterval  = 100 * time.Millisecond // between two reports of the members to the balancer
	frameQueueLength = 64                     // frames from the balancer that were read and not yet handled
)

// balancerLink is the Subscriber that forwards everything to the balancer.
type balancerLink struct {
	mu        sync.Mutex
	encoder   *cbor.Encoder
	fullState []byte
}

func (b *balancerLink) send(frame ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.encoder.Encode(frame) // if the balancer is gone, its frames end too
}

func (b *balancerLink) OnMessage(message []byte) { b.send(membership.FrameReceive, message) }

func (b *balancerLink) OnRemoteState(state []byte) { b.send(membership.FrameRemoteState, state) }

func (b *balancerLink) OnSuspended(gap time.Duration) { b.send(membership.FrameSuspended, uint64(gap)) }

func (b *balancerLink) FullState() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullState
}

func (b *balancerLink) setFullState(state []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fullState = state
}

// Serve runs the engine for a balancer that writes frames to in and reads frames from out. It returns when in ends or
// the balancer sends FrameLeave. While the balancer is suspended, the member does not respond either. Errors are of type
// *membership.Error.
func Serve(in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	frames := readFrames(ctx, in)
	first, ok := <-frames
	if !ok {
		return nil
	}
	instance, err := membership.DecodeStart(first)
	if err != nil {
		return err
	}
	link := &balancerLink{encoder: cbor.NewEncoder(out)}
	for runMember(ctx, New(instance, link), link, frames) == balancerSuspended {
		// The next frame shows that the balancer is running again. Its content is ignored unless it is FrameLeave;
		// runMember handles the end of the frames.
		if frame := <-frames; frameKind(frame) == membership.FrameLeave {
			return nil
		}
		link.OnSuspended(membership.HeartbeatTimeout)
	}
	return nil
}

// readFrames decodes the balancer's frames until the input or the context ends. A blocked read is not interrupted by
// the context; its goroutine lasts until the process exits.
func readFrames(ctx context.Context, in io.Reader) <-chan []any {
	frames := make(chan []any, frameQueueLength)
	go func() {
		defer close(frames)
		decoder := cbor.NewDecoder(in)
		for {
			var frame []any
			if err := decoder.Decode(&frame); err != nil {
				return
			}
			if len(frame) == 0 {
				continue
			}
			select {
			case frames <- frame:
			case <-ctx.Done():
				return
			}
		}
	}()
	return frames
}

// frameKind returns the kind of a frame, or 0 if it has none.
func frameKind(frame []any) uint64 {
	if len(frame) == 0 {
		return 0
	}
	kind, _ := frame[0].(uint64)
	return kind
}

// stopReason is why a member was stopped.
type stopReason int

const (
	balancerLeft      stopReason = iota // it sent FrameLeave, or its frames ended
	balancerSuspended                   // its heartbeats stopped
)

// runMember runs a member until its balancer leaves, exits or is suspended.
func runMember(ctx context.Context, group *Group, link *balancerLink, frames <-chan []any) stopReason {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { group.Run(ctx) })
	defer running.Wait()
	defer cancel()
	reports := time.NewTicker(membersInterval)
	defer reports.Stop()
	heartbeat := time.NewTimer(membership.HeartbeatTimeout)
	defer heartbeat.Stop()
	for {
		select {
		case frame, ok := <-frames:
			if !ok || frameKind(frame) == membership.FrameLeave {
				return balancerLeft
			}
			heartbeat.Reset(membership.HeartbeatTimeout)
			handleFrame(frame, group, link)
		case <-reports.C:
			link.send(membership.FrameMembers, membership.EncodeMembers(group.Members(), group.Dropped()))
		case <-heartbeat.C:
			slog.Warn("balancer suspended; its member does not respond until the balancer resumes")
			group.disableLeave()
			return balancerSuspended
		}
	}
}

// handleFrame handles a frame from a running balancer. Unknown and malformed frames count as heartbeats only.
func handleFrame(frame []any, group *Group, link *balancerLink) {
	switch kind := frameKind(frame); {
	case kind == membership.FramePublish && len(frame) == 3:
		key, _ := frame[1].(string)
		message, _ := frame[2].([]byte)
		group.Publish(key, message)
	case kind == membership.FrameFullState && len(frame) == 2:
		state, _ := frame[1].([]byte)
		link.setFullState(state)
	}
}

// Main is the main function of the engine's program. It returns the exit code, and writes errors to errorOutput with
// advice for the operator.
func Main(in io.Reader, out, errorOutput io.Writer) int {
	slog.SetDefault(slog.New(slog.NewTextHandler(errorOutput, nil)))
	err := Serve(in, out)
	if err == nil {
		return 0
	}
	text := fmt.Sprintln("yardwinch-gossip:", err)
	var fault *membership.Error
	if errors.As(err, &fault) {
		text += fmt.Sprintln("what helps:", fault.Advice())
	}
	_, _ = io.WriteString(errorOutput, text) // if it can't be written, the exit code still reports the failure
	return 1
}
