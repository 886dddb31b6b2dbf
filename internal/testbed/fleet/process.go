package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"

	"yardwinch/internal/simulation"
)

// processState is the state of a process, as reports name it.
type processState string

const (
	running     processState = "runs"
	frozen      processState = "frozen"
	starved     processState = "starved"
	terminating processState = "ending" // it received SIGTERM
	down        processState = "down"   // killed by a fault
	exited      processState = "died"   // ended by itself
)

// allowedTransitions maps each state to the states that may follow. A fault that would make another transition is skipped and reported.
var allowedTransitions = map[processState][]processState{
	running:     {frozen, starved, terminating, down, exited},
	frozen:      {running, down},
	starved:     {running, down, exited},
	terminating: {down},
	down:        {running},
	exited:      {running, down},
}

const (
	unprivilegedID      = 65534 // user and group of the balancers if the testbed runs as root, as directory permissions don't restrict root
	addressesPerNetwork = 250   // in each /24 network of loopback addresses
	privateDirMode      = 0o700
	publicFileMode      = 0o644
	logMode             = 0o600
)

// process is one balancer of the fleet.
type process struct {
	id                simulation.BalancerID
	name              string
	program           string // the build that it is started from next
	directory         string
	controlAddress    string         // of its control interface, which the operator calls
	bindAddress       netip.AddrPort // address that it binds for membership traffic
	advertisedAddress netip.AddrPort // address that it advertises to other members

	state      processState
	generation int          // number of transitions; actions that were scheduled before the latest one are skipped (see ifUnchanged)
	spans      []Span       // times in states other than running
	views      []memberView // how it saw the other members
}

func (r *fleetRun) newProcess(b simulation.BalancerID) (*process, error) {
	name := balancerName(int(b))
	p := &process{id: b, name: name, state: running, program: currentBuild, directory: filepath.Join(r.directory, name)}
	var err error
	if p.controlAddress, err = r.freeControlAddress(b); err != nil {
		return nil, err
	}
	if r.proxy != nil {
		if err := r.assignAddresses(p); err != nil {
			return nil, err
		}
	}
	return p, r.makeDirectory(p)
}

func (r *fleetRun) freeControlAddress(b simulation.BalancerID) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(r.ctx, "tcp", loopbackIP(balancerNetwork, b)+":0")
	if err != nil {
		return "", fmt.Errorf("find a control address for balancer %d: %w", b, err)
	}
	return listener.Addr().String(), listener.Close()
}

// Second bytes of the loopback networks. Each balancer has an address in each of them.
const (
	balancerNetwork   = 78
	bindNetwork       = 79
	advertisedNetwork = 80
)

func loopbackIP(network int, b simulation.BalancerID) string {
	return fmt.Sprintf("127.%d.%d.%d", network, int(b)/addressesPerNetwork, int(b)%addressesPerNetwork+1)
}

func (r *fleetRun) makeDirectory(p *process) error {
	if err := os.MkdirAll(p.directory, privateDirMode); err != nil {
		return err
	}
	if isRoot() {
		return os.Chown(p.directory, unprivilegedID, unprivilegedID)
	}
	return nil
}

func isRoot() bool { return os.Getuid() == 0 }

// dropPrivileges makes a command run as an unprivileged user if the testbed runs as root.
func dropPrivileges(command *exec.Cmd) {
	if !isRoot() {
		return
	}
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Credential = &syscall.Credential{Uid: unprivilegedID, Gid: unprivilegedID}
}

// configureCommand sets the user, environment and log of a balancer's command, and returns the command line that runs its program.
func (r *fleetRun) configureCommand(b simulation.BalancerID, _ int, command *exec.Cmd) ([]string, error) {
	p := r.processes[b]
	config := filepath.Join(r.directory, fmt.Sprintf("balancer-%d.json", b))
	if err := os.Chmod(config, publicFileMode); err != nil {
		return nil, err
	}
	options, err := r.writeOptions(p)
	if err != nil {
		return nil, err
	}
	directory := ""
	if r.plan.hasDirectories {
		directory = p.directory
	}
	command.Env = append(command.Env, "YARDWINCH_OPTIONS="+options, "TMPDIR="+directory)
	// Not an *os.File, so that the testbed's process writes the log: a limit on the size of the balancer's files must not apply to the log.
	command.Stdout = struct{ io.Writer }{&reopenedLog{path: filepath.Join(r.directory, fmt.Sprintf("balancer-%d.log", b))}}
	command.Stderr = command.Stdout
	dropPrivileges(command)
	program := r.programs[p.program]
	if len(program) == 0 {
		return nil, fmt.Errorf("no program for the build %q", p.program)
	}
	// As on the platform, the shell ignores SIGHUP until the balancer has installed a handler.
	return append([]string{"/bin/sh", "-c", `trap '' HUP; exec "$@"`, "sh"}, program...), nil
}

// reopenedLog appends to a file that it opens for each write, as writes are rare.
type reopenedLog struct{ path string }

// Write appends to the file.
func (l *reopenedLog) Write(text []byte) (int, error) {
	file, err := os.OpenFile(l.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return 0, err
	}
	size, err := file.Write(text)
	return size, errors.Join(err, file.Close())
}

// transition changes a process's state if that is allowed, and reports whether it did. All changes of the state go through it.
func (r *fleetRun) transition(p *process, to processState) bool {
	now := r.driver.Elapsed()
	if !slices.Contains(allowedTransitions[p.state], to) {
		r.skip("%.1fs: %s is %s and can't be %s", now.Seconds(), p.name, p.state, to)
		return false
	}
	if last := len(p.spans) - 1; last >= 0 && p.spans[last].To == 0 {
		p.spans[last].To = now
	}
	if to != running {
		p.spans = append(p.spans, Span{now, 0, string(to)})
	}
	p.state = to
	p.generation++
	return true
}

// ifUnchanged returns a function that calls do unless the process's state has changed since.
func (p *process) ifUnchanged(do func()) func() {
	generation := p.generation
	return func() {
		if p.generation == generation {
			do()
		}
	}
}

// processEnded records the end of a process that was not asked to end, and kills its balancer in the simulated world.
func (r *fleetRun) processEnded(b simulation.BalancerID, err error) {
	p := r.processes[b]
	if p.state == terminating {
		return
	}
	r.record(p.name, "ended by itself (%v)", err)
	if r.transition(p, exited) {
		r.world.KillBalancer(b)
	}
}

func (r *fleetRun) signal(p *process, s syscall.Signal) {
	if err := r.driver.Signal(p.id, s); err != nil {
		r.skip("%s: %v", p.name, err)
	}
}

// recordDescriptorCounts records the number of open file descriptors of each running process.
func (r *fleetRun) recordDescriptorCounts() {
	for _, p := range r.processes {
		pid := r.driver.ProcessID(p.id)
		if pid == 0 || p.state != running {
			continue
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			r.descriptors[p.name] = len(open)
		}
	}
}
