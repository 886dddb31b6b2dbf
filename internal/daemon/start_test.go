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

var processes = flag.Int("processes", 12, "how many real processes TestReadyAfterRestart starts at once")

// A process that is told to stop while it waits for its predecessor ends without having served, whether the
// predecessor is silent or not ready; it doesn't wait first to serve alone.
func TestStoppedBeforeServing(t *testing.T) {
	for _, c := range []struct {
		name, silentAt string
		notReady       bool
	}{
		{"the predecessor is itself new, or ends", messageHello, true},
		{"it does not answer the greeting", messageHello, false},
		{"it does not hand over", messageGetState, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			environment := directoryEnvironment(t)
			h := newHarness(t)
			reached := startSilentPredecessor(t, openSocket(t, environment("TMPDIR"), h.listenAddress), c.silentAt, c.notReady)
			var err error
			if h.daemon, err = Load(t.Context(), Source{ConfigPath: h.path, Environment: environment}); err != nil {
				t.Fatal(err)
			}
			h.serve(nil)
			<-reached
			h.end()
			select {
			case <-h.daemon.lifecycle.started:
				t.Error("it served first")
			default:
			}
		})
	}
}

// startSilentPredecessor starts a predecessor that answers requests up to one kind with whether it is not ready.
// At that kind the channel receives; unless it is not ready it then says nothing.
func startSilentPredecessor(t *testing.T, socket *handover.Socket, silentAt string, notReady bool) (reached <-chan struct{}) {
	t.Helper()
	listener, err := socket.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	arrived, ended := make(chan struct{}, 1), make(chan struct{})
	t.Cleanup(func() {
		close(ended)
		_ = listener.Close()
	})
	answer := func(kind string) handover.Handler {
		return func(context.Context, handover.Request) (handover.Response, error) {
			if kind == silentAt {
				select {
				case arrived <- struct{}{}:
				default:
				}
				if !notReady {
					<-ended
				}
			}
			return handover.Response{Body: notReady}, nil
		}
	}
	go func() {
		for {
			conn, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			link := handover.NewLink(conn, map[string]handover.Handler{
				messageHello: answer(messageHello), messageGetState: answer(messageGetState)}, nil)
			go func() { _ = link.Run(t.Context()) }() // until the process under test ends
		}
	}()
	return arrived
}

// All that a new process may wait for before it serves fits into what operators allow.
func TestTimeoutsBeforeServing(t *testing.T) {
	const allowed = 10 * time.Second
	// The hand-over, then the notice to the predecessor.
	if total := takeOverTimeout + requestTimeout; total >= allowed {
		t.Errorf("a new process may wait for %v, %v are allowed", total, allowed)
	}
}

// awaitAnswer sends a line on ever new connections until one of them brings the answer: those that the system
// gives to a frozen process bring none.
func (p *process) awaitAnswer(ctx context.Context, line, want string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan string)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	last := ""
	for n := 0; ; n++ {
		attempt := strings.ReplaceAll(line, "ID", fmt.Sprint(n))
		go func() { // ends with ctx
			if got, ok := exchange(ctx, p.listenAddress, attempt); ok {
				select {
				case answers <- got:
				case <-ctx.Done():
				}
			}
		}()
		select {
		case got := <-answers:
			if got == want {
				return nil
			}
			last = cmp.Or(got, last)
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s: %q, want %q: %w", line, last, want, ctx.Err())
		}
	}
}

// exchange sends a line on a new connection and gives the line that comes back, if any; ok: the line was sent.
func exchange(ctx context.Context, address, line string) (answer string, ok bool) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return "", false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
		return "", false
	}
	answer, _ = bufio.NewReader(conn).ReadString('\n') // a connection that ends instead has no answer
	return strings.TrimSpace(answer), true
}

// awaitReady waits until this process serves, PING is answered and a client has a server of the cached list.
// Before it serves, its predecessor may answer at the same address.
func (p *process) awaitReady(ctx context.Context) error {
	for p.callAdmin(ctx, "GET", "ready") != http.StatusOK {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s does not serve: %w", p.path, ctx.Err())
		}
	}
	return errors.Join(p.awaitAnswer(ctx, "PING", "PONG"), p.awaitAnswer(ctx, "OPEN ready-ID 2 c=live,d=800", "UP 1"))
}

// startSilentAgent starts a discovery agent that accepts requests and says nothing until it is told to speak; its
// list is empty.
func startSilentAgent(t *testing.T) (address string, speak func()) {
	t.Helper()
	listener := listenLocal(t)
	speaking := make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				if err := readRequestHead(conn); err != nil {
					return
				}
				<-speaking
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+
					`{"revision":2,"complete":true,"members":[]}`+"\n") // the balancer may be gone
			}()
		}
	}()
	return listener.Addr().String(), func() { close(speaking) }
}

func readRequestHead(conn net.Conn) error {
	in := bufio.NewReader(conn)
	for line := ""; line != "\r\n"; {
		var err error
		if line, err = in.ReadString('\n'); err != nil {
			return err
		}
	}
	return nil
}

// What a restarted process may find of its predecessor.
const (
	noPredecessor      = "none"
	killedPredecessor  = "killed"
	frozenPredecessor  = "frozen"
	slowlyEnding       = "slow to end"
	lateAgent          = "late"
	longestClientLimit = 3 * time.Second
)

// restart is a process of TestReadyAfterRestart, with its discovery agent and its predecessor.
type restart struct {
	h                  *harness
	agent, predecessor string
	directory          string
	before, after      *process // before: nil without predecessor
	began              time.Time
	took               time.Duration
}

// Restarted processes, all at once, serve the list that they have cached whatever their agent does, and whatever
// the predecessor does with which they share their address and directory. How long each took is logged; required
// is that they are ready while the agent says nothing and the predecessor stays as it is.
func TestReadyAfterRestart(t *testing.T) {
	runtime.LockOSThread() // see processIn
	defer runtime.UnlockOSThread()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	silent, _ := startSilentAgent(t)
	late, speak := startSilentAgent(t)
	agents := []struct{ name, address string }{{"silent", silent}, {"refusing", ""}, {lateAgent, late}}
	predecessors := []string{noPredecessor, killedPredecessor, frozenPredecessor, slowlyEnding}
	all := make([]*restart, *processes)
	for i := range all {
		agent := agents[i%len(agents)]
		all[i] = newRestart(t, agent.address)
		all[i].agent = agent.name
		all[i].predecessor = predecessors[i/len(agents)%len(predecessors)]
		if all[i].predecessor != noPredecessor {
			all[i].before = all[i].h.processIn(all[i].directory)
		}
	}
	for _, r := range all {
		if r.before == nil {
			continue
		}
		if err := r.before.awaitReady(ctx); err != nil {
			t.Fatalf("the predecessor: %v", err)
		}
		r.strikePredecessor()
	}
	for _, r := range all {
		r.start()
	}
	done := make(chan error)
	for _, r := range all {
		go func() { done <- r.awaitReady(ctx) }()
	}
	for range all {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	speak() // the late agent's list is empty: its processes are to follow it
	for _, r := range all {
		if r.agent == lateAgent && !t.Failed() {
			if err := r.after.awaitAnswer(ctx, "OPEN late-ID 2 c=live,d=800", "BUSY 700"); err != nil {
				t.Errorf("the predecessor %s, after the agent spoke: %v", r.predecessor, err)
			}
		}
	}
	logTimes(t, all, predecessors)
}

// newRestart configures a process. An empty address of the agent refuses connections.
func newRestart(t *testing.T, agentAddress string) *restart {
	t.Helper()
	r := &restart{h: newHarness(t), directory: t.TempDir()}
	var config map[string]any
	if err := json.Unmarshal([]byte(r.h.config), &config); err != nil {
		t.Fatal(err)
	}
	if agentAddress != "" {
		config["discovery"] = agentAddress
	}
	config["settings"].(map[string]any)["service-types"].([]any)[0].(map[string]any)["hard-limit"] = longestClientLimit
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	r.h.config = string(text)
	writeConfig(t, r.h.path, r.h.config)
	return r
}

// strikePredecessor does to the predecessor what its name says, once a successor could find it.
func (r *restart) strikePredecessor() {
	t := r.h.t
	t.Helper()
	socket := filepath.Join(r.directory, "yardwinch-"+strings.ReplaceAll(r.h.listenAddress, ":", "_")+".sock")
	awaitThat(t, "the predecessor's socket is there", func() bool {
		_, err := os.Lstat(socket)
		return err == nil
	})
	switch r.predecessor {
	case killedPredecessor:
		r.before.signal(syscall.SIGKILL)
		_, _ = r.before.cmd.Process.Wait() // it says that it was killed
	case frozenPredecessor:
		r.before.signal(syscall.SIGSTOP)
	case slowlyEnding: // a client that stays has it take all its time
		if _, got := r.h.openWith("OPEN stays 2 c=live,d=800"); got != "UP 1" {
			t.Fatalf("at the predecessor: %q", got)
		}
		r.before.signal(syscall.SIGTERM)
	}
}

func (r *restart) start() {
	h := r.h
	if r.before != nil {
		h = h.successor()
	}
	r.began = time.Now()
	r.after = h.processIn(r.directory)
}

func (r *restart) awaitReady(ctx context.Context) error {
	err := r.after.awaitReady(ctx)
	r.took = time.Since(r.began)
	if err != nil {
		return fmt.Errorf("agent %s, predecessor %s: %w", r.agent, r.predecessor, err)
	}
	return nil
}

func logTimes(t *testing.T, all []*restart, predecessors []string) {
	t.Helper()
	const allowed = 10 * time.Second
	inTime := 0
	for _, r := range all {
		if r.took <= allowed {
			inTime++
		}
	}
	slices.SortFunc(all, func(a, b *restart) int { return cmp.Compare(a.took, b.took) })
	for _, predecessor := range predecessors {
		for _, r := range slices.Backward(all) {
			if r.predecessor == predecessor {
				t.Logf("predecessor %s: the slowest took %v", predecessor, r.took.Round(time.Millisecond))
				break
			}
		}
	}
	t.Logf("%d of %d ready within %v", inTime, len(all), allowed)
}
