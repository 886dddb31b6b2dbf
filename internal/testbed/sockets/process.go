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
	balancerNetwork = "127.78"
	readyTimeout    = 15 * time.Second
	readyPoll       = 20 * time.Millisecond
	pingTimeout     = time.Second
	fileMode        = 0o600
)

// process is one balancer's process, through its restarts. What changes of it is guarded by the driver's mutex.
type process struct {
	driver  *Driver
	id      simulation.BalancerID
	address string
	config  string // path
	log     string // path

	incarnation int
	isUp        bool
	isKilled    bool // outright, until it is started again
	command     *exec.Cmd
	ended       chan struct{} // closed when the process has ended
}

func newProcess(d *Driver, b simulation.BalancerID) (*process, error) {
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", loopbackAddress(balancerNetwork, int(b)))
	if err != nil {
		return nil, fmt.Errorf("find an address for balancer %d: %w", b, err)
	}
	p := &process{
		driver:  d,
		id:      b,
		address: listener.Addr().String(),
		config:  filepath.Join(d.directory, fmt.Sprintf("balancer-%d.json", b)),
		log:     filepath.Join(d.directory, fmt.Sprintf("balancer-%d.log", b)),
	}
	if err := listener.Close(); err != nil {
		return nil, fmt.Errorf("free the address of balancer %d: %w", b, err)
	}
	return p, nil
}

// StartBalancer starts a balancer's process. It is ready when it answers.
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
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
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
	return os.WriteFile(p.config, text, fileMode)
}

// newCommand has the system end the process with the thread that starts it, so that it doesn't outlive the testbed.
func (p *process) newCommand(log *os.File) (*exec.Cmd, error) {
	d := p.driver
	command := &exec.Cmd{SysProcAttr: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}, Stdout: log, Stderr: log}
	command.Env = append(os.Environ(), "PROXY_CONFIG="+p.config, "YARDWINCH_OPTIONS="+d.options)
	program := d.program
	if d.isolation != nil && d.isolation.Launch != nil {
		var err error
		if program, err = d.isolation.Launch(p.id, p.incarnation, command); err != nil {
			return nil, err
		}
	}
	found := exec.CommandContext(d.ctx, program[0], program[1:]...) // it is not started: it finds the program's path
	command.Path, command.Args, command.Err = found.Path, found.Args, found.Err
	return command, nil
}

// startOnThread starts a process on the thread of startProcesses.
func (d *Driver) startOnThread(command *exec.Cmd) error {
	started := make(chan error, 1)
	select {
	case d.starts <- func() { started <- command.Start() }:
		return <-started
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
}

// startProcesses starts all processes from one thread, which it keeps until the run is over: the system ends them with the thread that
// started them, so that none outlives the testbed however that ends.
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

// observeEnd notes that a process ended. If nobody ended it, that is a fault of the run, unless the isolation takes it.
func (p *process) observeEnd(incarnation int, err error) {
	d := p.driver
	d.lockAtNow()
	defer d.unlock()
	if p.incarnation != incarnation || !p.isUp || d.isOver {
		return
	}
	p.isUp = false
	switch {
	case d.isolation != nil && d.isolation.Ended != nil:
		d.isolation.Ended(p.id, err)
	case d.world.Balancers[p.id].IsUp:
		d.fail("balancer %d ended by itself (%v); its log is %s", p.id, err, p.log)
	}
}

// KillBalancer ends a balancer outright.
func (d *Driver) KillBalancer(b simulation.BalancerID) {
	p := d.processes[b]
	d.ObserveBalancer(b, invariants.BalancerDied)
	p.isUp = false
	p.kill()
}

// StopBalancer asks a balancer to end in order.
func (d *Driver) StopBalancer(b simulation.BalancerID) {
	if p := d.processes[b]; p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended
		p.isUp = false
	}
}

// ObserveBalancer tells the checker of an event of a balancer's process.
func (d *Driver) ObserveBalancer(b simulation.BalancerID, kind invariants.Kind) {
	d.observe(invariants.Event{Kind: kind, Balancer: invariants.Balancer(b)})
}

// Signal sends a signal to a balancer's process. A process that has ended is an error.
func (d *Driver) Signal(b simulation.BalancerID, signal syscall.Signal) error {
	p := d.processes[b]
	if p.command == nil || p.command.Process == nil {
		return fmt.Errorf("balancer %d: no process", b)
	}
	return p.command.Process.Signal(signal)
}

func (p *process) kill() {
	if p.command != nil {
		_ = p.command.Process.Kill() // it may have ended
		p.isKilled = true
	}
}

// awaitReady waits until the balancer answers PING.
func (p *process) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if ping(ctx, p.address) {
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("balancer %d ended before it was ready; its log is %s", p.id, p.log)
		case <-time.After(readyPoll):
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return fmt.Errorf("balancer %d was not ready after %v; its log is %s", p.id, readyTimeout, p.log)
}

// ping reports whether a balancer answers.
func ping(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: pingTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(pingTimeout)) // it fails as the write does
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "PONG")
}
