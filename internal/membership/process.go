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
	engineName   = "yardwinch-gossip"     // of the engine's program
	leaveTimeout = 900 * time.Millisecond // for the engine to leave and end, before it is killed
)

// enginePath is the path of the engine's program.
func (g *Group) enginePath() (string, error) {
	if g.program != "" {
		return g.program, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find the program %s: %w", engineName, err)
	}
	return filepath.Join(filepath.Dir(self), engineName), nil
}

// runEngine runs one engine from its start to its end; when the context ends, the engine leaves the other members.
func (g *Group) runEngine(ctx context.Context) error {
	path, err := g.enginePath()
	if err != nil {
		return err
	}
	// The kernel ends the engine with the thread that started it, so this thread must last: the engine must not
	// outlive the balancer.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	command := exec.CommandContext(ctx, path)
	command.Cancel = func() error { return nil } // write tells the engine to leave
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
		return fmt.Errorf("the engine ended: %w", err)
	}
	return nil
}

// reportEngineEnd reports the end of an engine that should have run on.
func (g *Group) reportEngineEnd(cause error) {
	fault := &Error{
		Where:  "peers",
		What:   "the engine of the members ended; serving alone until it runs again",
		Remedy: "see that " + engineName + " of this build lies beside yardwinch, or name it by peers.program",
		Err:    cause,
	}
	g.drops.add("membership engine ended", "the engine ended", fault.Error(), "advice", fault.Advice())
}

// write sends the engine the queued frames, and heartbeats, until its output or the context ends.
func (g *Group) write(ctx context.Context, engineInput io.WriteCloser, outputEnded <-chan struct{}) {
	defer func() { _ = engineInput.Close() }() // the engine may have ended
	encoder := cbor.NewEncoder(engineInput)
	instance := g.instance
	instance.Seeds = append(slices.Clone(instance.Seeds), g.takeRejoinAddresses()...)
	if encoder.Encode(encodeStart(instance)) != nil {
		return // read finds the engine's end
	}
	heartbeats := time.NewTicker(HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		var frame []any
		select {
		case <-outputEnded:
			return
		case <-ctx.Done():
			_ = encoder.Encode([]any{FrameLeave}) // the engine may have ended
			return
		case frame = <-g.queue:
		case <-heartbeats.C:
			frame = []any{FrameHeartbeat}
		}
		if encoder.Encode(frame) != nil {
			return // read finds the engine's end
		}
	}
}

// read handles the frames of the engine until it ends or sends something else.
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

// handle handles one frame; one of another kind or form is skipped.
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
