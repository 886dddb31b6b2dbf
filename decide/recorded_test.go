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

// recording is a simulated run that answers the actions: attempts succeed, fail or time out by their server,
// servers are late, drain, restart and vanish, and timers fire.
type recording struct {
	*harness
	rand        *rand.Rand
	servers     int
	now         time.Duration
	due         []pending
	connections map[FlowID]ServerID
	established []FlowID // the keys of connections, in the order in which they were established
	flows       int
	hash        []byte
}

// pending is an event at a time.
type pending struct {
	at    time.Duration
	event func()
}

// recordedDay is the parameters of a recording.
type recordedDay struct {
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

func record(t *testing.T, day recordedDay) *recording {
	r := &recording{
		harness:     &harness{t: t, targets: map[FlowID]ServerID{}, attemptsTo: map[ServerID]int{}},
		servers:     day.servers,
		rand:        rand.New(rand.NewPCG(day.seed, 99)),
		connections: map[FlowID]ServerID{},
	}
	r.balancer = New(day.seed, r.harness)
	r.balancer.ConfigureFlows(3, sec)
	r.balancer.AddService(serviceType(day.effect, day.deduplication))
	r.balancer.ConfigureSlowStart(slowStartRule(day.balancers))
	r.balancer.ConfigureHealthChecks(day.healthChecks)
	r.balancer.ConfigurePlacement(day.crossing, 0.02, true)
	if day.quotas {
		r.balancer.AddCustomer(float64(day.flowsPerSecond) * 4)
		r.balancer.AddCustomer(float64(day.flowsPerSecond))
	}
	r.balancer.ConfigureEndpoints(EndpointSettings{Zone: "z0", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 100 * ms})
	r.setTime(0)
	r.updateList(CachedUpdate, Ready, day.servers)
	for step := range day.seconds * 20 {
		r.now = time.Duration(step) * 50 * ms
		r.setTime(r.now)
		r.runDue()
		r.injectFaults()
		for range r.rand.IntN(day.flowsPerSecond/10 + 1) {
			r.arrive(day)
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
		r.simulateReplies(day)
	}
	return r
}

// arrive brings one flow.
func (r *recording) arrive(day recordedDay) {
	r.flows++
	customer := NoCustomer
	if day.quotas {
		customer = CustomerID(r.rand.IntN(2))
	}
	group := GroupKey("")
	if n := r.rand.IntN(day.groups + 1); n > 0 {
		group = GroupKey(strconv.Itoa(n * n / day.groups))
	}
	r.balancer.OnFlow(FlowRequest{ID: FlowID(strconv.Itoa(r.flows)), Customer: customer, Group: group, Timeout: 900 * ms})
}

// injectFaults changes the list now and then, makes servers late and ends flows.
func (r *recording) injectFaults() {
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
func (r *recording) end(f FlowID, o Outcome) {
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
func (r *recording) runDue() {
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

// simulateReplies schedules the results of the actions since the last call, and adds the actions to the hash.
func (r *recording) simulateReplies(day recordedDay) {
	for _, line := range r.performed {
		r.hash = fmt.Appendf(r.hash, "%d %s\n", r.now, line)
		var f FlowID
		var to ServerID
		if n, _ := fmt.Sscanf(line, "connect %s %d", &f, &to); n == 2 {
			r.simulateConnect(day, f, to)
		} else if n, _ := fmt.Sscanf(line, "move %s", &f); n == 1 {
			r.due = append(r.due, pending{r.now + 100*ms, func() { r.end(f, OK) }})
		} else if n, _ := fmt.Sscanf(line, "probe %d", &to); n == 1 {
			load := r.rand.Float64() * 1.2
			r.due = append(r.due, pending{r.now + 30*ms, func() { r.balancer.OnHealthCheck(to, OK); r.balancer.OnLoadReport(to, load) }})
		}
	}
	r.performed = r.performed[:0]
}

// simulateConnect schedules the end of an attempt: one server in eleven rejects, one in thirteen times out, one in
// seventeen fails.
func (r *recording) simulateConnect(day recordedDay, f FlowID, to ServerID) {
	took := time.Duration(5+r.rand.IntN(60)) * ms
	end := func(o Outcome) func() { return func() { r.balancer.OnEnded(f, o, took, false) } }
	bad := r.now%(20*sec) < 8*sec
	switch {
	case bad && to%11 == 3:
		r.due = append(r.due, pending{r.now + took, end(Full)})
	case bad && to%13 == 5:
		r.due = append(r.due, pending{r.now + 300*ms, end(TimedOut)})
	case bad && to%17 == 7:
		r.due = append(r.due, pending{r.now + took, end(Error)})
	default:
		lifetime := time.Duration(r.rand.Int64N(int64(2 * day.lifetime)))
		r.due = append(r.due, pending{r.now + took, func() {
			r.balancer.OnEstablished(f, took)
			r.connections[f] = to
			r.established = append(r.established, f)
		}}, pending{r.now + took + lifetime, func() { r.end(f, OK) }})
	}
}

// recordedDays are days and the hashes of all actions on them.
var recordedDays = []struct {
	day  recordedDay
	want string
}{
	{recordedDay{
		seed: 1, servers: 1, balancers: 1, seconds: 40,
		groups: 3, flowsPerSecond: 40, lifetime: 4 * sec,
	}, "5b244d609305866b8e8031cc5c1bfeff"},
	{recordedDay{
		seed: 2, servers: 5, balancers: 3, seconds: 40,
		groups: 12, flowsPerSecond: 60, lifetime: 10 * sec,
		crossing: 0.08,
	}, "ed09218f26a5c7dab6e433d9f6a52304"},
	{recordedDay{
		seed: 3, servers: 20, balancers: 80, seconds: 40,
		groups: 40, flowsPerSecond: 60, lifetime: 10 * sec,
		quotas: true, crossing: 0.08,
	}, "f341cf5f5ffcc2ebe074ca1fb4b3dc3a"},
	{recordedDay{
		seed: 4, servers: 20, balancers: 1, seconds: 40,
		groups: 200, flowsPerSecond: 100, lifetime: 10 * sec,
		healthChecks: true,
	}, "08de30b2b88ca9d0cbce9ba3b82bc8e7"},
	{recordedDay{
		seed: 5, servers: 60, balancers: 300, seconds: 40,
		groups: 500, flowsPerSecond: 100, lifetime: 20 * sec,
		effect: IdempotentByKey, deduplication: DeduplicatedByZone, crossing: 0.02,
	}, "179d68a70078de96812e273b14941441"},
	{recordedDay{
		seed: 6, servers: 60, balancers: 1, seconds: 40,
		groups: 20, flowsPerSecond: 100, lifetime: 30 * sec,
		effect: IdempotentByKey, deduplication: DeduplicatedByCell, quotas: true,
	}, "2b8b0c3496faedd643f1bd02abbad28b"},
	{recordedDay{
		seed: 7, servers: 128, balancers: 10, seconds: 30,
		groups: 1000, flowsPerSecond: 100, lifetime: 30 * sec,
		effect: NotIdempotent, healthChecks: true, crossing: 0.05,
	}, "6c4fe0f5fde41f83e2e7f60eb28aa073"},
	{recordedDay{
		seed: 8, servers: 128, balancers: 300, seconds: 30,
		groups: 60, flowsPerSecond: 100, lifetime: 30 * sec,
		quotas: true,
	}, "295389bd2f206df169f68c733752a34f"},
}

// The hashes are of all actions of decisions that look at every server and make every recheck. With lists up to
// fullScanServers the actions are the same, byte for byte: rechecks that are skipped could not have migrated anything.
func TestShortListsMatchRecordedDays(t *testing.T) {
	did := map[string]int{}
	for _, c := range recordedDays {
		t.Run(fmt.Sprintf("%d servers, seed %d", c.day.servers, c.day.seed), func(t *testing.T) {
			r := record(t, c.day)
			if r.flows < 100 || len(r.hash) < 1000 {
				t.Fatalf("%d flows, %d bytes of actions: the recording hardly exercises the decisions", r.flows, len(r.hash))
			}
			for _, word := range recordedActions {
				did[word] += bytes.Count(r.hash, []byte(" "+word+" "))
			}
			if got := fmt.Sprintf("%x", sha256.Sum256(r.hash))[:32]; got != c.want {
				t.Errorf("actions hash to %s, recorded %s", got, c.want)
			}
		})
	}
	for _, word := range recordedActions {
		if did[word] < 50 {
			t.Errorf("%d times %q in all days: the recordings hardly exercise that decision", did[word], word)
		}
	}
	t.Logf("actions of all days: %v", did)
}

// recordedActions are the actions that the recordings must contain.
var recordedActions = []string{"connect", "reject", "abort", "move", "probe"}
