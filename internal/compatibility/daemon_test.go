package compatibility

import (
	"bufio"
	"bytes"
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

const patience = 15 * time.Second // for what comes at once on a machine with nothing to do

var addresses atomic.Int32

// ownHost is a loopback address that no other test has: a port that was free may be another's near end by the time
// a daemon listens there.
func ownHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 160+os.Getpid()/62500%40, 1+os.Getpid()/250%250, 1+(os.Getpid()+int(addresses.Add(1)))%250)
}

// daemon is a running balancer, its files and what its log says.
type daemon struct {
	t       *testing.T
	host    string // ports are the same for all, as hosts differ
	folder  string // what outlasts the process
	config  string
	options string
	socket  string // of explain; the options name it
	log     logged
	process *exec.Cmd
	ended   chan error
}

// logged is a buffer that a process writes while a test reads.
type logged struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (d *daemon) clients() string { return d.host + ":18080" }
func (d *daemon) control() string { return d.host + ":18081" }
func (d *daemon) gossip() string  { return d.host + ":17946" }

// kept is the path of what the daemon keeps in its folder. The name is part of what an earlier build and a later
// one agree on.
func (d *daemon) kept(ending string) string {
	return filepath.Join(d.folder, "yardwinch-"+strings.ReplaceAll(d.clients(), ":", "_")+ending)
}

// newDaemon writes the files of a daemon with one server, or with none. It starts nothing.
func newDaemon(t *testing.T, server string) *daemon {
	t.Helper()
	d := &daemon{t: t, host: ownHost(), folder: t.TempDir()}
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
	d.process = exec.Command(command(d.t, "daemon"), "serve", "--verbose", "--config", d.config, "--options", d.options)
	d.process.Env = append(environment(d.t), "TMPDIR="+d.folder)
	d.process.Stderr = &d.log
	if err := d.process.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.ended = make(chan error, 1)
	go func(p *exec.Cmd, ended chan<- error) { ended <- p.Wait() }(d.process, d.ended)
	d.t.Cleanup(func() {
		d.end(syscall.SIGKILL)
		if d.t.Failed() {
			d.t.Log(d.log.String())
		}
	})
}

// end sends a signal that ends the daemon and waits for it.
func (d *daemon) end(s syscall.Signal) {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Signal(s) // it may have ended
	select {
	case <-d.ended:
	case <-time.After(patience):
		d.t.Error("the daemon does not end")
	}
	d.process = nil
}

// until asks again and again, as nothing tells from outside when a daemon is ready; a daemon that ended fails the test.
func (d *daemon) until(what string, is func() bool) {
	d.t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for late := time.After(patience); !is(); {
		select {
		case <-tick.C:
		case err := <-d.ended:
			d.t.Fatalf("before %s the daemon ended: %v\n%s", what, err, d.log.String())
		case <-late:
			d.t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (d *daemon) ready() {
	d.t.Helper()
	d.until("it is ready", func() bool { code, _ := d.call("GET", "/control/ready"); return code == http.StatusOK })
}

// call makes one call of the operators; the answer is its status, its type and its text.
func (d *daemon) call(method, path string) (code int, answer string) {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	request, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+d.control()+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
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

// says is a client that says a line, and what it is answered; its connection lasts as long as the test.
func (d *daemon) says(line string) (net.Conn, string) {
	d.t.Helper()
	conn, err := net.DialTimeout("tcp", d.clients(), patience)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
		d.t.Fatal(err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		answer += "and the end"
	}
	return conn, answer
}

// echo is a server that takes every connection and tells its load to probes.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go echoing(conn)
			}
		}
	}()
	return listener.Addr().String()
}

func echoing(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	switch line, _ := in.ReadString('\n'); {
	case strings.HasPrefix(line, "OPEN "):
		_, _ = io.WriteString(conn, "UP 1\r\n")
	case line == "STATS\r\n":
		_, _ = io.WriteString(conn, "PONG x0:0.4\r\n")
	}
	_, _ = io.Copy(conn, in)
}
