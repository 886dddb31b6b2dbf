package daemon

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"yardwinch/internal/handover"
)

var processes = flag.Int("processes", 12, "how many real processes TestReady starts at once")

// A process told to end while it waits for the one before ends without having served, wherever the other one is silent or not ready; it
// does not first wait to serve alone.
func TestStoppedBeforeServing(t *testing.T) {
	for _, c := range []struct {
		name, at string
		later    bool
	}{
		{"the one before is itself new, or ends", "hello", true},
		{"it does not answer the greeting", "hello", false},
		{"it gives nothing", "give", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := directoryEnvironment(t)
			g := newHarness(t)
			reached, over := make(chan struct{}, 1), make(chan struct{})
			said := func(at string) handover.Handler {
				return func([]byte, []*os.File) (any, []syscall.Conn, error) {
					if at == c.at {
						select {
						case reached <- struct{}{}:
						default:
						}
						if !c.later {
							<-over
						}
					}
					return c.later, nil, nil
				}
			}
			f, err := handover.Open(env("TMPDIR"), g.listenAddress)
			if err != nil {
				t.Fatal(err)
			}
			before, err := f.Listen()
			if err != nil {
				t.Fatal(err)
			}
			defer before.Close()
			defer close(over)
			go func() {
				for {
					conn, err := before.AcceptUnix()
					if err != nil {
						return
					}
					l := handover.NewLink(conn, map[string]handover.Handler{"hello": said("hello"), "give": said("give")}, nil)
					go func() { _ = l.Run() }()
				}
			}()
			if g.daemon, err = Load(g.path, "", env); err != nil {
				t.Fatal(err)
			}
			stop, term := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- g.daemon.Serve(stop, nil) }()
			<-reached
			term()
			if err := <-done; err != nil {
				t.Errorf("ended with %v", err)
			}
			select {
			case <-g.daemon.started:
				t.Error("it served first")
			default:
			}
		})
	}
}

// All that a new process may wait for before it serves fits into what an operator allows it.
func TestTimeoutsBeforeServing(t *testing.T) {
	const allowed = 10 * time.Second
	if all := takeOverTimeout + requestTimeout; all >= allowed { // receiveHandover in all, then the word to the predecessor
		t.Errorf("a new process may wait for %v, %v are allowed", all, allowed)
	}
}

// awaitAnswer sends a line on ever new connections until one of them brings the answer: those that the system gives to a frozen process bring none.
func (p *process) awaitAnswer(ctx context.Context, line, want string) error {
	answers := make(chan string)
	again := time.NewTicker(50 * time.Millisecond)
	defer again.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	last := ""
	for n := 0; ; n++ {
		go func() {
			c, err := net.Dial("tcp", p.listenAddress)
			if err != nil {
				return
			}
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			if _, err := io.WriteString(c, strings.ReplaceAll(line, "ID", fmt.Sprint(n))+"\r\n"); err != nil {
				return
			}
			got, _ := bufio.NewReader(c).ReadString('\n')
			select {
			case answers <- strings.TrimSpace(got):
			case <-ctx.Done():
			}
		}()
		select {
		case got := <-answers:
			if got == want {
				return nil
			}
			last = cmp.Or(got, last)
		case <-again.C:
		case <-ctx.Done():
			return fmt.Errorf("%s: %q, want %q: %w", line, last, want, ctx.Err())
		}
	}
}

// awaitReady is when this process serves, PING is answered and a client has a server of the known list. Until it serves, the process before may
// answer at the same address.
func (p *process) awaitReady(ctx context.Context) error {
	for p.callAdmin("GET", "ready") != http.StatusOK {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s does not serve: %w", p.path, ctx.Err())
		}
	}
	return errors.Join(p.awaitAnswer(ctx, "PING", "PONG"), p.awaitAnswer(ctx, "OPEN ready-ID 2 c=live,d=800", "UP 1"))
}

// The agents a new process may meet, which say nothing of the list before all processes are ready, or never.
func startSilentAgent(t *testing.T) (addr string, speak func()) {
	l := listenLocal(t)
	spoken := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if _, err := readRequestHead(c); err != nil {
					return
				}
				<-spoken
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+
					`{"revision":2,"complete":true,"members":[]}`+"\n")
			}()
		}
	}()
	return l.Addr().String(), func() { close(spoken) }
}

// readRequestHead reads a request's head.
func readRequestHead(c net.Conn) (head string, err error) {
	in := bufio.NewReader(c)
	for !strings.HasSuffix(head, "\r\n\r\n") && err == nil {
		var line string
		line, err = in.ReadString('\n')
		head += line
	}
	return head, err
}

// Restarted processes, all at once, serve the list that they know whatever their agent does, and whatever the process before them does,
// which shares their address and folder. How long each took is logged; what is asked is that they are ready while the agent has not spoken
// and the one before is as it was.
func TestReadyAfterRestart(t *testing.T) {
	const within = 10 * time.Second
	runtime.LockOSThread() // see processIn
	defer runtime.UnlockOSThread()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // a test that hangs is to fail
	defer cancel()
	silent, _ := startSilentAgent(t)
	late, speak := startSilentAgent(t)
	agents := []struct{ name, addr string }{{"silent", silent}, {"refusing", ""}, {"late", late}}
	befores := []string{"none", "killed", "frozen", "slow to end"}
	type start struct {
		g             *harness
		agent, before string
		tmp           string
		old, now      *process
		began         time.Time
		took          time.Duration
	}
	all := make([]*start, *processes)
	for i := range all {
		agent, before := agents[i%len(agents)], befores[i/len(agents)%len(befores)]
		s := &start{g: newHarness(t), agent: agent.name, before: before, tmp: t.TempDir()}
		var told map[string]any
		if err := json.Unmarshal([]byte(s.g.config), &told); err != nil {
			t.Fatal(err)
		}
		if agent.addr != "" {
			told["discovery"] = agent.addr
		}
		told["settings"].(map[string]any)["service-types"].([]any)[0].(map[string]any)["hard-limit"] = 3 * time.Second
		text, err := json.Marshal(told)
		if err != nil {
			t.Fatal(err)
		}
		s.g.config = string(text)
		if err := os.WriteFile(s.g.path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if before != "none" {
			s.old = s.g.processIn(s.tmp)
		}
		all[i] = s
	}
	for _, s := range all {
		if s.old == nil {
			continue
		}
		if err := s.old.awaitReady(ctx); err != nil {
			t.Fatalf("the process before: %v", err)
		}
		for { // it is to be found before it is struck
			if _, err := os.Lstat(filepath.Join(s.tmp, "yardwinch-"+strings.ReplaceAll(s.g.listenAddress, ":", "_")+".sock")); err == nil {
				break
			}
			if ctx.Err() != nil {
				t.Fatal("the process before is not to be found")
			}
			time.Sleep(time.Millisecond)
		}
		signal := map[string]syscall.Signal{"killed": syscall.SIGKILL, "frozen": syscall.SIGSTOP, "slow to end": syscall.SIGTERM}[s.before]
		if signal == syscall.SIGTERM { // somebody who stays has it take all its time
			if _, got := s.g.openWith("OPEN stays 2 c=live,d=800"); got != "UP 1" {
				t.Fatalf("at the process before: %q", got)
			}
		}
		s.old.signal(signal)
		if signal == syscall.SIGKILL {
			_, _ = s.old.cmd.Process.Wait()
		}
	}
	for _, s := range all {
		g := s.g
		if s.old != nil {
			g = g.successor()
		}
		s.began = time.Now()
		s.now = g.processIn(s.tmp)
	}
	done := make(chan error)
	for _, s := range all {
		go func() {
			err := s.now.awaitReady(ctx)
			s.took = time.Since(s.began)
			if err != nil {
				err = fmt.Errorf("agent %s, the one before %s: %w", s.agent, s.before, err)
			}
			done <- err
		}()
	}
	for range all {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	speak() // an agent that speaks in the end is heard: the list it brings is empty
	for _, s := range all {
		if s.agent == "late" && !t.Failed() {
			if err := s.now.awaitAnswer(ctx, "OPEN late-ID 2 c=live,d=800", "BUSY 700"); err != nil {
				t.Errorf("the one before %s, after the agent spoke: %v", s.before, err)
			}
		}
	}
	inTime := 0
	slices.SortFunc(all, func(a, b *start) int { return cmp.Compare(a.took, b.took) })
	for _, s := range all {
		if s.took <= within {
			inTime++
		}
	}
	for _, before := range befores {
		for _, s := range slices.Backward(all) {
			if s.before == before {
				t.Logf("the one before %s: the slowest took %v", before, s.took.Round(time.Millisecond))
				break
			}
		}
	}
	t.Logf("%d of %d ready within %v", inTime, len(all), within)
}
