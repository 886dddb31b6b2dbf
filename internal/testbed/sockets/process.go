package sockets

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

const (
	readyWithin = 15 * time.Second
	memoryMB    = 192
	descriptors = 1024 // beyond those of the connections that a balancer may come to hold
)

// process is one balancer.
type process struct {
	dr     *Drive
	id     simulation.BalancerID
	addr   string
	config string
	log    string
	life   int
	up     bool
	cmd    *exec.Cmd
	dead   chan struct{}
	killed bool // outright; until it is started again
}

func newProcess(dr *Drive, b simulation.BalancerID) (*process, error) {
	l, err := (&net.ListenConfig{}).Listen(dr.ctx, "tcp", fmt.Sprintf("127.78.%d.%d:0", int(b)/250, int(b)%250+1)) // see door.turn
	if err != nil {
		return nil, err
	}
	p := &process{dr: dr, id: b, addr: l.Addr().String(), config: filepath.Join(dr.folder, fmt.Sprintf("balancer-%d.json", b)),
		log: filepath.Join(dr.folder, fmt.Sprintf("balancer-%d.log", b))}
	return p, l.Close()
}

// Config writes what a balancer is told, as the platform does.
func (dr *Drive) Config(b simulation.BalancerID, listen string, life int) ([]byte, error) {
	a := dr.agents[b]
	told := map[string]any{
		"name": fmt.Sprintf("n%d", b), "listen": listen, "discovery": a.addr(),
		"seed":     fmt.Sprintf("%016x", simulation.RandomSource(dr.d.Seed, "balancer "+strconv.Itoa(life), int(b)).Uint64()),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": descriptors + 2*dr.most()/len(dr.w.Balancers)},
		"known":    json.RawMessage(a.object(true, a.all())),
		"settings": nested(dr.d.Settings(b)),
	}
	if dr.apart != nil && dr.apart.Control != nil {
		told["control"] = dr.apart.Control(b)
	}
	return json.MarshalIndent(told, "", " ")
}

// nested turns dotted paths into the objects and lists that they were flattened from.
func nested(flat map[string]string) map[string]any {
	top := map[string]any{}
	for path, v := range flat {
		at, parts := top, strings.Split(path, ".")
		for _, p := range parts[:len(parts)-1] {
			next, ok := at[p].(map[string]any)
			if !ok {
				next = map[string]any{}
				at[p] = next
			}
			at = next
		}
		at[parts[len(parts)-1]] = value(v)
	}
	return lists(top).(map[string]any)
}

func lists(v any) any {
	m, ok := v.(map[string]any)
	if !ok {
		return v
	}
	for k := range m {
		m[k] = lists(m[k])
	}
	count, ok := m["count"].(json.Number)
	if !ok {
		return m
	}
	n, _ := strconv.Atoi(string(count)) // it was written by us
	list := make([]any, 0, n)
	for i := range n {
		list = append(list, m[strconv.Itoa(i)])
	}
	return list
}

func value(s string) any {
	if s == "true" || s == "false" {
		return s == "true"
	}
	if strings.Contains(s, ",") {
		var list []any
		for _, p := range strings.Split(s, ",") {
			list = append(list, value(p))
		}
		return list
	}
	if _, err := strconv.ParseFloat(s, 64); err == nil {
		return json.Number(s)
	}
	return s
}

// StartBalancer starts a balancer's process; it is up when it answers.
func (dr *Drive) StartBalancer(b simulation.BalancerID) {
	if dr.over {
		return
	}
	p := dr.procs[b]
	p.life++
	dr.see(invariants.Event{Kind: invariants.BalancerStarted, Balancer: invariants.Balancer(b)})
	text, err := dr.Config(b, p.addr, p.life)
	if err == nil {
		err = os.WriteFile(p.config, text, 0o600)
	}
	var log *os.File
	if err == nil {
		log, err = os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	cmd := &exec.Cmd{SysProcAttr: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}} // it must not outlive the yard
	cmd.Stdout, cmd.Stderr = log, log
	program := dr.program
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.config, "YARDWINCH_OPTIONS="+dr.options)
	if err == nil && dr.apart != nil && dr.apart.Launch != nil {
		program, err = dr.apart.Launch(b, p.life, cmd)
	}
	if err != nil {
		dr.bad("balancer %d: %w", b, err)
		return
	}
	found := exec.CommandContext(dr.ctx, program[0], program[1:]...)
	cmd.Path, cmd.Args, cmd.Err = found.Path, found.Args, found.Err
	began := make(chan error, 1)
	select {
	case dr.starts <- func() { began <- cmd.Start() }:
		err = <-began
	case <-dr.ctx.Done():
		err = dr.ctx.Err()
	}
	_ = log.Close() // the process has its own
	if err != nil {
		dr.bad("balancer %d: %w", b, err)
		return
	}
	p.cmd, p.up, p.dead, p.killed = cmd, true, make(chan struct{}), false
	dead, life := p.dead, p.life
	dr.parts.Go(func() {
		err := cmd.Wait()
		close(dead)
		dr.enter()
		defer dr.leave()
		if p.life == life && p.up && !dr.over {
			p.up = false
			if dr.apart != nil && dr.apart.Ended != nil {
				dr.apart.Ended(b, err)
			} else if dr.w.Balancers[b].IsUp {
				dr.bad("balancer %d ended by itself (%v); its log is %s", b, err, p.log)
			}
		}
	})
}

// KillBalancer ends a balancer outright; Stop asks it to end in order.
func (dr *Drive) KillBalancer(b simulation.BalancerID) {
	p := dr.procs[b]
	dr.see(invariants.Event{Kind: invariants.BalancerDied, Balancer: invariants.Balancer(b)})
	p.up = false
	p.kill()
}

// Mark books that a balancer stops to run, or runs on; Signal does it.
func (dr *Drive) Mark(b simulation.BalancerID, k invariants.Kind) {
	dr.see(invariants.Event{Kind: k, Balancer: invariants.Balancer(b)})
}

// Signal sends one to a balancer's process.
func (dr *Drive) Signal(b simulation.BalancerID, s syscall.Signal) error {
	p := dr.procs[b]
	if p.cmd == nil || p.cmd.Process == nil {
		return fmt.Errorf("balancer %d: no process", b)
	}
	return p.cmd.Process.Signal(s)
}

// StopBalancer asks a balancer to end in order.
func (dr *Drive) StopBalancer(b simulation.BalancerID) {
	if p := dr.procs[b]; p.cmd != nil {
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
		p.up = false
	}
}

func (p *process) kill() {
	if p != nil && p.cmd != nil {
		_ = p.cmd.Process.Kill() // it may have ended
		p.killed = true
	}
}

// ready waits until the balancer answers PING.
func (p *process) ready(ctx context.Context) error {
	until := time.Now().Add(readyWithin)
	for time.Now().Before(until) && ctx.Err() == nil {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.addr)
		if err == nil {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, err = c.Write([]byte("PING\r\n"))
			var line string
			if err == nil {
				line, err = bufio.NewReader(c).ReadString('\n')
			}
			_ = c.Close()
			if err == nil && strings.HasPrefix(line, "PONG") {
				return nil
			}
		}
		select {
		case <-p.dead:
			return fmt.Errorf("balancer %d ended before it was ready; its log is %s", p.id, p.log)
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return fmt.Errorf("balancer %d was not ready after %v; its log is %s", p.id, readyWithin, p.log)
}

// starter starts all processes from one thread, which it keeps until the run is over: the system ends them with the
// thread that started them, so that none outlives the yard however that ends.
func (dr *Drive) starter() {
	runtime.LockOSThread()
	for {
		select {
		case <-dr.ctx.Done():
			return // the thread ends with the goroutine, as it is still locked
		case start := <-dr.starts:
			start()
		}
	}
}

// most is how many connections all servers take.
func (dr *Drive) most() (n int) {
	for _, s := range dr.w.Servers {
		n += s.MaxConnections
	}
	return n
}
