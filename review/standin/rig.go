package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what one run of a case needs: the record, the temporary folder and the processes that it started.
type rig struct {
	root    string // the project's root
	temp    string
	run     string // the command "run" of the deploy file
	trouble bool
	started time.Time

	mu        sync.Mutex // guards the fields below
	record    *os.File
	processes []*process
}

// process is a balancer that was started with the command of the deploy file.
type process struct {
	name    string
	control string
	path    string // of its configuration
	command *exec.Cmd
	ended   chan struct{}
}

var runPattern = regexp.MustCompile(`(?m)^run = "(.*)"$`)

func newRig(folder string) (*rig, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := runPattern.FindSubmatch(deploy)
	if match == nil {
		return nil, fmt.Errorf("no run in the deploy file")
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &rig{root: root, temp: temp, run: string(match[1]), trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	r.log("trouble: %v", r.trouble)
	return r, nil
}

// log writes one line to the record, with the seconds since the start of the run.
func (r *rig) log(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, a...))
}

// close ends all processes that were started and removes the temporary folder.
func (r *rig) close() {
	for _, p := range r.processes {
		if p.isRunning() {
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
	_ = os.RemoveAll(r.temp)
	_ = r.record.Close()
}

// balancer starts a balancer with the command of the deploy file. All balancers of a rig share one $TMPDIR.
func (r *rig) balancer(name string, configuration map[string]any) (*process, error) {
	path := filepath.Join(r.temp, name+".json")
	if err := writeJSON(path, configuration); err != nil {
		return nil, err
	}
	shared := filepath.Join(r.temp, "tmp")
	if err := os.MkdirAll(shared, 0o700); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(r.temp, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", r.run)
	command.Dir = r.root
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with the main thread, to which main is locked
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "PROXY_CONFIG=" + path, "TMPDIR=" + shared}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return nil, err
	}
	control, _ := configuration["control"].(string)
	p := &process{name: name, control: control, path: path, command: command, ended: make(chan struct{})}
	r.processes = append(r.processes, p)
	r.log("%s started, control %s", name, control)
	go func() {
		err := command.Wait()
		r.log("%s ended: %v", name, err)
		text, _ := os.ReadFile(output.Name())
		_ = output.Close()
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			if strings.Contains(line, "level=WARN") || strings.Contains(line, "level=ERROR") || strings.Contains(line, "panic") ||
				strings.Contains(line, "phase changed") || strings.Contains(line, "connections handed over") {
				r.log("  log of %s: %s", name, line)
			}
		}
		close(p.ended)
	}()
	return p, nil
}

func (p *process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (r *rig) signal(p *process, signal syscall.Signal) {
	r.log("%v to %s", signal, p.name)
	_ = p.command.Process.Signal(signal)
}

// call makes an operator's call and returns the status of the answer; 0: there was none within a second.
func (p *process) call(method, path string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+p.control+"/control/"+path, nil)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitReady waits until the process says that it is ready.
func (r *rig) awaitReady(p *process, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.call("GET", "ready") == http.StatusOK {
			r.log("%s says that it is ready", p.name)
			return true
		}
		if !p.isRunning() {
			return false
		}
	}
	r.log("%s is not ready within %v", p.name, limit)
	return false
}

func (p *process) awaitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:1"
	}
	defer l.Close()
	return l.Addr().String()
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	// Replaced at once, as a reader may come at any time.
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
