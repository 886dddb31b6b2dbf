package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// process is a balancer, started by the command `run` of the deploy file.
type process struct {
	w          *world
	name       string
	command    *exec.Cmd
	exited     chan struct{}
	code       int
	control    string // operators' address
	logPath    string
	configPath string
}

// balancer holds the parts of a balancer's configuration that outlast its processes.
type balancer struct {
	w         *world
	name      string
	listen    string
	discovery string
	sockets   int
	memoryMB  int
	known     any
	settings  map[string]any
	options   string // the operators' options file; empty: none
	tmp       string // $TMPDIR, common to the processes of one balancer
	count     int
}

func (w *world) newBalancer(name, discovery string, settings map[string]any) *balancer {
	tmp := filepath.Join(w.temp, name+"-tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		w.fail("%v", err)
	}
	return &balancer{w: w, name: name, listen: w.freeAddress(), discovery: discovery, sockets: 1024, memoryMB: 192,
		settings: settings, tmp: tmp}
}

// start starts a process of the balancer beside those that run already. The operators' address is another one each time.
func (b *balancer) start() *process {
	b.count++
	w := b.w
	p := &process{w: w, name: fmt.Sprintf("%s-%d", b.name, b.count), exited: make(chan struct{}), control: w.freeAddress()}
	config := map[string]any{
		"name": b.name, "listen": b.listen, "discovery": b.discovery, "control": p.control, "seed": newID(),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": b.memoryMB, "sockets": b.sockets},
		"settings": b.settings,
	}
	if b.known != nil {
		config["known"] = b.known
	}
	text, err := json.Marshal(config)
	if err != nil {
		w.fail("%v", err)
	}
	p.configPath = filepath.Join(w.temp, p.name+".json")
	if err := os.WriteFile(p.configPath, text, 0o600); err != nil {
		w.fail("%v", err)
	}
	p.logPath = filepath.Join(w.temp, p.name+".log")
	log, err := os.Create(p.logPath)
	if err != nil {
		w.fail("%v", err)
	}
	p.command = exec.Command("/bin/sh", "-c", w.runCommand())
	p.command.Dir = w.root
	p.command.Env = append(os.Environ(), "PROXY_NAME="+b.name, "PROXY_LISTEN="+b.listen, "PROXY_CONTROL="+p.control,
		"PROXY_DISCOVERY="+b.discovery, "PROXY_CONFIG="+p.configPath, "TMPDIR="+b.tmp)
	if b.options != "" {
		p.command.Env = append(p.command.Env, "YARDWINCH_OPTIONS="+b.options)
	}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.command.Start(); err != nil {
		w.fail("%v", err)
	}
	_ = log.Close()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.note("%s started, clients at %s, operators at %s", p.name, b.listen, p.control)
	go func() {
		err := p.command.Wait()
		p.code = p.command.ProcessState.ExitCode()
		w.note("%s exited (%v)", p.name, err)
		close(p.exited)
	}()
	return p
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// runCommand returns `run` of the deploy file.
func (w *world) runCommand() string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		w.fail("%v", err)
	}
	found := runLine.FindSubmatch(text)
	if found == nil {
		w.fail("deploy/balancer.toml has no line run")
	}
	return strings.ReplaceAll(string(found[1]), `\"`, `"`)
}

func (p *process) signal(s syscall.Signal) {
	p.w.note("%s gets %v", p.name, s)
	_ = p.command.Process.Signal(s)
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill ends the process and all that it started.
func (p *process) kill() {
	if p.hasExited() {
		return
	}
	_ = syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL)
	<-p.exited
}

// call makes an operators' call and returns the status; 0: no answer within a second.
func (p *process) call(method, path string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+p.control+"/control/"+path, nil)
	if err != nil {
		p.w.fail("%v", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// awaitReady waits until the process answers yes to `ready`.
func (p *process) awaitReady(limit time.Duration) {
	if !waitUntil(limit, func() bool { return p.hasExited() || p.call("GET", "ready") == http.StatusOK }) || p.hasExited() {
		p.w.fail("%s is not ready", p.name)
	}
	p.w.note("%s says yes to ready", p.name)
}
