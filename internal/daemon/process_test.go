package daemon

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const serveEnvironment = "PROGRAM_TEST_SERVES" // names the configuration that the test's own program serves as a balancer

func TestMain(m *testing.M) {
	path := os.Getenv(serveEnvironment)
	if path == "" {
		os.Exit(m.Run())
	}
	if n, err := strconv.ParseUint(os.Getenv(serveEnvironment+"_FILES"), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			panic(err)
		}
	}
	if err := Run(path, "", os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// process is a rig's balancer as a process of its own.
type process struct {
	*harness
	cmd *exec.Cmd
}

var addresses atomic.Int32

// process starts the balancer at an address of its own, and waits until it serves: a port that was free may be another client's near end
// by the time the process listens there.
func (g *harness) process() *process {
	g.t.Helper()
	id := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.%d", 2+id/250%250, 1+id%250, 1+addresses.Add(1)%250)
	for _, addr := range []*string{&g.listenAddress, &g.adminAddress} {
		moved := strings.Replace(*addr, "127.0.0.1", own, 1)
		g.config = strings.Replace(g.config, *addr, moved, 1)
		*addr = moved
	}
	if err := os.WriteFile(g.path, []byte(g.config), 0o600); err != nil {
		g.t.Fatal(err)
	}
	p := g.startProcess(g.t.TempDir(), nil)
	g.awaitStatus("GET", "ready", 200)
	return p
}

// processIn starts the balancer with a folder that it shares with others. It ends with the thread that starts it, whatever becomes of the
// test.
func (g *harness) processIn(folder string) *process {
	g.t.Helper()
	return g.startProcess(folder, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL})
}

// startProcess starts the test's own program as the balancer. It ends with the test, and its log is shown where the test failed.
func (g *harness) startProcess(folder string, attributes *syscall.SysProcAttr) *process {
	g.t.Helper()
	log, err := os.Create(g.path + ".log")
	if err != nil {
		g.t.Fatal(err)
	}
	p := &process{harness: g, cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), serveEnvironment+"="+g.path, "TMPDIR="+folder)
	if g.descriptorLimit > 0 {
		p.cmd.Env = append(p.cmd.Env, fmt.Sprint(serveEnvironment, "_FILES=", g.descriptorLimit))
	}
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = attributes
	if err := p.cmd.Start(); err != nil {
		g.t.Fatal(err)
	}
	_ = log.Close() // the process has its own
	g.t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		_ = p.cmd.Wait()
		if text, err := os.ReadFile(g.path + ".log"); err == nil && g.t.Failed() {
			g.t.Logf("%s: %s", g.path, text)
		}
	})
	return p
}

// awaitProcess waits until what the system tells of the process holds; a test that hangs is to fail.
func (p *process) awaitProcess(what string, holds func(proc string) bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("not ", what)
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}
