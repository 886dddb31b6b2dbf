package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	testTimeout  = 10 * time.Second // a wait longer than this fails the test
	pollInterval = 5 * time.Millisecond
	flowInterval = 10 * time.Millisecond
)

// harness runs a balancer with an admin address and one server, which accepts every flow and echoes what it receives.
type harness struct {
	t               *testing.T
	daemon          *Daemon
	listenAddress   string
	adminAddress    string
	serverAddress   string
	path            string // of the configuration file
	config          string // text of the configuration
	stop            context.CancelFunc
	done            chan error
	openedFlows     int
	lastClient      net.Conn
	descriptorLimit int // of the balancer's own process, see startProcess; 0: that of the test process
}

// reservedAddress returns an address that refuses connections until the balancer listens there, and that no other socket
// gets before the test ends. A socket is bound to it and doesn't listen: with SO_REUSEADDR an explicit bind still
// succeeds, but the system doesn't assign the port to others. A port that is merely free could be assigned to a listener
// of another test, which would then receive this balancer's connection to discovery.
func reservedAddress(t *testing.T) string {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	err = syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	address, nameErr := syscall.Getsockname(descriptor)
	if err = errors.Join(err, nameErr); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", address.(*syscall.SockaddrInet4).Port)
}

func listenAt(t *testing.T, address string) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	return listenAt(t, "127.0.0.1:0")
}

// tryDial connects; the connection is closed at the end of the test.
func tryDial(t *testing.T, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.SetDeadline(time.Now().Add(testTimeout))
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := tryDial(t, address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

var discoveryPattern = regexp.MustCompile(`"discovery":"[^"]*"`)

// setDiscovery sets the address of discovery in the text of the configuration.
func (h *harness) setDiscovery(address string) {
	h.config = discoveryPattern.ReplaceAllLiteralString(h.config, fmt.Sprintf(`"discovery":%q`, address))
}

func writeConfig(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// awaitCondition polls until a condition holds.
func awaitCondition(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// startEchoServer starts a server that accepts every flow and echoes what it receives. The channel, if given, receives
// a value at each health check.
func startEchoServer(t *testing.T, checked ...chan<- struct{}) (address string) {
	t.Helper()
	listener := listenLocal(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEcho(conn, checked)
		}
	}()
	return listener.Addr().String()
}

func serveEcho(conn net.Conn, checked []chan<- struct{}) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	line, _ := in.ReadString('\n')
	switch {
	case strings.HasPrefix(line, "OPEN "):
		_, _ = io.WriteString(conn, "UP 1\r\n")
	case line == "STATS\r\n" && len(checked) > 0:
		_, _ = io.WriteString(conn, "PONG x0:0.4,throughput:1,outstanding:2\r\n")
		checked[0] <- struct{}{}
	}
	_, _ = io.Copy(conn, in)
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{
		t:             t,
		listenAddress: reservedAddress(t),
		adminAddress:  reservedAddress(t),
		serverAddress: startEchoServer(t),
		path:          filepath.Join(t.TempDir(), "config.json"),
	}
	h.config = fmt.Sprintf(`{"listen":%q,"control":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":400},
		"known":{"revision":1,"complete":true,"members":[{"id":"a","host_port":%q,"phase":"SERVING"}]},
		"settings":{"policy-limits":{"max-connects":3,"retry-after":true,"max-retry-after":700000000},"service-types":[{"name":"live",
		"effect":"free","group":"all","hard-limit":800000000,"setup-target":300000000}]}}`,
		h.listenAddress, h.adminAddress, reservedAddress(t), h.serverAddress)
	writeConfig(t, h.path, h.config)
	return h
}

// useServer replaces the server in the configuration, before the start.
func (h *harness) useServer(address string) {
	h.t.Helper()
	h.config = strings.Replace(h.config, h.serverAddress, address, 1)
	h.serverAddress = address
	writeConfig(h.t, h.path, h.config)
}

// start runs the balancer within the test process, and waits until it serves.
func (h *harness) start(environment func(string) string, before ...func(*Daemon)) *harness {
	h.t.Helper()
	var err error
	if h.daemon, err = Load(h.t.Context(), Source{ConfigPath: h.path, Environment: environment}); err != nil {
		h.t.Fatal(err)
	}
	for _, change := range before {
		change(h.daemon)
	}
	h.serve(nil)
	h.awaitStatus("GET", "ready", http.StatusOK)
	return h
}

// startWithReloads is like start, for a balancer that reloads its configuration at each value of a channel. It doesn't
// wait until the balancer serves.
func (h *harness) startWithReloads(reloads <-chan os.Signal) {
	h.t.Helper()
	var err error
	if h.daemon, err = Load(h.t.Context(), Source{ConfigPath: h.path, Environment: os.Getenv}); err != nil {
		h.t.Fatal(err)
	}
	h.serve(reloads)
}

// serve runs the loaded balancer until h.stop is called; h.done receives its result.
func (h *harness) serve(reloads <-chan os.Signal) {
	stop, cancel := context.WithCancel(context.Background()) // not the test's, which ends before its cleanup
	h.stop = cancel
	h.done = make(chan error, 1)
	go func() { h.done <- h.daemon.Serve(stop, reloads) }()
}

// end shuts the balancer down.
func (h *harness) end() {
	h.t.Helper()
	h.stop()
	if err := <-h.done; err != nil {
		h.t.Errorf("Serve: %v", err)
	}
}

// callAdmin makes an operator's call and returns the status of the response; 0: there is none.
func (h *harness) callAdmin(ctx context.Context, method, call string) (status int) {
	h.t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.adminAddress+"/control/"+call, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// awaitStatus repeats an operator's call until the response has the status wanted.
func (h *harness) awaitStatus(method, call string, want int) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(pollInterval) {
		got := h.callAdmin(h.t.Context(), method, call)
		if got == want {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("%s %s: status %d, want %d", method, call, got, want)
		}
	}
}

// wantStatus makes an operator's call once and checks the status of the response.
func (h *harness) wantStatus(method, call string, want int) {
	h.t.Helper()
	if got := h.callAdmin(h.t.Context(), method, call); got != want {
		h.t.Errorf("%s %s: status %d, want %d", method, call, got, want)
	}
}

// sendLine connects as a client, sends a line and returns the line received.
func (h *harness) sendLine(line string) (in *bufio.Reader, answer string) {
	h.t.Helper()
	conn := dial(h.t, h.listenAddress)
	if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
		h.t.Fatal(err)
	}
	in = bufio.NewReader(conn)
	answer, _ = in.ReadString('\n') // empty if the connection ends instead
	h.lastClient = conn
	return in, strings.TrimSpace(answer)
}

// openFlow opens a flow with a unique id.
func (h *harness) openFlow() (in *bufio.Reader, answer string) {
	h.t.Helper()
	h.openedFlows++
	return h.sendLine(fmt.Sprintf("OPEN %p-%d 2 c=live,d=800", h, h.openedFlows))
}

// wantFlow opens a flow and checks the reply.
func (h *harness) wantFlow(when, want string) *bufio.Reader {
	h.t.Helper()
	in, got := h.openFlow()
	if got != want {
		h.t.Errorf("%s: a flow is answered %q, want %q", when, got, want)
	}
	return in
}

// awaitFlow opens flows until one is accepted.
func (h *harness) awaitFlow() {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(flowInterval) {
		_, got := h.openFlow()
		if got == "UP 1" {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("no flow was accepted, the last one was answered %q", got)
		}
	}
}

// wantPing sends a PING and checks the reply.
func (h *harness) wantPing(want string) {
	h.t.Helper()
	if _, got := h.sendLine("PING"); got != want {
		h.t.Errorf("PING is answered %q, want %q", got, want)
	}
}

// wantMigration reads a client's connection until it ends, and checks that the client is asked to migrate.
func wantMigration(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if got, err := io.ReadAll(in); err != nil || string(got) != "MOVE\r\n" {
		t.Errorf("a client received %q, %v, want MOVE", got, err)
	}
}
