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
	starvationPeriod = 100 * time.Millisecond // a starved process runs for a quarter of each period
	starvedRun       = starvationPeriod / 4
	starvedPause     = starvationPeriod - starvedRun

	descriptorCountLead = 300 * time.Millisecond // time before the end of the run at which descriptors are counted
)

// startedFault is a fault of the timeline with the values drawn for this run.
type startedFault struct {
	fault
	drawnLength time.Duration
	targetNames []string
	peerNames   []string
}

// scheduleFaults schedules the faults of the plan, and the count of descriptors before the end.
func (r *fleetRun) scheduleFaults() {
	for i, f := range r.plan.faults {
		random := simulation.RandomSource(r.seed, "fault", i)
		at := f.start.Draw(random)
		length := f.length.Draw(random)
		r.world.Schedule.At(at, simulation.Cause, func() { r.startFault(f, length) })
	}
	r.world.Schedule.At(r.plan.Experiment.Length-descriptorCountLead, simulation.Measure, r.recordDescriptorCounts)
}

// afterFault schedules do at the end of a fault; if the fault has no length, do is never called.
func (r *fleetRun) afterFault(f startedFault, do func()) {
	if f.drawnLength > 0 {
		r.world.Schedule.After(f.drawnLength, simulation.Cause, do)
	}
}

// startFault starts one fault. The caller holds the driver's mutex.
func (r *fleetRun) startFault(planned fault, length time.Duration) {
	f := startedFault{fault: planned, drawnLength: length, targetNames: r.names.resolve(planned.targets, nil)}
	f.peerNames = r.names.resolve(f.peers, f.targetNames)
	if f.name != "" {
		r.faultTimes[f.name], r.names.faultNames[f.name] = r.driver.Elapsed(), f.targetNames
	}
	r.record(strings.Join(f.targetNames, ","), "%s", f.describeTo(f.peerNames))
	switch f.kind {
	case faultPath:
		r.startPathFault(f)
	case faultReset:
		r.workers.Go(func() { // in a goroutine, as the end of each stream takes the driver's mutex
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

// processFaults maps the kinds of faults that affect processes to the functions that start them.
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
		r.restartAfterFault(p, f)
	}
}

// restartAfterFault restarts the process at the end of the fault, unless its state has changed by then.
func (r *fleetRun) restartAfterFault(p *process, f startedFault) {
	r.afterFault(f, p.ifUnchanged(func() { r.restartProcess(p, f) }))
}

// startTermination sends SIGTERM to a process, and kills it after the time that a planned restart allows.
func (r *fleetRun) startTermination(p *process, f startedFault) {
	if !r.transition(p, terminating) {
		return
	}
	r.driver.StopBalancer(p.id)
	for range f.signals - 1 {
		r.signal(p, syscall.SIGTERM)
	}
	r.world.Schedule.After(r.world.StopDuration(), simulation.Cause, p.ifUnchanged(func() { r.startKill(p, f) }))
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

// startStarvation lets a process run a quarter of the time. The checker treats it as frozen, as delays are then due to the machine and break no
// rule.
func (r *fleetRun) startStarvation(p *process, f startedFault) {
	if !r.transition(p, starved) {
		return
	}
	r.pauseProcess(p, f)
	var run, pause func()
	run = p.ifUnchanged(func() {
		r.signal(p, syscall.SIGCONT)
		r.world.Schedule.After(starvedRun, simulation.Cause, pause)
	})
	pause = p.ifUnchanged(func() {
		r.signal(p, syscall.SIGSTOP)
		r.world.Schedule.After(starvedPause, simulation.Cause, run)
	})
	r.world.Schedule.After(starvedPause, simulation.Cause, run)
}

// pauseProcess suspends a process by SIGSTOP, and makes it run normally again at the end of the fault.
func (r *fleetRun) pauseProcess(p *process, f startedFault) {
	r.driver.ObserveBalancer(p.id, invariants.BalancerFrozen)
	r.signal(p, syscall.SIGSTOP)
	r.afterFault(f, p.ifUnchanged(func() {
		if r.transition(p, running) {
			r.driver.ObserveBalancer(p.id, invariants.BalancerResumed)
			r.signal(p, syscall.SIGCONT)
			r.record(p.name, "runs on")
		}
	}))
}

// startDirectoryFault makes writes to a process's directory fail. A limit on the size of the process's files stands in for a full file system,
// with EFBIG in place of ENOSPC; a write may still succeed in part.
func (r *fleetRun) startDirectoryFault(p *process, f startedFault) {
	set := func(isOn bool) {
		if err := r.setDirectoryFault(p, f.kind, isOn); err != nil {
			r.skip("%s: %s: %v", p.name, f.kind, err)
		}
	}
	set(true)
	r.afterFault(f, func() { set(false) })
}

func (r *fleetRun) setDirectoryFault(p *process, kind faultKind, isOn bool) error {
	const readOnlyMode = 0o500
	switch {
	case kind == faultDirectoryReadOnly && isOn:
		return os.Chmod(p.directory, readOnlyMode)
	case kind == faultDirectoryReadOnly:
		return os.Chmod(p.directory, privateDirMode)
	}
	pid := r.driver.ProcessID(p.id)
	if pid == 0 {
		return errors.New("no process runs")
	}
	return limitFileSize(r.ctx, pid, isOn)
}

// limitFileSize prevents the files of a process from growing, or lifts that limit. prlimit runs as the process's own user, which is always
// permitted; root is not permitted in every environment.
func limitFileSize(ctx context.Context, pid int, isOn bool) error {
	soft := "unlimited"
	if isOn {
		soft = "0"
	}
	command := exec.CommandContext(ctx, "prlimit", "--pid", strconv.Itoa(pid), "--fsize="+soft+":unlimited")
	dropPrivileges(command)
	if text, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("prlimit: %w: %s", err, strings.TrimSpace(string(text)))
	}
	return nil
}

// eachPath calls do with each path between a target and a peer.
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
	r.afterFault(f, func() { set(netfault.Condition{}) })
	now, end := r.driver.Elapsed(), r.world.Accounting.Length
	if f.drawnLength > 0 {
		end = now + f.drawnLength
	}
	what := f.describe() + ": " + strings.Join(f.targets, ",") + " – " + strings.Join(f.peers, ",")
	r.pathSpans = append(r.pathSpans, Span{now, end, what})
}
