package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/netfault"
	"yardwinch/internal/testbed/sockets"
)

// schedule puts the timeline on the world's agenda.
func (r *run) schedule() {
	for i, f := range r.p.faults {
		chance := simulation.RandomSource(r.seed, "fault", i)
		at, length := f.at.draw(chance), f.length.draw(chance)
		r.w.Schedule.At(at, simulation.Cause, func() { r.strike(f, length) })
	}
	r.w.Schedule.At(r.p.Experiment.Length-lastLook, simulation.Measure, r.countDescriptors)
}

// begin starts what goes on beside the timeline.
func (r *run) begin(ctx context.Context) {
	for _, x := range r.procs {
		go watch(ctx, r.driver.Address(x.id), r.p.askEvery, r.p.wait, r.p.misses, func(alive bool) {
			r.driver.Do(func() {
				r.w.SetFrontBelief(x.id, alive)
				now, spans := r.driver.Elapsed(), r.fronts[x.name]
				if alive {
					spans[len(spans)-1].To = now
				} else {
					spans = append(spans, Span{now, 0, "left out"})
				}
				r.fronts[x.name] = spans
			})
		})
		if r.post != nil {
			go r.watchMembers(ctx, x)
		}
	}
	var look func()
	look = func() {
		for i, s := range r.w.Servers {
			spans := r.struck[i]
			open := len(spans) > 0 && spans[len(spans)-1].To == 0
			if s.IsFaulty() && !open {
				r.struck[i] = append(spans, Span{r.driver.Elapsed(), 0, "struck"})
			} else if !s.IsFaulty() && open {
				spans[len(spans)-1].To = r.driver.Elapsed()
			}
		}
		r.w.Schedule.After(100*time.Millisecond, simulation.Measure, look)
	}
	r.driver.Do(look)
}

// strike carries one fault out. The drive is locked.
func (r *run) strike(f fault, length time.Duration) {
	who := r.cast.ends(f.who, nil)
	to := r.cast.ends(f.to, who)
	if f.as != "" {
		r.at[f.as], r.cast.named[f.as] = r.driver.Elapsed(), who
	}
	r.note(strings.Join(who, ","), "%s", f.kindText(to))
	later := func(do func()) {
		if length > 0 {
			r.w.Schedule.After(length, simulation.Cause, do)
		}
	}
	switch f.kind {
	case link, reset:
		r.strikeWays(f, who, to, length)
		return
	case lie:
		r.lie(who, to, length)
		return
	case garbage:
		r.flood(f, who, to, length)
		return
	}
	for _, name := range who {
		b, ok := balancerOf(name)
		if !ok || int(b) >= len(r.procs) {
			r.unfit = append(r.unfit, fmt.Sprintf("%s: %s is no balancer", f.kind, name))
			continue
		}
		x := r.procs[b]
		// back starts the process again, unless something else has happened to it meanwhile.
		back := func() {
			round := x.round
			later(func() {
				if x.round == round {
					r.start(x, f)
				}
			})
		}
		switch f.kind {
		case kill:
			if r.turn(x, down) {
				r.w.KillBalancer(b)
				back()
			}
		case term:
			if r.turn(x, ending) {
				r.driver.StopBalancer(b)
				for i := 1; i < f.times; i++ {
					r.signal(x, syscall.SIGTERM)
				}
				round := x.round
				r.w.Schedule.After(r.w.StopWithin(), simulation.Cause, func() {
					if x.round == round && r.turn(x, down) {
						r.w.KillBalancer(b)
						back()
					}
				})
			}
		case start:
			r.start(x, f)
		case freeze, starve:
			r.hold(x, f.kind, later)
		case folderFull, folderReadOnly:
			r.folderFault(x, f.kind, later)
		case call:
			go r.call(x, f)
		case hangup:
			r.hangUp(x, f.times, length)
		case crowd:
			r.crowded(x, f.rate, length)
		}
	}
}

func (f fault) kindText(to []string) string {
	text := strings.TrimSuffix(f.String(), " "+strings.Join(f.who, ","))
	if len(to) > 3 {
		to = append(slices.Clone(to[:2]), fmt.Sprintf("and %d more", len(to)-2))
	}
	if len(to) > 0 {
		text += " to " + strings.Join(to, ",")
	}
	return text
}

func (r *run) start(x *process, f fault) {
	if !r.turn(x, runs) {
		return
	}
	if f.program != "" {
		x.program = f.program
	}
	if f.folder == "gone" {
		err := os.RemoveAll(x.folder)
		if err = errors.Join(err, r.makeFolder(x)); err != nil {
			r.unfit = append(r.unfit, err.Error())
		}
	}
	r.note(x.name, "started again, folder %s, build %s", f.folder, x.program)
	r.w.ReviveBalancer(x.id)
	if f.times > 1 {
		r.hangUpAtOnce(x, f.times)
	}
}

// hold freezes a process for a time, or lets it run a quarter of the time. While it is starved no rule binds it either: what it is
// late with is the machine's.
func (r *run) hold(x *process, kind string, later func(func())) {
	to := frozen
	if kind == starve {
		to = starved
	}
	if !r.turn(x, to) {
		return
	}
	r.driver.ObserveBalancer(x.id, invariants.BalancerFrozen)
	r.signal(x, syscall.SIGSTOP)
	round := x.round
	later(func() {
		if x.round == round && r.turn(x, runs) {
			r.driver.ObserveBalancer(x.id, invariants.BalancerResumed)
			r.signal(x, syscall.SIGCONT)
			r.note(x.name, "runs on")
		}
	})
	if kind == starve {
		var slice func(on bool)
		slice = func(on bool) {
			if x.round != round {
				return
			}
			s, part := syscall.SIGSTOP, starvedSlice*3/4
			if on {
				s, part = syscall.SIGCONT, starvedSlice/4
			}
			r.signal(x, s)
			r.w.Schedule.After(part, simulation.Cause, func() { slice(!on) })
		}
		r.w.Schedule.After(starvedSlice*3/4, simulation.Cause, func() { slice(true) })
	}
}

// folderFault lets nothing be written to a process's folder for a time. A full one is stood in for by a limit on the size of the
// process's files (EFBIG in place of ENOSPC): a write may still come through in part.
func (r *run) folderFault(x *process, kind string, later func(func())) {
	set := func(on bool) error {
		if kind == folderReadOnly {
			return os.Chmod(x.folder, map[bool]os.FileMode{true: 0o500, false: 0o700}[on])
		}
		pid := r.driver.Process(x.id)
		if pid == 0 {
			return errors.New("no process runs")
		}
		return limitFiles(r.ctx, pid, on)
	}
	do := func(on bool) {
		if err := set(on); err != nil {
			r.unfit = append(r.unfit, fmt.Sprintf("%s: %s: %v", x.name, kind, err))
		}
	}
	do(true)
	later(func() { do(false) })
}

// limitFiles lets no file of a process grow, or lifts that. It is asked for as the process's own user, who may; root may not
// everywhere.
func limitFiles(ctx context.Context, pid int, on bool) error {
	soft := "unlimited"
	if on {
		soft = "0"
	}
	c := exec.CommandContext(ctx, "prlimit", "--pid", strconv.Itoa(pid), "--fsize="+soft+":unlimited")
	if os.Getuid() == 0 {
		c.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: nobodyID, Gid: nobodyID}}
	}
	if text, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("prlimit: %w: %s", err, strings.TrimSpace(string(text)))
	}
	return nil
}

// strikeWays changes the ways between two sets of ends, or breaks what stands on them.
func (r *run) strikeWays(f fault, who, to []string, length time.Duration) {
	each := func(do func(a, b netfault.Endpoint)) {
		for _, a := range who {
			for _, b := range to {
				if a != b {
					do(netfault.Endpoint(a), netfault.Endpoint(b))
				}
			}
		}
	}
	if f.kind == reset {
		go each(func(a, b netfault.Endpoint) { r.net.Reset(a, b) }) // beside the drive's lock, which the end of each stream takes
		return
	}
	set := func(c netfault.Condition) {
		each(func(a, b netfault.Endpoint) {
			if f.oneWay != "back" {
				r.net.SetCondition(a, b, c)
			}
			if f.oneWay != "out" {
				r.net.SetCondition(b, a, c)
			}
		})
		r.driver.UpdateListeners()
	}
	set(f.way)
	now := r.driver.Elapsed()
	end := r.w.Accounting.Length
	if length > 0 {
		end = now + length
		r.w.Schedule.After(length, simulation.Cause, func() { set(netfault.Condition{}) })
	}
	r.ways = append(r.ways, Span{now, end, f.kindText(nil) + ": " + strings.Join(f.who, ",") + " – " + strings.Join(f.to, ",")})
}

// call is the operator's, over the operator's way. Nothing is locked.
func (r *run) call(x *process, f fault) {
	t := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		far, err := d.DialContext(ctx, "tcp", x.control)
		if err != nil {
			return nil, err
		}
		innerEnd, outerEnd := netfault.Pipe()
		go r.net.Forward(sockets.Operator, netfault.Endpoint(x.name), innerEnd, far, netfault.Tap{})
		return outerEnd, nil
	}}
	ctx, done := context.WithTimeout(r.ctx, callWithin)
	defer done()
	q, err := http.NewRequestWithContext(ctx, f.method, "http://"+x.control+f.path, nil)
	a := answer{who: x.name}
	if err == nil {
		var w *http.Response
		if w, err = t.RoundTrip(q); err == nil {
			text, _ := io.ReadAll(io.LimitReader(w.Body, 1024)) // the code says yes or no
			_ = w.Body.Close()
			a.yes, a.what = w.StatusCode/100 == 2, fmt.Sprintf("%d %s", w.StatusCode, strings.TrimSpace(string(text)))
		}
	}
	if err != nil {
		a.what = err.Error()
	}
	r.driver.Do(func() {
		r.note(x.name, "%s answered %s", f.path, a.what)
		if f.as != "" {
			r.calls[f.as] = append(r.calls[f.as], a)
		}
	})
}
