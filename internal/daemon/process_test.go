package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

const (
	// serveEnvironment is the environment variable with the path of a configuration. If it is set the test binary runs
	// as a balancer with that configuration.
	serveEnvironment           = "PROGRAM_TEST_SERVES"
	descriptorLimitEnvironment = serveEnvironment + "_FILES"
)

func TestMain(m *testing.M) {
	path := os.Getenv(serveEnvironment)
	if path == "" {
		os.Exit(m.Run())
	}
	if limit, err := strconv.ParseUint(os.Getenv(descriptorLimitEnvironment), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
			panic(err)
		}
	}
	if err := Run(context.Background(), Source{ConfigPath: path, Environment: os.Getenv}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// process is a harness whose balancer runs as a separate process.
type process struct {
	*harness
	cmd *exec.Cmd
}

var addressCount atomic.Int32 // number of loopback addresses used by startAndAwait

// startAndAwait starts the balancer at a loopback address of its own, and waits until it serves. At a shared address a
// port that was free could be the local port of a client connection by the time the process listens there.
func (h *harness) startAndAwait() *process {
	h.t.Helper()
	id := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.%d", 2+id/250%250, 1+id%250, 1+addressCount.Add(1)%250)
	for _, address := range []*string{&h.listenAddress, &h.adminAddress} {
		moved := strings.Replace(*address, "127.0.0.1", own, 1)
		h.config = strings.Replace(h.config, *address, moved, 1)
		*address = moved
	}
	writeConfig(h.t, h.path, h.config)
	p := h.startProcess(h.t.TempDir(), nil)
	h.awaitStatus("GET", "ready", http.StatusOK)
	return p
}

// startIn starts the balancer with a directory that it shares with other processes, and doesn't wait until it serves.
// The system kills it when the thread that started it ends, even if the test crashes.
func (h *harness) startIn(directory string) *process {
	h.t.Helper()
	return h.startProcess(directory, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL})
}

// startProcess starts the test binary as the balancer. It is killed at the end of the test, and its log is printed if
// the test failed.
func (h *harness) startProcess(directory string, attributes *syscall.SysProcAttr) *process {
	h.t.Helper()
	log, err := os.Create(h.path + ".log")
	if err != nil {
		h.t.Fatal(err)
	}
	// Not the test's context, which ends before the cleanup below.
	cmd := exec.CommandContext(context.WithoutCancel(h.t.Context()), os.Args[0])
	cmd.Env = append(os.Environ(), serveEnvironment+"="+h.path, "TMPDIR="+directory)
	if h.descriptorLimit > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", descriptorLimitEnvironment, h.descriptorLimit))
	}
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = attributes
	if err := cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	_ = log.Close() // the process has its own descriptor
	h.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have exited
		_ = cmd.Wait()
		if text, err := os.ReadFile(h.path + ".log"); err == nil && h.t.Failed() {
			h.t.Logf("%s: %s", h.path, text)
		}
	})
	return &process{harness: h, cmd: cmd}
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// awaitSuspended waits until SIGSTOP has taken effect.
func (p *process) awaitSuspended() {
	p.t.Helper()
	awaitCondition(p.t, "the process is suspended", func() bool {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return strings.Contains(string(stat), ") T ")
	})
}
