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

// processState is the state of a process, in the words of reports.
type processState string

const (
	running       processState = "runs"
	frozen        processState = "frozen"
	starved       processState = "starved"
	ending        processState = "ending" // it was asked to end
	down          processState = "down"
	endedByItself processState = "died"
)

// allowedTransitions are the states that may follow. Faults that would make another change are skipped, and reported.
var allowedTransitions = map[processState][]processState{
	running:       {frozen, starved, ending, down, endedByItself},
	frozen:        {running, down},
	starved:       {running, down, endedByItself},
	ending:        {down},
	down:          {running},
	endedByItself: {running, down},
}

const (
	unprivilegedID      = 65534 // processes run as an ordinary user, or the permissions of a directory would not bind them
	addressesPerNetwork = 250   // of a /24 network of loopback
	privateDirMode      = 0o700
	readableMode        = 0o644
	logMode             = 0o600
)

// process is one balancer of the fleet.
type process struct {
	id         simulation.BalancerID
	name       string
	program    string // the build of its next start
	directory  string
	control    string         // address of the operators' calls
	boundTo    netip.AddrPort // where it sends to other members from
	advertised netip.AddrPort // what it tells them

	state      processState
	generation int          // of the state: what an earlier fault scheduled must not undo a later one
	spans      []Span       // of states but running
	views      []memberView // of the other members
}

func (r *fleetRun) newProcess(b simulation.BalancerID) (*process, error) {
	name := balancerName(int(b))
	p := &process{id: b, name: name, state: running, program: currentBuild, directory: filepath.Join(r.directory, name)}
	var err error
	if p.control, err = r.freeControlAddress(b); err != nil {
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

// Second bytes of loopback networks, in which each balancer has an address.
const (
	balancerNetwork   = 78
	boundNetwork      = 79
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

// unprivileged runs a command as an ordinary user where this process is root.
func unprivileged(command *exec.Cmd) {
	if !isRoot() {
		return
	}
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Credential = &syscall.Credential{Uid: unprivilegedID, Gid: unprivilegedID}
}

// launch changes how a process is started: its user, its directory, its options, its program.
func (r *fleetRun) launch(b simulation.BalancerID, _ int, command *exec.Cmd) ([]string, error) {
	p := r.processes[b]
	config := filepath.Join(r.directory, fmt.Sprintf("balancer-%d.json", b))
	if err := os.Chmod(config, readableMode); err != nil {
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
	// Not the file itself: a limit on the size of files would bind the log too.
	command.Stdout = struct{ io.Writer }{&reopenedLog{path: filepath.Join(r.directory, fmt.Sprintf("balancer-%d.log", b))}}
	command.Stderr = command.Stdout
	unprivileged(command)
	program := r.programs[p.program]
	if len(program) == 0 {
		return nil, fmt.Errorf("there is no program %q", p.program)
	}
	// As the platform does it: the shell ignores SIGHUP until the balancer has a handler.
	return append([]string{"/bin/sh", "-c", `trap '' HUP; exec "$@"`, "sh"}, program...), nil
}

// reopenedLog appends to a file that is opened for each write: there are few.
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

// transition makes every change of a process's state, and tells whether it is allowed.
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

// unchanged is something that doesn't happen if the process's state has changed meanwhile.
func (p *process) unchanged(do func()) func() {
	generation := p.generation
	return func() {
		if p.generation == generation {
			do()
		}
	}
}

// processEnded notes that a process ended that nobody ended, and has the simulated world lose its balancer too.
func (r *fleetRun) processEnded(b simulation.BalancerID, err error) {
	p := r.processes[b]
	if p.state == ending {
		return
	}
	r.record(p.name, "ended by itself (%v)", err)
	if r.transition(p, endedByItself) {
		r.world.KillBalancer(b)
	}
}

func (r *fleetRun) signal(p *process, s syscall.Signal) {
	if err := r.driver.Signal(p.id, s); err != nil {
		r.skip("%s: %v", p.name, err)
	}
}

// countDescriptors notes how many each process that runs has open.
func (r *fleetRun) countDescriptors() {
	for _, p := range r.processes {
		pid := r.driver.Process(p.id)
		if pid == 0 || p.state != running {
			continue
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			r.descriptors[p.name] = len(open)
		}
	}
}
