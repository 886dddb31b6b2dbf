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

var processes = flag.Int("processes", 12, "how many balancer processes TestReadyAfterRestart starts at once")

// A process that receives the stop signal while it waits for its predecessor exits without having served, whether the
// predecessor doesn't reply or isn't ready. It must not first time out and serve on its own.
func TestStoppedBeforeServing(t *testing.T) {
	for _, c := range []struct {
		name, silentAt string
		notReady       bool
	}{
		{"the predecessor is not ready", messageHello, true},
		{"the predecessor does not reply to hello", messageHello, false},
		{"the predecessor does not send its state", messageGetState, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			environment := directoryEnvironment(t)
			h := newHarness(t)
			reached := startFakePredecessor(t, openSocket(t, environment("TMPDIR"), h.listenAddress), c.silentAt, c.notReady)
			var err error
			if h.daemon, err = Load(t.Context(), Source{ConfigPath: h.path, Environment: environment}); err != nil {
				t.Fatal(err)
			}
			h.serve(nil)
			<-reached
			h.end()
			select {
			case <-h.daemon.lifecycle.started:
				t.Error("the process served although it was stopped while it waited for its predecessor")
			default:
			}
		})
	}
}

// startFakePredecessor starts a predecessor that replies to each request with the body notReady, which in the reply to
// hello says that the successor must wait. If notReady is false, requests of the kind silentAt get no reply until the
// test ends. The channel receives a value at the first request of that kind.
func startFakePredecessor(t *testing.T, socket *handover.Socket, silentAt string, notReady bool) (reached <-chan struct{}) {
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
			go func() { _ = link.Run(t.Context()) }() // until the process under test exits
		}
	}()
	return arrived
}

// The hand-over and the message to the predecessor together take less time than operators allow, even if both time out.
// The wait for an address in use is not included.
func TestTimeoutsBeforeServing(t *testing.T) {
	const allowed = 10 * time.Second
	// The hand-over, then the message to the predecessor that this process serves.
	if total := takeOverTimeout + requestTimeout; total >= allowed {
		t.Errorf("a new process may wait for %v before it serves, %v are allowed", total, allowed)
	}
}

// awaitAnswer sends a line on new connections, over and over, until one of them receives the reply wanted. Connections
// that the system assigns to a suspended process at the same address receive none.
func (p *process) awaitAnswer(ctx context.Context, line, want string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan string)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	last := ""
	for n := 0; ; n++ {
		attempt := strings.ReplaceAll(line, "ID", fmt.Sprint(n))
		go func() { // returns when ctx ends
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

// exchange sends a line on a new connection and returns the reply, if any; ok: the line was sent.
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
	answer, _ = bufio.NewReader(conn).ReadString('\n') // empty if the connection ends instead
	return strings.TrimSpace(answer), true
}

// awaitReady waits until this process serves, then until PING is answered and a flow is established to a server of the
// cached list. Until this process serves, its predecessor may answer at the same address.
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

// startSilentAgent starts a discovery agent that accepts requests and doesn't respond until respond is called; its list
// is empty.
func startSilentAgent(t *testing.T) (address string, respond func()) {
	t.Helper()
	listener := listenLocal(t)
	responding := make(chan struct{})
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
				<-responding
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+
					`{"revision":2,"complete":true,"members":[]}`+"\n") // the balancer may have disconnected
			}()
		}
	}()
	return listener.Addr().String(), func() { close(responding) }
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

// Settings of TestReadyAfterRestart. The first four constants are the states of a restarted process's predecessor.
const (
	noPredecessor        = "none"
	killedPredecessor    = "killed"
	suspendedPredecessor = "suspended"
	slowPredecessor      = "slow to exit"
	lateAgent            = "late"          // the discovery agent that responds late
	maxClientTimeout     = 3 * time.Second // hard limit of the service type: how long its clients wait
)

// restart is a restarted process of TestReadyAfterRestart, with its discovery agent and its predecessor.
type restart struct {
	h                  *harness
	agent, predecessor string // names in the test's tables
	directory          string
	before, after      *process // the predecessor, nil if there is none, and the restarted process
	began              time.Time
	took               time.Duration
}

// Processes that restart at the same time serve from their cached list, whatever the state of their discovery agent and
// of the predecessor with the same address and directory. They must become ready while the agent doesn't respond and the
// predecessor stays in its state. The time that each took is logged only.
func TestReadyAfterRestart(t *testing.T) {
	runtime.LockOSThread() // see startIn
	defer runtime.UnlockOSThread()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	silent, _ := startSilentAgent(t)
	late, respond := startSilentAgent(t)
	agents := []struct{ name, address string }{{"silent", silent}, {"refusing", ""}, {lateAgent, late}}
	predecessors := []string{noPredecessor, killedPredecessor, suspendedPredecessor, slowPredecessor}
	all := make([]*restart, *processes)
	for i := range all {
		agent := agents[i%len(agents)]
		all[i] = newRestart(t, agent.address)
		all[i].agent = agent.name
		all[i].predecessor = predecessors[i/len(agents)%len(predecessors)]
		if all[i].predecessor != noPredecessor {
			all[i].before = all[i].h.startIn(all[i].directory)
		}
	}
	for _, r := range all {
		if r.before == nil {
			continue
		}
		if err := r.before.awaitReady(ctx); err != nil {
			t.Fatalf("predecessor: %v", err)
		}
		r.disruptPredecessor()
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
	respond() // the late agent's list is empty: its processes must then reject clients
	for _, r := range all {
		if r.agent == lateAgent && !t.Failed() {
			if err := r.after.awaitAnswer(ctx, "OPEN late-ID 2 c=live,d=800", "BUSY 700"); err != nil {
				t.Errorf("predecessor %s, after the agent responded: %v", r.predecessor, err)
			}
		}
	}
	logTimes(t, all, predecessors)
}

// newRestart configures a process. If agentAddress is empty the address of its agent refuses connections.
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
	config["settings"].(map[string]any)["service-types"].([]any)[0].(map[string]any)["hard-limit"] = maxClientTimeout
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	r.h.config = string(text)
	writeConfig(t, r.h.path, r.h.config)
	return r
}

// disruptPredecessor puts the predecessor into its state, once a successor could find it.
func (r *restart) disruptPredecessor() {
	t := r.h.t
	t.Helper()
	socket := filepath.Join(r.directory, "yardwinch-"+strings.ReplaceAll(r.h.listenAddress, ":", "_")+".sock")
	awaitCondition(t, "the predecessor's socket exists", func() bool {
		_, err := os.Lstat(socket)
		return err == nil
	})
	switch r.predecessor {
	case killedPredecessor:
		r.before.signal(syscall.SIGKILL)
		_, _ = r.before.cmd.Process.Wait() // the error says that the process was killed
	case suspendedPredecessor:
		r.before.signal(syscall.SIGSTOP)
	case slowPredecessor: // a client that stays makes the shutdown take its full time
		if _, got := r.h.sendLine("OPEN stays 2 c=live,d=800"); got != "UP 1" {
			t.Fatalf("the predecessor replied %q", got)
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
	r.after = h.startIn(r.directory)
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
