// Package explain tells, over a unix socket, what a running balancer holds and why a flow went where it did.
package explain

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"yardwinch/internal/routing"
)

const (
	// Descriptors to set aside: the socket, the askers, and one that looks whether somebody listens already.
	Descriptors = atOnce + 2

	atOnce  = 4               // askers; more wait in the system's queue
	within  = 2 * time.Second // for a question and its answer
	longest = 512
)

// Listen opens the socket. One that a process left behind is taken over, one that somebody listens on is not.
func Listen(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, 100*time.Millisecond); err == nil {
		_ = c.Close()
		return nil, fmt.Errorf("somebody listens on %s already", path)
	}
	if s, err := os.Lstat(path); err == nil {
		if s.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there and no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return l, os.Chmod(path, 0o600) // flows are named in the answers
}

// Process is what the process tells of itself.
type Process struct {
	Phase      string
	Processes  string // of this balancer beside this one; empty: none
	StoreFault string // what is amiss with the folder of the processes; empty: nothing
}

// Serve answers until the context ends. More is what is told of the balancer's state beside what routing knows; members is what is told of
// other balancers, nil where nothing passes between them.
func Serve(ctx context.Context, l net.Listener, r *routing.Router, more func() Process, members func() any) {
	var parts sync.WaitGroup
	defer parts.Wait()
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	room := make(chan struct{}, atOnce)
	for {
		room <- struct{}{}
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			<-room
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond): // short of descriptors
			}
			continue
		}
		parts.Go(func() {
			defer func() { <-room }()
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(within))
			answer(c, r, more, members)
		})
	}
}

// answer takes one question: "state", "members", or "why" and the id of a flow.
func answer(c net.Conn, r *routing.Router, more func() Process, members func() any) {
	line, err := bufio.NewReader(io.LimitReader(c, longest)).ReadString('\n')
	if err != nil {
		return
	}
	word, name, _ := strings.Cut(strings.TrimSpace(line), " ")
	var told any
	switch word {
	case "state":
		s := r.State()
		process := more()
		s.Phase, s.Processes, s.StoreFault = process.Phase, process.Processes, process.StoreFault
		told = s
	case "why":
		note, ok := r.Explain(name)
		if told = note; !ok {
			told = failure{"nothing is known of this flow (any more)"}
		}
	case "members":
		told = failure{"peers are off here"}
		if members != nil {
			told = members()
		}
	default:
		told = failure{"want state, members, or why and a flow"}
	}
	_ = json.NewEncoder(c).Encode(told) // whoever asked may be gone
}

type failure struct {
	Error string `json:"error"`
}

// Ask puts one question to a running balancer and decodes the answer.
func Ask(path, question string, into any) error {
	c, err := net.DialTimeout("unix", path, within)
	if err != nil {
		return fmt.Errorf("no balancer answers on %s: %w", path, err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintln(c, question); err != nil {
		return fmt.Errorf("asking on %s: %w", path, err)
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return fmt.Errorf("asking on %s: %w", path, err)
	}
	var bad failure
	if err := json.Unmarshal(text, &bad); err == nil && bad.Error != "" {
		return errors.New(bad.Error)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("the answer on %s: %w", path, err)
	}
	return nil
}
