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
	membersInterval = 100 * time.Millisecond // between reports of the members to the balancer
	frameQueue      = 64                     // frames of the balancer that were read and not handled
)

// balancerLink is the Subscriber that passes everything on to the balancer.
type balancerLink struct {
	mu        sync.Mutex
	encoder   *cbor.Encoder
	fullState []byte
}

func (b *balancerLink) send(frame ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.encoder.Encode(frame) // that the balancer is gone is found at the end of its frames
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

// Serve runs the engine for a balancer that writes frames to in and reads frames from out, until either ends or
// the balancer has it leave. While the balancer is suspended the member is silent, as the balancer itself is. An
// error is of type *membership.Error.
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
		// The first frame after the silence only shows that the balancer runs again. The end of the frames is left
		// to runMember.
		if frame := <-frames; frameKind(frame) == membership.FrameLeave {
			return nil
		}
		link.OnSuspended(membership.HeartbeatTimeout)
	}
	return nil
}

// readFrames decodes the balancer's frames until the input or the context ends. A read that blocks lasts until the
// process ends.
func readFrames(ctx context.Context, in io.Reader) <-chan []any {
	frames := make(chan []any, frameQueue)
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

// frameKind is the kind of a frame; 0 of none.
func frameKind(frame []any) uint64 {
	if len(frame) == 0 {
		return 0
	}
	kind, _ := frame[0].(uint64)
	return kind
}

// memberEnd is why a member ended.
type memberEnd int

const (
	balancerLeft      memberEnd = iota // it had the member leave, or its frames ended
	balancerSuspended                  // its heartbeats stopped
)

// runMember runs a member until its balancer leaves, ends or is suspended.
func runMember(ctx context.Context, group *Group, link *balancerLink, frames <-chan []any) memberEnd {
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
			slog.Warn("balancer suspended; its member is silent until the balancer runs again")
			group.silence()
			return balancerSuspended
		}
	}
}

// handleFrame handles a frame of a running balancer; one of another kind or form is only a heartbeat.
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

// Main is the engine's program. It returns the exit code; errors are written to errorOutput with what an operator
// can do.
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
	_, _ = io.WriteString(errorOutput, text) // the exit code tells too
	return 1
}
