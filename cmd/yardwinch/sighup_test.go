package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// runLine matches the command in the deploy file with which the platform starts the daemon.
var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// SIGHUP must not end the process during its start, whether or not its configuration can be served. The daemon is started
// by the shell command in the deploy file, as on the platform. The test sends SIGHUP repeatedly, from the moment the shell
// ignores the signal or has been replaced by the daemon.
func TestSIGHUPAtStart(t *testing.T) {
	const starts = 12
	root := buildDaemon(t)
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		t.Fatal("the deploy file has no run line")
	}
	for _, c := range []struct {
		name, config string
		exits        bool // with an exit code, as the configuration can't be served
	}{
		{"valid configuration", `{"listen":%q,"control":%q,"discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":64,"sockets":200},` +
			`"settings":{"service-types":[{"name":"live","effect":"free","group":"all","hard-limit":800000000}]}}`, false},
		{"invalid configuration", `{"listen":%q,"control":%q}`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for n := range starts {
				address := fmt.Sprintf("127.%d.%d.%d", 100+n, 1+os.Getpid()/250%250, 1+os.Getpid()%250)
				cmd := exec.CommandContext(t.Context(), "/bin/sh", "-c", string(run[1]))
				cmd.Dir = root
				p := startProcess(t, cmd, fmt.Appendf(nil, c.config, address+":18080", address+":18081"))
				stop := p.sendSIGHUPs()
				isRunning, err := p.awaitResponse(t.Context(), address+":18081")
				stop()
				if isRunning {
					_ = p.Kill()
					err = errors.Join(err, <-p.ended)
				}
				var exit *exec.ExitError
				if !isRunning && errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled() {
					t.Errorf("start %d: ended by %v", n, exit)
				} else if isRunning == c.exits {
					t.Errorf("start %d: running: %v, want %v (%v)", n, isRunning, !c.exits, err)
				}
			}
		})
	}
}

// sendSIGHUPs sends SIGHUP repeatedly until stop is called. It starts once the process is the daemon or ignores the
// signal.
func (p *process) sendSIGHUPs() (stop func()) {
	stopping := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for {
			select {
			case <-stopping:
				return
			default:
			}
			if survivesSIGHUP(p.Pid) {
				_ = p.Signal(syscall.SIGHUP) // the process may have ended
			}
		}
	})
	return func() {
		close(stopping)
		sending.Wait()
	}
}

// survivesSIGHUP reports whether a process is the daemon, or a shell that ignores SIGHUP.
func survivesSIGHUP(pid int) bool {
	if program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid)); err == nil && strings.HasSuffix(program, "yardwinch") {
		return true
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false // the process has ended
	}
	for line := range strings.Lines(string(status)) {
		if mask, ok := strings.CutPrefix(line, "SigIgn:"); ok {
			signals, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
			return err == nil && signals&(1<<(syscall.SIGHUP-1)) != 0
		}
	}
	return false
}
