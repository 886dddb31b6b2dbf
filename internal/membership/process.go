package membership

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	engineName   = "yardwinch-gossip"     // file name of the engine's program
	leaveTimeout = 900 * time.Millisecond // for the engine to leave and exit, before it is killed
)

// enginePath returns the path of the engine's program.
func (g *Group) enginePath() (string, error) {
	if g.program != "" {
		return g.program, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("locate the program %s: %w", engineName, err)
	}
	return filepath.Join(filepath.Dir(self), engineName), nil
}

// runEngine starts an engine and returns when it has exited. When the context ends, the engine leaves the membership.
func (g *Group) runEngine(ctx context.Context) error {
	path, err := g.enginePath()
	if err != nil {
		return err
	}
	// The engine must not outlive the balancer. With Pdeathsig the kernel sends it SIGTERM when the thread that
	// started it exits, so the goroutine stays on that thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	command := exec.CommandContext(ctx, path)
	command.Cancel = func() error { return nil } // write sends FrameLeave instead
	command.WaitDelay = leaveTimeout
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	input, err := command.StdinPipe()
	if err != nil {
		return fmt.Errorf("open the engine's input: %w", err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("open the engine's output: %w", err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start the engine: %w", err)
	}
	outputEnded := make(chan struct{})
	var pipes sync.WaitGroup
	pipes.Go(func() { g.write(ctx, input, outputEnded) })
	pipes.Go(func() {
		defer close(outputEnded)
		g.read(output)
	})
	pipes.Wait()
	if err := command.Wait(); err != nil {
		return fmt.Errorf("engine exited: %w", err)
	}
	return nil
}

// reportEngineEnd counts and logs an unexpected exit of the engine.
func (g *Group) reportEngineEnd(cause error) {
	fault := &Error{
		Where:  "peers",
		What:   "the engine of the members ended; serving alone until it runs again",
		Remedy: "install " + engineName + " of the same build next to yardwinch, or set peers.program to its path",
		Err:    cause,
	}
	g.drops.add("membership engine ended", "the engine ended", fault.Error(), "advice", fault.Advice())
}

// write sends the queued frames and heartbeats to the engine, until the engine's output or the context ends.
func (g *Group) write(ctx context.Context, engineInput io.WriteCloser, outputEnded <-chan struct{}) {
	defer func() { _ = engineInput.Close() }() // fails if the engine has exited
	encoder := cbor.NewEncoder(engineInput)
	instance := g.instance
	instance.Seeds = append(slices.Clone(instance.Seeds), g.takeRejoinAddresses()...)
	if encoder.Encode(encodeStart(instance)) != nil {
		return // read notices that the engine has exited
	}
	heartbeats := time.NewTicker(HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		var frame []any
		select {
		case <-outputEnded:
			return
		case <-ctx.Done():
			_ = encoder.Encode([]any{FrameLeave}) // fails if the engine has exited
			return
		case frame = <-g.queue:
		case <-heartbeats.C:
			frame = []any{FrameHeartbeat}
		}
		if encoder.Encode(frame) != nil {
			return // read notices that the engine has exited
		}
	}
}

// read handles frames from the engine until its output ends or can't be decoded.
func (g *Group) read(engineOutput io.Reader) {
	decoder := frameDecoding.NewDecoder(engineOutput)
	for {
		var frame []any
		if err := decoder.Decode(&frame); err != nil || len(frame) < 2 {
			return
		}
		g.handle(frame)
	}
}

// handle handles one frame; an unknown or malformed one is skipped.
func (g *Group) handle(frame []any) {
	kind, _ := frame[0].(uint64)
	switch content := frame[1].(type) {
	case []byte:
		switch kind {
		case FrameReceive:
			g.subscriber.OnMessage(content)
		case FrameRemoteState:
			g.subscriber.OnRemoteState(content)
		}
	case uint64:
		if kind == FrameSuspended {
			g.subscriber.OnSuspended(time.Duration(content))
		}
	case []any:
		if kind == FrameMembers {
			g.setMembers(decodeMembers(content))
		}
	}
}
