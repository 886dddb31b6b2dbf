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

var addresses atomic.Int32

// uniqueHost returns a loopback address that no other test uses: a port that was free may be the local end of another
// connection by the time a daemon listens there.
func uniqueHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 160+os.Getpid()/62500%40, 1+os.Getpid()/250%250, 1+(os.Getpid()+int(addresses.Add(1)))%250)
}

// daemon is a balancer's process with its files and its log.
type daemon struct {
	t         *testing.T
	host      string // ports are the same for all, as hosts differ
	directory string // of files that outlast the process
	config    string
	options   string
	socket    string // of explain; the options name it
	log       logBuffer
	process   *exec.Cmd
	ended     chan string // receives how the process ended
}

// logBuffer is a buffer that a process writes while a test reads.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (d *daemon) clients() string { return d.host + ":18080" }
func (d *daemon) control() string { return d.host + ":18081" }
func (d *daemon) gossip() string  { return d.host + ":17946" }

// storedPath returns the path of a file in the daemon's directory. Its name is part of what builds have in common.
func (d *daemon) storedPath(ending string) string {
	return filepath.Join(d.directory, "yardwinch-"+strings.ReplaceAll(d.clients(), ":", "_")+ending)
}

// newDaemon writes the files of a daemon with one server, or with none. It starts nothing.
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
		"effect":"free","group":"all","hard-limit":800000000,"setup-target":300000000}]}}`, d.clients(), d.control(), members))
	d.write(d.options, fmt.Sprintf("[explain]\nsocket = %q\n", d.socket))
	return d
}

func (d *daemon) write(path, text string) {
	d.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// start starts the daemon; it is killed with the test, and its log is shown where the test failed.
func (d *daemon) start() {
	d.t.Helper()
	// The test ends the process itself, in its clean-up, which the context of the test doesn't outlast.
	d.process = exec.CommandContext(context.WithoutCancel(d.t.Context()), command(d.t, "daemon"), "serve", "--verbose", "--config", d.config, "--options", d.options)
	d.process.Env = append(environment(d.t), "TMPDIR="+d.directory)
	d.process.Stderr = &d.log
	if err := d.process.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.ended = make(chan string, 1)
	go func(p *exec.Cmd, ended chan<- string) { ended <- fmt.Sprint(p.Wait()) }(d.process, d.ended)
	d.t.Cleanup(func() {
		d.stop(syscall.SIGKILL)
		if d.t.Failed() {
			d.t.Log(d.log.String())
		}
	})
}

// stop sends a signal that ends the daemon and waits for it.
func (d *daemon) stop(s syscall.Signal) {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Signal(s) // it may have ended
	select {
	case <-d.ended: // how it ended is not checked: most are killed
	case <-time.After(hangTimeout):
		d.t.Error("the daemon does not end")
	}
	d.process = nil
}

// waitUntil polls, as nothing shows from outside when a daemon is ready; a daemon that ended fails the test.
func (d *daemon) waitUntil(what string, isTrue func() bool) {
	d.t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for timeout := time.After(hangTimeout); !isTrue(); {
		select {
		case <-tick.C:
		case end := <-d.ended:
			d.t.Fatalf("before %s the daemon ended: %s\n%s", what, end, d.log.String())
		case <-timeout:
			d.t.Fatalf("not within %v: %s", hangTimeout, what)
		}
	}
}

func (d *daemon) waitReady() {
	d.t.Helper()
	d.waitUntil("it is ready", func() bool { code, _ := d.call("GET", "/control/ready"); return code == http.StatusOK })
}

// call makes one operators' call and returns its status code, and status, headers and text as one answer.
func (d *daemon) call(method, path string) (code int, answer string) {
	client := &http.Client{Timeout: hangTimeout, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	request, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+d.control()+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // it is read to its end
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	head := ""
	for _, name := range []string{"Content-Type", "Allow", "Connection", "Location", "Content-Length"} {
		if v := response.Header.Get(name); v != "" {
			head += fmt.Sprintf("  %s: %s\n", name, v)
		}
	}
	return response.StatusCode, fmt.Sprintf("%s\n%s  %q\n", response.Status, head, text)
}

// sendLine connects as a client, sends a line and returns the reply; the connection lasts as long as the test.
func (d *daemon) sendLine(line string) (net.Conn, string) {
	d.t.Helper()
	conn, err := (&net.Dialer{Timeout: hangTimeout}).DialContext(d.t.Context(), "tcp", d.clients())
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

// listen opens an address for as long as the test lasts.
func listen(t *testing.T, network, address string) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// startEchoServer starts a server that accepts every connection and reports its load to health checks.
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
	defer func() { _ = conn.Close() }() // the client may be gone
	in := bufio.NewReader(conn)
	switch line, _ := in.ReadString('\n'); {
	case strings.HasPrefix(line, "OPEN "):
		_, _ = io.WriteString(conn, "UP 1\r\n")
	case line == "STATS\r\n":
		_, _ = io.WriteString(conn, "PONG x0:0.4\r\n")
	}
	_, _ = io.Copy(conn, in)
}
