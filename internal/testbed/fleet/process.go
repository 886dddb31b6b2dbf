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
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/sockets"
)

// state names where a process stands.
type state string

const (
	runs    state = "runs"
	frozen  state = "frozen"
	starved state = "starved"
	ending  state = "ending" // was asked to end
	down    state = "down"
	died    state = "died" // ended by itself
)

// next says which states may follow; faults that would make another change are passed over, and said.
var next = map[state][]state{runs: {frozen, starved, ending, down, died}, frozen: {runs, down}, starved: {runs, down, died},
	ending: {down}, down: {runs}, died: {runs, down}}

const (
	nobodyID     = 65534 // processes run as an ordinary user, or the rights of a folder would not bind them
	callWithin   = time.Second
	starvedSlice = 100 * time.Millisecond // of which a starved process runs a quarter
)

// process is one balancer of the fleet; only turn changes its state.
type process struct {
	id      simulation.BalancerID
	name    string
	state   state
	program string // of its next start: current or old
	folder  string
	control string
	bound   netip.AddrPort // where it speaks to the others, and what it tells them
	told    netip.AddrPort
	views   []view // how it saw the others, from when on
	spans   []Span
	round   int // counts faults with a length, so that an earlier one's end does not undo a later one
}

func (r *run) newProcess(b simulation.BalancerID) (*process, error) {
	x := &process{id: b, name: string(sockets.BalancerName(b)), state: runs, program: "current", folder: filepath.Join(r.folder, fmt.Sprintf("b%d", b))}
	l, err := (&net.ListenConfig{}).Listen(r.ctx, "tcp", fmt.Sprintf("127.78.%d.%d:0", int(b)/250, int(b)%250+1))
	if err != nil {
		return nil, err
	}
	x.control = l.Addr().String()
	if err := l.Close(); err != nil {
		return nil, err
	}
	if r.post != nil {
		if err := r.address(x); err != nil {
			return nil, err
		}
	}
	return x, r.makeFolder(x)
}

func (r *run) makeFolder(x *process) error {
	if err := os.MkdirAll(x.folder, 0o700); err != nil {
		return err
	}
	if os.Getuid() == 0 {
		return os.Chown(x.folder, nobodyID, nobodyID)
	}
	return nil
}

// launch changes how a process is started: its user, its folder, its options, its program.
func (r *run) launch(b simulation.BalancerID, _ int, cmd *exec.Cmd) ([]string, error) {
	x := r.procs[b]
	config := filepath.Join(r.folder, fmt.Sprintf("balancer-%d.json", b))
	if err := os.Chmod(config, 0o644); err != nil {
		return nil, err
	}
	tmp := ""
	if r.p.folders {
		tmp = x.folder
	}
	options, err := r.options(x)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(cmd.Env, "YARDWINCH_OPTIONS="+options, "TMPDIR="+tmp)
	// Not the file itself: a limit on files would hold for the log too.
	cmd.Stdout = struct{ io.Writer }{&keptLog{path: filepath.Join(r.folder, fmt.Sprintf("balancer-%d.log", b))}}
	cmd.Stderr = cmd.Stdout
	if os.Getuid() == 0 {
		cmd.SysProcAttr.Credential = &syscall.Credential{Uid: nobodyID, Gid: nobodyID}
	}
	program := r.program[x.program]
	if len(program) == 0 {
		return nil, fmt.Errorf("there is no program %q", x.program)
	}
	// As the platform does it: the shell has SIGHUP ignored until the balancer has a handler.
	return append([]string{"/bin/sh", "-c", `trap '' HUP; exec "$@"`, "sh"}, program...), nil
}

// keptLog appends to a file that is opened for each write: there are few.
type keptLog struct{ path string }

func (k *keptLog) Write(b []byte) (int, error) {
	f, err := os.OpenFile(k.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	n, err := f.Write(b)
	return n, errors.Join(err, f.Close())
}

// turn makes every change of a process's state, and tells whether it may be made.
func (r *run) turn(x *process, to state) bool {
	now := r.driver.Elapsed()
	if !slices.Contains(next[x.state], to) {
		r.unfit = append(r.unfit, fmt.Sprintf("%.1fs: %s is %s and can't be %s", now.Seconds(), x.name, x.state, to))
		return false
	}
	if n := len(x.spans); n > 0 && x.spans[n-1].To == 0 {
		x.spans[n-1].To = now
	}
	if to != runs {
		x.spans = append(x.spans, Span{now, 0, string(to)})
	}
	x.state = to
	x.round++
	return true
}

// ended: a process ended that nobody ended. It is killed for the world, too.
func (r *run) ended(b simulation.BalancerID, err error) {
	x := r.procs[b]
	if x.state == ending { // as it was asked to
		return
	}
	r.note(x.name, "ended by itself (%v)", err)
	if r.turn(x, died) {
		r.w.KillBalancer(b)
	}
}

func (r *run) signal(x *process, s syscall.Signal) {
	if err := r.driver.Signal(x.id, s); err != nil {
		r.unfit = append(r.unfit, fmt.Sprintf("%s: %v", x.name, err))
	}
}
