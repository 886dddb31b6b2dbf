package decide

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// simulatedRun simulates the environment of a balancer: attempts succeed, fail or time out depending on their server,
// servers are slow, drain, restart and disappear, and timers fire.
type simulatedRun struct {
	*harness
	rand        *rand.Rand
	servers     int
	now         time.Duration
	due         []pending
	connections map[FlowID]ServerID
	established []FlowID // keys of connections, in the order in which they were established
	flows       int
	actionLog   []byte
}

// pending is an event scheduled for a time.
type pending struct {
	at    time.Duration
	event func()
}

// runParameters are the parameters of a simulated run.
type runParameters struct {
	seed                 uint64
	servers, balancers   int
	groups               int
	flowsPerSecond       int
	lifetime             time.Duration
	effect               Effect
	deduplication        DeduplicationScope
	healthChecks, quotas bool
	crossing             float64
	seconds              int
}

func simulateRun(t *testing.T, parameters runParameters) *simulatedRun {
	r := &simulatedRun{
		harness:     &harness{t: t, targets: map[FlowID]ServerID{}, attemptsTo: map[ServerID]int{}},
		servers:     parameters.servers,
		rand:        rand.New(rand.NewPCG(parameters.seed, 99)),
		connections: map[FlowID]ServerID{},
	}
	r.balancer = New(parameters.seed, r.harness)
	r.balancer.ConfigureFlows(3, sec)
	r.balancer.AddService(serviceType(parameters.effect, parameters.deduplication))
	r.balancer.ConfigureSlowStart(slowStartSettings(parameters.balancers))
	r.balancer.ConfigureHealthChecks(parameters.healthChecks)
	r.balancer.ConfigurePlacement(parameters.crossing, 0.02, true)
	if parameters.quotas {
		r.balancer.AddCustomer(float64(parameters.flowsPerSecond) * 4)
		r.balancer.AddCustomer(float64(parameters.flowsPerSecond))
	}
	r.balancer.ConfigureEndpoints(EndpointSettings{Zone: "z0", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 100 * ms})
	r.setTime(0)
	r.updateList(CachedUpdate, Ready, parameters.servers)
	for step := range parameters.seconds * 20 {
		r.now = time.Duration(step) * 50 * ms
		r.setTime(r.now)
		r.runDue()
		r.injectFaults()
		for range r.rand.IntN(parameters.flowsPerSecond/10 + 1) {
			r.arrive(parameters)
		}
		if step%5 == 0 {
			r.balancer.OnTimer(tickTimer)
		}
		for _, timer := range []TimerID{listTimer, queueTimer} {
			if wait, isSet := r.timers[timer]; isSet && wait <= 50*ms {
				delete(r.timers, timer)
				r.balancer.OnTimer(timer)
			}
		}
		r.simulateReplies(parameters)
	}
	return r
}

// arrive adds one flow.
func (r *simulatedRun) arrive(parameters runParameters) {
	r.flows++
	customer := NoCustomer
	if parameters.quotas {
		customer = CustomerID(r.rand.IntN(2))
	}
	group := GroupKey("")
	if n := r.rand.IntN(parameters.groups + 1); n > 0 {
		group = GroupKey(strconv.Itoa(n * n / parameters.groups))
	}
	r.balancer.OnFlow(FlowRequest{ID: FlowID(strconv.Itoa(r.flows)), Customer: customer, Group: group, Timeout: 900 * ms})
}

// injectFaults changes the list, reports high latencies and ends flows, each at random.
func (r *simulatedRun) injectFaults() {
	id := ServerID(1 + r.rand.IntN(r.servers))
	switch r.rand.IntN(60) {
	case 0:
		r.updateServer(id, Draining, LongAgo)
	case 1:
		r.updateServer(id, Ready, r.now)
	case 2:
		r.updateServer(id, Gone, LongAgo)
	case 3:
		r.balancer.SetDisabled(id, r.rand.IntN(2) == 0)
	case 4:
		r.balancer.BeginEndpoints(FailedUpdate)
	}
	if len(r.established) == 0 {
		return
	}
	f := r.established[r.rand.IntN(len(r.established))]
	switch r.rand.IntN(30) {
	case 0, 1:
		r.balancer.OnLatencySample(f, time.Duration(r.rand.IntN(700))*ms)
	case 2:
		r.end(f, Reset)
	case 3, 4, 5, 6, 7:
		r.end(f, OK)
	}
}

// end ends an established flow.
func (r *simulatedRun) end(f FlowID, o Outcome) {
	for i, other := range r.established {
		if other == f {
			r.established = append(r.established[:i], r.established[i+1:]...)
			delete(r.connections, f)
			r.balancer.OnEnded(f, o, sec, true)
			return
		}
	}
}

// runDue runs the events that are due, in the order in which they were scheduled.
func (r *simulatedRun) runDue() {
	due := r.due
	r.due = nil
	for _, p := range due {
		if p.at <= r.now {
			p.event()
		} else {
			r.due = append(r.due, p)
		}
	}
}

// simulateReplies schedules the results of the actions since the last call, and appends the actions to actionLog.
func (r *simulatedRun) simulateReplies(parameters runParameters) {
	for _, line := range r.performed {
		r.actionLog = fmt.Appendf(r.actionLog, "%d %s\n", r.now, line)
		var f FlowID
		var to ServerID
		if n, _ := fmt.Sscanf(line, "connect %s %d", &f, &to); n == 2 {
			r.simulateConnect(parameters, f, to)
		} else if n, _ := fmt.Sscanf(line, "move %s", &f); n == 1 {
			r.due = append(r.due, pending{r.now + 100*ms, func() { r.end(f, OK) }})
		} else if n, _ := fmt.Sscanf(line, "probe %d", &to); n == 1 {
			load := r.rand.Float64() * 1.2
			r.due = append(r.due, pending{r.now + 30*ms, func() { r.balancer.OnHealthCheck(to, OK); r.balancer.OnLoadReport(to, load) }})
		}
	}
	r.performed = r.performed[:0]
}

// simulateConnect schedules the result of an attempt. For 8 s of every 20 s, one server in eleven rejects attempts, one
// in thirteen lets them time out and one in seventeen fails them; all others establish them.
func (r *simulatedRun) simulateConnect(parameters runParameters, f FlowID, to ServerID) {
	took := time.Duration(5+r.rand.IntN(60)) * ms
	end := func(o Outcome) func() { return func() { r.balancer.OnEnded(f, o, took, false) } }
	isFaulty := r.now%(20*sec) < 8*sec
	switch {
	case isFaulty && to%11 == 3:
		r.due = append(r.due, pending{r.now + took, end(Full)})
	case isFaulty && to%13 == 5:
		r.due = append(r.due, pending{r.now + 300*ms, end(TimedOut)})
	case isFaulty && to%17 == 7:
		r.due = append(r.due, pending{r.now + took, end(Error)})
	default:
		lifetime := time.Duration(r.rand.Int64N(int64(2 * parameters.lifetime)))
		r.due = append(r.due, pending{r.now + took, func() {
			r.balancer.OnEstablished(f, took)
			r.connections[f] = to
			r.established = append(r.established, f)
		}}, pending{r.now + took + lifetime, func() { r.end(f, OK) }})
	}
}

// recordedRuns are the parameters of runs and the hashes of all their actions.
var recordedRuns = []struct {
	parameters runParameters
	want       string
}{
	{runParameters{
		seed: 1, servers: 1, balancers: 1, seconds: 40,
		groups: 3, flowsPerSecond: 40, lifetime: 4 * sec,
	}, "5b244d609305866b8e8031cc5c1bfeff"},
	{runParameters{
		seed: 2, servers: 5, balancers: 3, seconds: 40,
		groups: 12, flowsPerSecond: 60, lifetime: 10 * sec,
		crossing: 0.08,
	}, "ed09218f26a5c7dab6e433d9f6a52304"},
	{runParameters{
		seed: 3, servers: 20, balancers: 80, seconds: 40,
		groups: 40, flowsPerSecond: 60, lifetime: 10 * sec,
		quotas: true, crossing: 0.08,
	}, "f341cf5f5ffcc2ebe074ca1fb4b3dc3a"},
	{runParameters{
		seed: 4, servers: 20, balancers: 1, seconds: 40,
		groups: 200, flowsPerSecond: 100, lifetime: 10 * sec,
		healthChecks: true,
	}, "08de30b2b88ca9d0cbce9ba3b82bc8e7"},
	{runParameters{
		seed: 5, servers: 60, balancers: 300, seconds: 40,
		groups: 500, flowsPerSecond: 100, lifetime: 20 * sec,
		effect: IdempotentByKey, deduplication: DeduplicatedByZone, crossing: 0.02,
	}, "179d68a70078de96812e273b14941441"},
	{runParameters{
		seed: 6, servers: 60, balancers: 1, seconds: 40,
		groups: 20, flowsPerSecond: 100, lifetime: 30 * sec,
		effect: IdempotentByKey, deduplication: DeduplicatedByCell, quotas: true,
	}, "2b8b0c3496faedd643f1bd02abbad28b"},
	{runParameters{
		seed: 7, servers: 128, balancers: 10, seconds: 30,
		groups: 1000, flowsPerSecond: 100, lifetime: 30 * sec,
		effect: NotIdempotent, healthChecks: true, crossing: 0.05,
	}, "6c4fe0f5fde41f83e2e7f60eb28aa073"},
	{runParameters{
		seed: 8, servers: 128, balancers: 300, seconds: 30,
		groups: 60, flowsPerSecond: 100, lifetime: 30 * sec,
		quotas: true,
	}, "295389bd2f206df169f68c733752a34f"},
}

// With lists up to fullScanServers, the actions are the same, byte for byte, as those of an implementation that considers
// every server and makes every recheck, from which the hashes were recorded. A difference means that a decision changed,
// for instance because a recheck was skipped that would have migrated its flow.
func TestShortListsMatchRecordedRuns(t *testing.T) {
	actionCounts := map[string]int{}
	for _, c := range recordedRuns {
		t.Run(fmt.Sprintf("%d servers, seed %d", c.parameters.servers, c.parameters.seed), func(t *testing.T) {
			r := simulateRun(t, c.parameters)
			if r.flows < 100 || len(r.actionLog) < 1000 {
				t.Fatalf("%d flows, %d bytes of actions, want at least 100 and 1000: the run hardly exercises the decisions", r.flows, len(r.actionLog))
			}
			for _, word := range recordedActions {
				actionCounts[word] += bytes.Count(r.actionLog, []byte(" "+word+" "))
			}
			if got := fmt.Sprintf("%x", sha256.Sum256(r.actionLog))[:32]; got != c.want {
				t.Errorf("hash of the actions is %s, recorded %s", got, c.want)
			}
		})
	}
	for _, word := range recordedActions {
		if actionCounts[word] < 50 {
			t.Errorf("%d times %q in all runs, want at least 50: the runs hardly exercise that decision", actionCounts[word], word)
		}
	}
	t.Logf("actions of all runs: %v", actionCounts)
}

// recordedActions are the actions that the runs must contain.
var recordedActions = []string{"connect", "reject", "abort", "move", "probe"}
