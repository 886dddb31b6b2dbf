package compatibility

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const hangTimeout = 15 * time.Second // far longer than any wait takes on an idle machine

var hostCount atomic.Int32

// uniqueHost returns a loopback address that no other test uses. A free port of a shared address is not enough, as it
// may become the local port of another connection before a daemon listens on it.
func uniqueHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 160+os.Getpid()/62500%40, 1+os.Getpid()/250%250, 1+(os.Getpid()+int(hostCount.Add(1)))%250)
}

// daemon is a balancer process with its files and its log.
type daemon struct {
	t         *testing.T
	host      string // unique; the ports are the same for all daemons
	directory string // contains files that persist after the process ends
	config    string
	options   string
	socket    string // path of the explain socket, as in the options
	log       logBuffer
	process   *exec.Cmd
	exited    chan string // receives the result of waiting for the process
}

// logBuffer collects the output of a process while a test reads it.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

func (d *daemon) clientAddress() string  { return d.host + ":18080" }
func (d *daemon) controlAddress() string { return d.host + ":18081" }
func (d *daemon) gossipAddress() string  { return d.host + ":17946" }

// storedPath returns the path of a file in the daemon's directory. All builds must use the same file names.
func (d *daemon) storedPath(extension string) string {
	return filepath.Join(d.directory, "yardwinch-"+strings.ReplaceAll(d.clientAddress(), ":", "_")+extension)
}

// newDaemon writes the configuration of a daemon with one server, or with none if its address is empty. It does not
// start the daemon.
func newDaemon(t *testing.T, server string) *daemon {
	t.Helper()
	d := &daemon{t: t, host: uniqueHost(), directory: t.TempDir()}
	files := t.TempDir()
	d.config, d.options, d.socket = filepath.Join(files, "config.json"), filepath.Join(files, "options.toml"), filepath.Join(files, "s")
	members := ""
	if server != "" {
		members = fmt.Sprintf(`{"id":"a","host_port":%q,"phase":"SERVING","locality":"north"}`, server)
	}
	d.write(d.config, fmt.Sprintf(`{"listen":%q,"control":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":400},
		"known":{"revision":7,"complete":true,"members":[%s]},
		"settings":{"az":"north","areas":["north"],"family-info":{"message-aim":250000000},"policy-limits":{"max-connects":3,"probes":true,"retry-after":true,"max-retry-after":700000000},
		"reporting":{"how":"pull","columns":["x0"]},"service-types":[{"name":"live",
		"effect":"free","group":"all","hard-limit":800000000,"setup-target":300000000}]}}`, d.clientAddress(), d.controlAddress(), members))
	d.write(d.options, fmt.Sprintf("[explain]\nsocket = %q\n", d.socket))
	return d
}

func (d *daemon) write(path, text string) {
	d.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// start starts the daemon. At the end of the test it is killed, and its log is printed if the test failed.
func (d *daemon) start() {
	d.t.Helper()
	// Without cancellation, as the cleanup ends the process, and the context of the test is cancelled before.
	d.process = exec.CommandContext(context.WithoutCancel(d.t.Context()), commandPath(d.t, "daemon"), "serve", "--verbose", "--config", d.config, "--options", d.options)
	d.process.Env = append(commandEnvironment(d.t), "TMPDIR="+d.directory)
	d.process.Stderr = &d.log
	if err := d.process.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.exited = make(chan string, 1)
	go func(p *exec.Cmd, exited chan<- string) { exited <- fmt.Sprint(p.Wait()) }(d.process, d.exited)
	d.t.Cleanup(func() {
		d.stop(syscall.SIGKILL)
		if d.t.Failed() {
			d.t.Log(d.log.String())
		}
	})
}

// stop sends a signal that ends the daemon, and waits until it has ended.
func (d *daemon) stop(s syscall.Signal) {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Signal(s) // it may have ended already
	select {
	case <-d.exited: // the result is not checked, as most daemons are killed
	case <-time.After(hangTimeout):
		d.t.Error("the daemon did not end in time")
	}
	d.process = nil
}

// waitUntil polls a condition, as the daemon does not notify others of its state. If the daemon ends, the test fails.
func (d *daemon) waitUntil(what string, condition func() bool) {
	d.t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for timeout := time.After(hangTimeout); !condition(); {
		select {
		case <-tick.C:
		case end := <-d.exited:
			d.t.Fatalf("waiting until %s: daemon ended: %s\n%s", what, end, d.log.String())
		case <-timeout:
			d.t.Fatalf("timed out after %v waiting until %s", hangTimeout, what)
		}
	}
}

func (d *daemon) waitReady() {
	d.t.Helper()
	d.waitUntil("the daemon is ready", func() bool { code, _ := d.call("GET", "/control/ready"); return code == http.StatusOK })
}

// call makes a control call. It returns the status code, and the status, some headers and the body as one text. If there
// is no response, the code is 0 and the text is the error.
func (d *daemon) call(method, path string) (code int, answer string) {
	client := &http.Client{Timeout: hangTimeout, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	request, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+d.controlAddress()+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	headers := ""
	for _, name := range []string{"Content-Type", "Allow", "Connection", "Location", "Content-Length"} {
		if v := response.Header.Get(name); v != "" {
			headers += fmt.Sprintf("  %s: %s\n", name, v)
		}
	}
	return response.StatusCode, fmt.Sprintf("%s\n%s  %q\n", response.Status, headers, text)
}

// sendLine connects as a client, sends a line and returns the first line of the reply. The connection stays open until
// the end of the test.
func (d *daemon) sendLine(line string) (net.Conn, string) {
	d.t.Helper()
	conn, err := (&net.Dialer{Timeout: hangTimeout}).DialContext(d.t.Context(), "tcp", d.clientAddress())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
		d.t.Fatal(err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		answer += "and the end"
	}
	return conn, answer
}

// listen listens on an address until the end of the test.
func listen(t *testing.T, network, address string) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// startEchoServer starts a server that accepts every flow, echoes its data and reports a load to health checks. It
// returns the server's address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener := listen(t, "tcp", "127.0.0.1:0")
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go serveEcho(conn)
			}
		}
	}()
	return listener.Addr().String()
}

func serveEcho(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the client may have closed it
	in := bufio.NewReader(conn)
	switch line, _ := in.ReadString('\n'); {
	case strings.HasPrefix(line, "OPEN "):
		_, _ = io.WriteString(conn, "UP 1\r\n")
	case line == "STATS\r\n":
		_, _ = io.WriteString(conn, "PONG x0:0.4\r\n")
	}
	_, _ = io.Copy(conn, in)
}
