package sockets

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

const (
	balancerNetwork   = "127.78"
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
	pingTimeout       = time.Second
	fileMode          = 0o600
)

// process is one balancer's process, across restarts. Its mutable fields are guarded by the driver's mutex.
type process struct {
	driver     *Driver
	id         simulation.BalancerID
	address    string
	configPath string
	logPath    string

	incarnation int
	isUp        bool // started, and neither asked to stop nor ended
	isKilled    bool // by SIGKILL; reset when it is started again
	command     *exec.Cmd
	ended       chan struct{} // closed when the process has ended
}

func newProcess(d *Driver, b simulation.BalancerID) (*process, error) {
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", loopbackAddress(balancerNetwork, int(b)))
	if err != nil {
		return nil, fmt.Errorf("reserve an address for balancer %d: %w", b, err)
	}
	p := &process{
		driver:     d,
		id:         b,
		address:    listener.Addr().String(),
		configPath: filepath.Join(d.directory, fmt.Sprintf("balancer-%d.json", b)),
		logPath:    filepath.Join(d.directory, fmt.Sprintf("balancer-%d.log", b)),
	}
	if err := listener.Close(); err != nil {
		return nil, fmt.Errorf("release the address of balancer %d: %w", b, err)
	}
	return p, nil
}

// StartBalancer implements simulation.Driver: it starts a balancer's process, without waiting until it is ready.
func (d *Driver) StartBalancer(b simulation.BalancerID) {
	if d.isOver {
		return
	}
	p := d.processes[b]
	p.incarnation++
	d.ObserveBalancer(b, invariants.BalancerStarted)
	command, err := p.start()
	if err != nil {
		d.fail("balancer %d: %w", b, err)
		return
	}
	p.command, p.isUp, p.isKilled = command, true, false
	ended, incarnation := make(chan struct{}), p.incarnation
	p.ended = ended
	d.workers.Go(func() {
		err := command.Wait()
		close(ended)
		p.observeEnd(incarnation, err)
	})
}

// start writes the configuration and starts the program.
func (p *process) start() (*exec.Cmd, error) {
	if err := p.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command, err := p.newCommand(log)
	if err != nil {
		return nil, err
	}
	return command, p.driver.startOnThread(command)
}

func (p *process) writeConfig() error {
	text, err := p.driver.Config(p.id, p.address, p.incarnation)
	if err != nil {
		return fmt.Errorf("encode its configuration: %w", err)
	}
	return os.WriteFile(p.configPath, text, fileMode)
}

// newCommand prepares the command of a process. The kernel kills the process when the thread that started it ends, so that it doesn't
// outlive the testbed.
func (p *process) newCommand(log *os.File) (*exec.Cmd, error) {
	d := p.driver
	command := &exec.Cmd{SysProcAttr: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}, Stdout: log, Stderr: log}
	command.Env = append(os.Environ(), "PROXY_CONFIG="+p.configPath, "YARDWINCH_OPTIONS="+d.options)
	program := d.program
	if d.isolation != nil && d.isolation.Launch != nil {
		var err error
		if program, err = d.isolation.Launch(p.id, p.incarnation, command); err != nil {
			return nil, err
		}
	}
	found := exec.CommandContext(d.ctx, program[0], program[1:]...) // only to look up the program's path
	command.Path, command.Args, command.Err = found.Path, found.Args, found.Err
	return command, nil
}

// startOnThread starts a process on the thread that startProcesses is locked to.
func (d *Driver) startOnThread(command *exec.Cmd) error {
	started := make(chan error, 1)
	select {
	case d.starts <- func() { started <- command.Start() }:
		return <-started
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
}

// startProcesses starts all processes from one thread, to which it stays locked until the run is over. The kernel kills the processes when
// that thread ends, so that none outlives the testbed, however the testbed ends.
func (d *Driver) startProcesses() {
	runtime.LockOSThread()
	for {
		select {
		case <-d.ctx.Done():
			return // the thread ends with the goroutine, as it is still locked
		case start := <-d.starts:
			start()
		}
	}
}

// observeEnd processes the exit of a process. An exit that the driver has not caused fails the run, unless the isolation handles it.
func (p *process) observeEnd(incarnation int, err error) {
	d := p.driver
	d.lockAtNow()
	defer d.unlock()
	if p.incarnation != incarnation || !p.isUp || d.isOver {
		return
	}
	p.isUp = false
	switch {
	case d.isolation != nil && d.isolation.OnProcessExit != nil:
		d.isolation.OnProcessExit(p.id, err)
	case d.world.Balancers[p.id].IsUp:
		d.fail("balancer %d exited unexpectedly (%v); its log is %s", p.id, err, p.logPath)
	}
}

// KillBalancer implements simulation.Driver: it kills a balancer's process.
func (d *Driver) KillBalancer(b simulation.BalancerID) {
	p := d.processes[b]
	d.ObserveBalancer(b, invariants.BalancerDied)
	p.isUp = false
	p.kill()
}

// StopBalancer implements simulation.Driver: it asks a balancer's process to shut down, by SIGTERM.
func (d *Driver) StopBalancer(b simulation.BalancerID) {
	if p := d.processes[b]; p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGTERM) // the process may have exited already
		p.isUp = false
	}
}

// ObserveBalancer reports an event of a balancer's process to the checker.
func (d *Driver) ObserveBalancer(b simulation.BalancerID, kind invariants.Kind) {
	d.observe(invariants.Event{Kind: kind, Balancer: invariants.Balancer(b)})
}

// Signal sends a signal to a balancer's process. It returns an error if the process has exited.
func (d *Driver) Signal(b simulation.BalancerID, signal syscall.Signal) error {
	p := d.processes[b]
	if p.command == nil || p.command.Process == nil {
		return fmt.Errorf("balancer %d: no process", b)
	}
	return p.command.Process.Signal(signal)
}

func (p *process) kill() {
	if p.command != nil {
		_ = p.command.Process.Kill() // the process may have exited already
		p.isKilled = true
	}
}

// awaitReady waits until the balancer answers a PING.
func (p *process) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if ping(ctx, p.address) {
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("balancer %d exited before it was ready; its log is %s", p.id, p.logPath)
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return fmt.Errorf("balancer %d was not ready after %v; its log is %s", p.id, readyTimeout, p.logPath)
}

// ping reports whether a balancer answers a PING with a PONG.
func ping(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: pingTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(pingTimeout)) // if it fails, so does the write
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "PONG")
}
