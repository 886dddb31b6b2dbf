package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/netfault"
)

const (
	starvationPeriod = 100 * time.Millisecond // of which a starved process runs a quarter
	starvedRun       = starvationPeriod / 4
	starvedPause     = starvationPeriod - starvedRun

	descriptorsBeforeEnd = 300 * time.Millisecond // of a run, they are counted
)

// startedFault is a fault of the timeline with what was drawn for this run.
type startedFault struct {
	fault
	drawnLength time.Duration
	targetNames []string
	peerNames   []string
}

// schedule schedules the timeline.
func (r *fleetRun) schedule() {
	for i, f := range r.plan.faults {
		random := simulation.RandomSource(r.seed, "fault", i)
		at := f.start.Draw(random)
		length := f.length.Draw(random)
		r.world.Schedule.At(at, simulation.Cause, func() { r.startFault(f, length) })
	}
	r.world.Schedule.At(r.plan.Experiment.Length-descriptorsBeforeEnd, simulation.Measure, r.countDescriptors)
}

// atEndOf schedules what ends a fault that has a length.
func (r *fleetRun) atEndOf(f startedFault, do func()) {
	if f.drawnLength > 0 {
		r.world.Schedule.After(f.drawnLength, simulation.Cause, do)
	}
}

// startFault carries one fault out. The driver is locked.
func (r *fleetRun) startFault(drawn fault, length time.Duration) {
	f := startedFault{fault: drawn, drawnLength: length, targetNames: r.names.resolve(drawn.targets, nil)}
	f.peerNames = r.names.resolve(f.peers, f.targetNames)
	if f.name != "" {
		r.faultTimes[f.name], r.names.faultNames[f.name] = r.driver.Elapsed(), f.targetNames
	}
	r.record(strings.Join(f.targetNames, ","), "%s", f.textTo(f.peerNames))
	switch f.kind {
	case faultPath:
		r.startPathFault(f)
	case faultReset:
		r.workers.Go(func() { // the end of each stream takes the driver's mutex
			f.eachPath(func(a, b netfault.Endpoint) { r.network.Reset(a, b) })
		})
	case faultFalseReports:
		r.injectFalseReports(f)
	case faultGarbage:
		r.injectGarbage(f)
	default:
		r.startProcessFaults(f)
	}
}

// processFaults start the kinds of faults that strike processes.
var processFaults = map[faultKind]func(*fleetRun, *process, startedFault){
	faultKill:              (*fleetRun).startKill,
	faultTerminate:         (*fleetRun).startTermination,
	faultStart:             (*fleetRun).restartProcess,
	faultFreeze:            (*fleetRun).startFreeze,
	faultStarve:            (*fleetRun).startStarvation,
	faultDirectoryFull:     (*fleetRun).startDirectoryFault,
	faultDirectoryReadOnly: (*fleetRun).startDirectoryFault,
	faultCall:              (*fleetRun).startCall,
	faultSIGHUP:            (*fleetRun).scheduleSIGHUPs,
	faultIdleClients:       (*fleetRun).startIdleClients,
}

func (r *fleetRun) startProcessFaults(f startedFault) {
	for _, name := range f.targetNames {
		b, ok := balancerOf(name)
		if !ok || int(b) >= len(r.processes) {
			r.skip("%s: %s is no balancer", f.kind, name)
			continue
		}
		processFaults[f.kind](r, r.processes[b], f)
	}
}

func (r *fleetRun) startKill(p *process, f startedFault) {
	if r.transition(p, down) {
		r.world.KillBalancer(p.id)
		r.restartAtEndOf(p, f)
	}
}

// restartAtEndOf starts the process again, unless something else has happened to it meanwhile.
func (r *fleetRun) restartAtEndOf(p *process, f startedFault) {
	r.atEndOf(f, p.unchanged(func() { r.restartProcess(p, f) }))
}

// startTermination has a process end in order, and kills it when its time is over.
func (r *fleetRun) startTermination(p *process, f startedFault) {
	if !r.transition(p, ending) {
		return
	}
	r.driver.StopBalancer(p.id)
	for range f.signals - 1 {
		r.signal(p, syscall.SIGTERM)
	}
	r.world.Schedule.After(r.world.StopWithin(), simulation.Cause, p.unchanged(func() { r.startKill(p, f) }))
}

func (r *fleetRun) restartProcess(p *process, f startedFault) {
	if !r.transition(p, running) {
		return
	}
	if f.program != "" {
		p.program = f.program
	}
	if f.directory == directoryRemoved {
		if err := errors.Join(os.RemoveAll(p.directory), r.makeDirectory(p)); err != nil {
			r.skip("%v", err)
		}
	}
	r.record(p.name, "started again, folder %s, build %s", f.directory, p.program)
	r.world.ReviveBalancer(p.id)
	if f.signals > 1 {
		r.sendSIGHUPsDuringStart(p, f.signals)
	}
}

func (r *fleetRun) startFreeze(p *process, f startedFault) {
	if r.transition(p, frozen) {
		r.pauseProcess(p, f)
	}
}

// startStarvation lets a process run a quarter of the time. No rule binds it meanwhile: what it is late with is the machine's matter.
func (r *fleetRun) startStarvation(p *process, f startedFault) {
	if !r.transition(p, starved) {
		return
	}
	r.pauseProcess(p, f)
	var run, pause func()
	run = p.unchanged(func() {
		r.signal(p, syscall.SIGCONT)
		r.world.Schedule.After(starvedRun, simulation.Cause, pause)
	})
	pause = p.unchanged(func() {
		r.signal(p, syscall.SIGSTOP)
		r.world.Schedule.After(starvedPause, simulation.Cause, run)
	})
	r.world.Schedule.After(starvedPause, simulation.Cause, run)
}

// pauseProcess stops a process until the end of a fault.
func (r *fleetRun) pauseProcess(p *process, f startedFault) {
	r.driver.ObserveBalancer(p.id, invariants.BalancerFrozen)
	r.signal(p, syscall.SIGSTOP)
	r.atEndOf(f, p.unchanged(func() {
		if r.transition(p, running) {
			r.driver.ObserveBalancer(p.id, invariants.BalancerResumed)
			r.signal(p, syscall.SIGCONT)
			r.record(p.name, "runs on")
		}
	}))
}

// startDirectoryFault lets nothing be written to a process's directory. A full one is stood in for by a limit on the size of the process's
// files (EFBIG in place of ENOSPC): a write may still succeed in part.
func (r *fleetRun) startDirectoryFault(p *process, f startedFault) {
	set := func(isOn bool) {
		if err := r.setDirectoryFault(p, f.kind, isOn); err != nil {
			r.skip("%s: %s: %v", p.name, f.kind, err)
		}
	}
	set(true)
	r.atEndOf(f, func() { set(false) })
}

func (r *fleetRun) setDirectoryFault(p *process, kind faultKind, isOn bool) error {
	const readOnlyMode = 0o500
	switch {
	case kind == faultDirectoryReadOnly && isOn:
		return os.Chmod(p.directory, readOnlyMode)
	case kind == faultDirectoryReadOnly:
		return os.Chmod(p.directory, privateDirMode)
	}
	pid := r.driver.Process(p.id)
	if pid == 0 {
		return errors.New("no process runs")
	}
	return limitFileSize(r.ctx, pid, isOn)
}

// limitFileSize lets no file of a process grow, or lifts that. It is asked for as the process's own user, who may; root may not everywhere.
func limitFileSize(ctx context.Context, pid int, isOn bool) error {
	soft := "unlimited"
	if isOn {
		soft = "0"
	}
	command := exec.CommandContext(ctx, "prlimit", "--pid", strconv.Itoa(pid), "--fsize="+soft+":unlimited")
	unprivileged(command)
	if text, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("prlimit: %w: %s", err, strings.TrimSpace(string(text)))
	}
	return nil
}

// eachPath has the paths between targets and peers.
func (f startedFault) eachPath(do func(target, peer netfault.Endpoint)) {
	for _, target := range f.targetNames {
		for _, peer := range f.peerNames {
			if target != peer {
				do(netfault.Endpoint(target), netfault.Endpoint(peer))
			}
		}
	}
}

// startPathFault changes the condition of the paths between targets and peers.
func (r *fleetRun) startPathFault(f startedFault) {
	set := func(c netfault.Condition) {
		f.eachPath(func(target, peer netfault.Endpoint) {
			if f.direction != toTargets {
				r.network.SetCondition(target, peer, c)
			}
			if f.direction != fromTargets {
				r.network.SetCondition(peer, target, c)
			}
		})
		r.driver.UpdateListeners()
	}
	set(f.condition)
	r.atEndOf(f, func() { set(netfault.Condition{}) })
	now, end := r.driver.Elapsed(), r.world.Accounting.Length
	if f.drawnLength > 0 {
		end = now + f.drawnLength
	}
	what := f.text() + ": " + strings.Join(f.targets, ",") + " – " + strings.Join(f.peers, ",")
	r.pathSpans = append(r.pathSpans, Span{now, end, what})
}
