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
	readyTimeout     = 20 * time.Second
	realPollInterval = 2 * time.Millisecond
	exitTimeout      = 5 * time.Second
	realService      = "chat"
)

// realProcess is a balancer process under measurement, with its stubs.
type realProcess struct {
	cmd       *exec.Cmd
	pid       int
	listen    string
	control   string
	directory string
	exited    chan struct{}
	list      *stubDiscovery
	servers   *stubServers
	client    *http.Client
}

// startReal starts a balancer with a list of the given number of servers, and waits until it serves. The caller must
// call end.
func startReal(ctx context.Context, s realSettings, servers int) (p *realProcess, err error) {
	program, err := programOf(ctx)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p = &realProcess{exited: make(chan struct{}), client: client}
	defer func() {
		if err != nil {
			p.end()
		}
	}()
	if p.directory, err = os.MkdirTemp("", "yard-scale"); err != nil {
		return p, &ProcessError{What: "can't create a temporary directory", Remedy: "free space in the directory for temporary files", Err: err}
	}
	if p.servers, err = openStubServers(ctx); err != nil {
		return p, err
	}
	if p.list, err = openStubDiscovery(ctx, p.servers.addresses(), servers, s.Zones); err != nil {
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
	config := filepath.Join(p.directory, "config.json")
	text, err := json.Marshal(p.configuration(s))
	if err != nil {
		return err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.directory, "log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()                                                  // the process has its own descriptor
	p.cmd = exec.CommandContext(context.WithoutCancel(ctx), program[0], program[1:]...) // end kills it, also after the context is cancelled
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}                // it must not outlive its measurement
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config, "TMPDIR="+p.directory)
	began := make(chan error, 1)
	go func() { // Pdeathsig kills the process when the thread that started it ends
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		began <- err
		if err == nil {
			_ = p.cmd.Wait() // its log states why it ended
			close(p.exited)
		}
	}()
	if err := <-began; err != nil {
		p.cmd = nil
		return &ProcessError{What: "can't be started", Remedy: "check " + program[0], Err: err}
	}
	p.pid = p.cmd.Process.Pid
	return nil
}

// configuration returns the balancer's configuration. It includes a cached list, which discovery publishes again.
func (p *realProcess) configuration(s realSettings) map[string]any {
	return map[string]any{
		"name": "n0", "listen": p.listen, "discovery": p.list.address(), "control": p.control, "seed": strconv.FormatUint(s.Seed+1, 16),
		"known":  p.list.fullList(),
		"limits": map[string]any{"cores": 1, "memory_mb": 1024, "sockets": 20_000},
		"settings": map[string]any{
			"az": realZone(0), "peers-total": s.Balancers, "policy-limits": map[string]any{"max-connects": 3},
			"tariffs": map[string]any{"cross-zone": crossZoneCost, "moves": migrationCost}, // as in simulated balancers
			"weights": "stated",
			"service-types": []any{map[string]any{"name": realService, "effect": "free", "group": "all",
				"hard-limit": int64(20 * time.Second), "setup-target": int64(5 * time.Second)}},
		},
	}
}

func freeAddress(ctx context.Context) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.78.1.1:0") // not 127.0.0.1, which outgoing connections use
	if err != nil {
		return "", &ProcessError{What: "no free port on loopback", Remedy: "stop other runs", Err: err}
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// awaitReady waits until the process serves and its first list is in force.
func (p *realProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := p.poll(ctx, func() bool { return p.call(ctx, http.MethodGet, "/control/ready") == http.StatusOK }); err != nil {
		return err
	}
	return p.awaitServer(ctx, p.list.lastName())
}

// awaitServer waits until the admin API accepts a server, which shows that the update that added the server is in force.
func (p *realProcess) awaitServer(ctx context.Context, name string) error {
	return p.poll(ctx, func() bool {
		return p.call(ctx, http.MethodPost, "/control/servers/"+name+"/online") == http.StatusOK // no effect, as the server is online already
	})
}

func (p *realProcess) poll(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-p.exited:
			output, _ := os.ReadFile(filepath.Join(p.directory, "log"))
			return &ProcessError{
				What:   "exited unexpectedly: " + string(lastBytes(output, 400)),
				Remedy: "run the program with the same configuration by hand",
			}
		default:
		}
		if err := pause(ctx, realPollInterval); errors.Is(err, context.DeadlineExceeded) {
			return &ProcessError{
				What:   "the list was not in force in time",
				Remedy: "run fewer things at once, or use a smaller size",
				Err:    err,
			}
		} else if err != nil {
			return err
		}
	}
	return nil
}

func lastBytes(text []byte, n int) []byte {
	return text[max(0, len(text)-n):]
}

// call makes an admin API call and returns the HTTP status; 0 if there is no response.
func (p *realProcess) call(ctx context.Context, method, path string) int {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.control+path, nil)
	if err != nil {
		return 0
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// end kills the process, closes the stubs and removes the temporary directory.
func (p *realProcess) end() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // it may have ended
		select {
		case <-p.exited:
		case <-time.After(exitTimeout):
		}
	}
	if p.list != nil {
		p.list.close()
	}
	if p.servers != nil {
		p.servers.close()
	}
	if p.directory != "" {
		_ = os.RemoveAll(p.directory)
	}
}

// processorTime returns the processor time that all threads of the process have used so far.
func (p *realProcess) processorTime() (time.Duration, error) {
	var t unix.Timespec
	clock := int32(^p.pid<<3 | 2) // the id of the process's CPU clock, as clock_getcpuclockid computes it
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, &ProcessError{What: "processor time can't be read", Remedy: "check that the process runs", Err: err}
	}
	return time.Duration(t.Nano()), nil
}

// processorShare returns the share of one core that the process uses over the given time.
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

// processorBeyondIdle returns the processor time of the process during work, less an idle process's share of a core.
func (p *realProcess) processorBeyondIdle(idleShare float64, work func() error) (time.Duration, error) {
	before, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := work(); err != nil {
		return 0, err
	}
	after, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	return after - before - time.Duration(idleShare*float64(time.Since(start))), nil
}

// realMemory is the memory of the process in bytes.
type realMemory struct {
	private  float64 // in anonymous pages: heap, stacks and the runtime's own data
	resident float64 // including the pages of the program file
	peak     float64 // the largest resident size
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
			return m, &ProcessError{What: "memory can't be read", Remedy: "check that the process runs, and that /proc is mounted", Err: err}
		}
		for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
			fields := strings.Fields(lines.Text())
			if len(fields) < 2 || f.to[fields[0]] == nil {
				continue
			}
			kib, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				return m, &ProcessError{What: "memory can't be read", Remedy: "report the kernel version to the developers", Err: err}
			}
			*f.to[fields[0]] += kib * 1024
		}
	}
	return m, nil
}
