package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	realReadyWithin  = 20 * time.Second
	realPollInterval = 2 * time.Millisecond
	realEndWithin    = 5 * time.Second
	realService      = "chat"
)

// realProcess is one balancer under measurement, with the stand-ins round it.
type realProcess struct {
	cmd     *exec.Cmd
	pid     int
	listen  string
	control string
	folder  string
	dead    chan struct{}
	list    *standInList
	servers *standInServers
	caller  *http.Client
}

// startReal starts a balancer that is told of so many servers. The caller ends it.
func startReal(ctx context.Context, s realSettings, servers int) (p *realProcess, err error) {
	program, err := programOf(ctx)
	if err != nil {
		return nil, err
	}
	p = &realProcess{dead: make(chan struct{}), caller: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	defer func() {
		if err != nil {
			p.end()
		}
	}()
	if p.folder, err = os.MkdirTemp("", "yard-scale"); err != nil {
		return p, &ProcessError{"no folder for it", "make room in the folder for temporary files", err}
	}
	if p.servers, err = openStandInServers(ctx); err != nil {
		return p, err
	}
	if p.list, err = openStandInList(ctx, p.servers.addresses(), servers, s.Zones); err != nil {
		return p, err
	}
	if p.listen, err = freeAddress(ctx); err != nil {
		return p, err
	}
	if p.control, err = freeAddress(ctx); err != nil {
		return p, err
	}
	if err := p.launch(ctx, program, s); err != nil {
		return p, err
	}
	return p, p.awaitReady(ctx)
}

func (p *realProcess) launch(ctx context.Context, program []string, s realSettings) error {
	config := filepath.Join(p.folder, "config.json")
	text, err := json.Marshal(p.configuration(s))
	if err != nil {
		return err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.folder, "log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()                                                  // the process has its own descriptor
	p.cmd = exec.CommandContext(context.WithoutCancel(ctx), program[0], program[1:]...) // end kills it, whatever became of the context
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}                // it must not outlive its measurement
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config, "TMPDIR="+p.folder)
	began := make(chan error, 1)
	go func() { // the system ends a process with the thread that started it
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		began <- err
		if err == nil {
			_ = p.cmd.Wait() // its log tells why it ended
			close(p.dead)
		}
	}()
	if err := <-began; err != nil {
		p.cmd = nil
		return &ProcessError{"it can't be started", "check " + program[0], err}
	}
	p.pid = p.cmd.Process.Pid
	return nil
}

// configuration is what the platform tells a balancer, with the list as last held; discovery tells it again.
func (p *realProcess) configuration(s realSettings) map[string]any {
	return map[string]any{
		"name": "n0", "listen": p.listen, "discovery": p.list.address(), "control": p.control, "seed": strconv.FormatUint(s.Seed+1, 16),
		"known":  p.list.fullUpdate(),
		"limits": map[string]any{"cores": 1, "memory_mb": 1024, "sockets": 20_000},
		"settings": map[string]any{
			"az": realZone(0), "peers-total": s.Balancers, "policy-limits": map[string]any{"max-connects": 3},
			"tariffs": map[string]any{"cross-zone": crossingPrice, "moves": movePrice}, "weights": "stated", // as hollow balancers are told
			"service-types": []any{map[string]any{"name": realService, "effect": "free", "group": "all",
				"hard-limit": int64(20 * time.Second), "setup-target": int64(5 * time.Second)}},
		},
	}
}

func freeAddress(ctx context.Context) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.78.1.1:0") // not 127.0.0.1, from which connections go out
	if err != nil {
		return "", &ProcessError{"no free port on loopback", "end other runs", err}
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// awaitReady waits until it serves, and has taken the list as it was at first.
func (p *realProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, realReadyWithin)
	defer cancel()
	if err := p.until(ctx, func() bool { return p.call(ctx, http.MethodGet, "/control/ready") == http.StatusOK }); err != nil {
		return err
	}
	return p.awaitServer(ctx, p.list.lastName())
}

// awaitServer waits until a server is known, as it is once the news that names it are in force.
func (p *realProcess) awaitServer(ctx context.Context, name string) error {
	return p.until(ctx, func() bool {
		return p.call(ctx, http.MethodPost, "/control/servers/"+name+"/online") == http.StatusOK // it is online: nothing changes
	})
}

func (p *realProcess) until(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-p.dead:
			log, _ := os.ReadFile(filepath.Join(p.folder, "log"))
			return &ProcessError{What: "it ended by itself: " + string(lastBytes(log, 400)), Do: "run the same configuration by hand"}
		default:
		}
		if err := pause(ctx, realPollInterval); errors.Is(err, context.DeadlineExceeded) {
			return &ProcessError{What: "it did not take its list in time", Do: "run fewer things at once, or ask for a smaller size", Err: err}
		} else if err != nil {
			return err
		}
	}
	return nil
}

func lastBytes(text []byte, n int) []byte {
	return text[max(0, len(text)-n):]
}

// call makes an operator's call; nought where there was no answer.
func (p *realProcess) call(ctx context.Context, method, path string) int {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+p.control+path, nil)
	if err != nil {
		return 0
	}
	a, err := p.caller.Do(q)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode
}

// end ends the process by its id, and the stand-ins.
func (p *realProcess) end() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // it may have ended
		select {
		case <-p.dead:
		case <-time.After(realEndWithin):
		}
	}
	if p.list != nil {
		p.list.close()
	}
	if p.servers != nil {
		p.servers.close()
	}
	if p.folder != "" {
		_ = os.RemoveAll(p.folder)
	}
}

// processorTime is what the process has used so far, in all its threads.
func (p *realProcess) processorTime() (time.Duration, error) {
	var t unix.Timespec
	clock := int32(^p.pid<<3 | 2) // the clock of a process, as clock_getcpuclockid makes it
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, &ProcessError{"its processor time can't be read", "check that it runs", err}
	}
	return time.Duration(t.Nano()), nil
}

// processorShare is the part of one core that it uses over a time.
func (p *realProcess) processorShare(ctx context.Context, over time.Duration) (float64, error) {
	before, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := pause(ctx, over); err != nil {
		return 0, err
	}
	after, err := p.processorTime()
	return float64(after-before) / float64(time.Since(start)), err
}

// realMemory is what the process has in memory, in bytes.
type realMemory struct {
	private  float64 // in pages of no file: its heap, stacks and the runtime's own
	resident float64 // with the pages of its program
	peak     float64 // the most that was resident
}

func (p *realProcess) memory() (m realMemory, err error) {
	for _, f := range []struct {
		file string
		to   map[string]*float64
	}{
		{"smaps_rollup", map[string]*float64{"Anonymous:": &m.private, "Rss:": &m.resident}},
		{"status", map[string]*float64{"VmHWM:": &m.peak}},
	} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.pid, f.file))
		if err != nil {
			return m, &ProcessError{"its memory can't be read", "check that it runs, and that /proc is there", err}
		}
		for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
			w := strings.Fields(lines.Text())
			if len(w) < 2 || f.to[w[0]] == nil {
				continue
			}
			kib, err := strconv.ParseFloat(w[1], 64)
			if err != nil {
				return m, &ProcessError{"its memory can't be read", "tell the developers the kernel's version", err}
			}
			*f.to[w[0]] += kib * 1024
		}
	}
	return m, nil
}
