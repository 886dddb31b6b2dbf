package scale

import (
	"context"
	"fmt"
	"time"
)

const (
	maxSimulatedChanges = 600
	maxPushDuration     = 10 * time.Minute
	minPushDuration     = 30 * time.Second
)

// changesSweep simulates the propagation of changes from the control machines to all balancers, as a function of the
// changes in a day or of the servers.
func changesSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleControlMachines)
	if s.Against == keyServers {
		measurements.suffix = "-by-servers"
	}
	return measurements.forEachSize(progress, func(size int) error {
		for _, fullLists := range []bool{false, true} {
			if err := measurements.measureChanges(ctx, size, fullLists); err != nil {
				return err
			}
		}
		return nil
	})
}

// checkBalancers rejects a fleet with fewer balancers than control machines.
func checkBalancers(s Settings) (key, problem string) {
	if s.Balancers >= controlMachines {
		return "", ""
	}
	return keyBalancers, fmt.Sprintf("want at least %d, one for each control machine", controlMachines)
}

// pushPlanOf returns the plan of one control machine, whose balancers are an equal share of the fleet. It is long enough
// for maxSimulatedChanges, within the limits of the duration.
func pushPlanOf(s Settings, changesPerDay int, fullLists bool) pushPlan {
	rate := float64(changesPerDay) / secondsPerDay
	length := time.Duration(maxSimulatedChanges / rate * float64(time.Second))
	return pushPlan{servers: s.Servers, balancers: s.Balancers / controlMachines, fullLists: fullLists, rate: rate,
		duration: min(max(length, minPushDuration), maxPushDuration), seed: s.Seed}
}

func (m *controlMeasurements) measureChanges(ctx context.Context, size int, fullLists bool) error {
	kind, description := "changes", "only changes are sent"
	if fullLists {
		kind, description = "whole", "full lists are sent"
	}
	plan := pushPlanOf(m.settings.withSize(size), requiredChangesPerDay, fullLists)
	if m.settings.Against == byChanges {
		plan = pushPlanOf(m.settings, size, fullLists)
	}
	result, err := simulatePush(ctx, plan)
	if err != nil {
		return err
	}
	point := func(name, quantity, unit string, value float64) {
		m.add(seriesKind{
			name: kind + "-" + name, unit: unit, origin: Simulated, counted: true,
			quantity: quantity + "; " + description,
		}, size, value)
	}
	seconds := result.duration.Seconds()
	point("bytes-out", "sent by one control machine", unitBytesPerSecond, result.bytes/seconds)
	point("bytes-in", "read by a balancer", unitBytesPerSecond, result.bytes/seconds/float64(plan.balancers))
	point("busy", "share of time that a control machine is sending", unitPart, result.utilization)
	point("p50", "from a change until in force at half of the balancers", unitSeconds, result.quantile(0.5).Seconds())
	point("p99", "from a change until in force at 99 in 100", unitSeconds, result.quantile(0.99).Seconds())
	point("last", "from a change until in force at the last", unitSeconds, result.quantile(1).Seconds())
	if len(result.fullListLatencies) > 0 {
		point("start-last", "until a balancer that starts without state has its list, the longest", unitSeconds,
			result.fullListLatencies[len(result.fullListLatencies)-1].Seconds())
	}
	afterLoss, err := m.measureHalfLost(ctx, plan, point)
	if err != nil {
		return err
	}
	if fullLists {
		return nil
	}
	plan.resumes = true
	resumed := func(name, quantity, unit string, value float64) {
		point("resumed-"+name, quantity+" with the revision held", unit, value)
	}
	if _, err := m.measureHalfLost(ctx, plan, resumed); err != nil {
		return err
	}
	m.checkLatency(fmt.Sprintf("at %d %s changes are in force within 16 s", size, m.settings.Against), result.quantile(1))
	m.checkLatency(fmt.Sprintf("at %d %s they are with half of the control machines lost", size, m.settings.Against),
		max(afterLoss.quantile(1), afterLoss.recovery))
	return nil
}

// measureHalfLost simulates the loss of half of the control machines: each of the others takes over the balancers of a
// lost one.
func (m *controlMeasurements) measureHalfLost(ctx context.Context, plan pushPlan,
	point func(name, quantity, unit string, value float64)) (pushResult, error) {
	plan.takenOver = plan.balancers
	result, err := simulatePush(ctx, plan)
	if err != nil {
		return pushResult{}, err
	}
	point("half-lost-last", "until in force at the last, half of the control machines lost and their balancers polling another",
		unitSeconds, result.quantile(1).Seconds())
	point("half-lost-served", "until every balancer of a lost control machine has been sent what it lacks by another that it polls",
		unitSeconds, result.recovery.Seconds())
	return result, nil
}

// checkLatency checks that the last balancer has a change within requiredLatency.
func (m *controlMeasurements) checkLatency(what string, last time.Duration) {
	m.check(what, last <= requiredLatency, fmt.Sprintf("the last after %.1f s", last.Seconds()))
}
