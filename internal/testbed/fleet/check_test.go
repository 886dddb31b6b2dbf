package fleet

import (
	"testing"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/sockets"
)

const checkedPlan = `name = "checked"
length = "20s"
[fleet]
servers = 3
balancers = 3
[process]
peers = true
[[fault]]
as = "called"
kind = "call"
path = "/control/status"
who = ["b0"]
at = "2s"
[[fault]]
as = "never"
kind = "kill"
who = ["b0"]
at = "19s"
[[must]]
`

const (
	second    = time.Second
	justAfter = time.Nanosecond
)

// checkedRun is a run in which the call has come, with its requirement and a result for it.
func checkedRun(t *testing.T, must string) (*fleetRun, requirement, *Result) {
	t.Helper()
	plan, err := Read("checked.toml", []byte(checkedPlan+must))
	if err != nil {
		t.Fatal(err)
	}
	run := &fleetRun{
		plan:         plan,
		world:        plan.Experiment.Day(1).World,
		driver:       &sockets.Driver{Tally: sockets.Tally{HealthChecksAt: map[simulation.ServerID][]time.Duration{}}},
		names:        &nameResolver{random: simulation.RandomSource(1, "cast", 0), balancers: 3, servers: 3},
		faultTimes:   map[string]time.Duration{"called": 2 * time.Second},
		callAnswers:  map[string][]callAnswer{},
		leftOutSpans: map[string][]Span{},
		faultySpans:  map[int][]Span{},
		descriptors:  map[string]int{},
	}
	for i := range 3 {
		run.processes = append(run.processes, &process{id: simulation.BalancerID(i), name: balancerName(i), state: running})
	}
	return run, plan.requirements[0], &Result{}
}

// answers are events of b1 that answers flows at times.
func answers(answer invariants.Answer, times ...time.Duration) (events []invariants.Event) {
	for i, at := range times {
		events = append(events, invariants.Event{At: at, Kind: invariants.FlowAnswered, Balancer: 1, Flow: invariants.Flow(i), Answer: answer})
	}
	return events
}

// connects are events of b1 that connects to a server at times.
func connects(server invariants.Server, times ...time.Duration) (events []invariants.Event) {
	for _, at := range times {
		events = append(events, invariants.Event{At: at, Kind: invariants.ConnectSent, Balancer: 1, Server: server})
	}
	return events
}

// accepted are events of b1 that accepts so many flows.
func accepted(count int, at time.Duration) (events []invariants.Event) {
	for i := range count {
		events = append(events, invariants.Event{At: at, Kind: invariants.FlowAccepted, Balancer: 1, Flow: invariants.Flow(i)})
	}
	return events
}

func withEvents(lists ...[]invariants.Event) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) {
		for _, events := range lists {
			r.events = append(r.events, events...)
		}
	}
}

// outSpan has the front leave b1 out for a time.
func outSpan(from, to time.Duration) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) { r.leftOutSpans["b1"] = []Span{{from, to, "left out"}} }
}

func callAnswered(yes ...bool) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) {
		for _, isYes := range yes {
			r.callAnswers["called"] = append(r.callAnswers["called"], callAnswer{balancer: "b0", isYes: isYes})
		}
	}
}

func healthChecksOfFirstServer(times ...time.Duration) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) { r.driver.Tally.HealthChecksAt[0] = times }
}

// sawGone has b0 see b1 as gone in a time, and as alive before and after it.
func sawGone(from, to time.Duration, spans ...Span) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) {
		states := func(state string) map[string]string { return map[string]string{"b1": state} }
		r.processes[0].views = []memberView{{0, states("alive")}, {from, states("gone")}, {to, states("alive")}}
		r.processes[0].spans = spans
	}
}

func holdsDescriptors(count int) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) { r.descriptors["b1"] = count }
}

func nothing(*fleetRun, *Result) {}

// checkCase is a run, what must hold, and whether it does.
type checkCase struct {
	name    string
	must    string
	prepare func(*fleetRun, *Result)
	holds   bool
}

// testChecks checks that each kind of requirement holds up to its bound, and no further.
func testChecks(t *testing.T, cases []checkCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run, requirement, result := checkedRun(t, c.must)
			c.prepare(run, result)
			if verdict := run.check(requirement, result); verdict.Holds != c.holds || verdict.Seen == "" {
				t.Errorf("%s: holds %v, seen %q", verdict.Requirement, verdict.Holds, verdict.Seen)
			}
		})
	}
}

func TestChecksOfTheFront(t *testing.T) {
	const (
		isOut  = "kind = \"left-out\"\nwho = [\"b1\"]\nafter = \"called\"\nwithin = \"2s\""
		isBack = "kind = \"taken-back\"\nwho = [\"b1\"]\nafter = \"called\"\nwithin = \"2s\""
	)
	testChecks(t, []checkCase{
		{"left out in time", isOut, outSpan(4*second, 5*second), true},
		{"left out too late", isOut, outSpan(4*second+justAfter, 5*second), false},
		{"left out before the fault only", isOut, outSpan(second, 3*second), false},
		{"never left out", isOut, nothing, false},
		{"taken back in time", isBack, outSpan(second, 4*second), true},
		{"taken back too late", isBack, outSpan(second, 4*second+justAfter), false},
		{"not taken back", isBack, outSpan(3*second, 0), false},
	})
}

func TestChecksOfFlows(t *testing.T) {
	const (
		servesTwo    = "kind = \"serves\"\nwho = [\"b1\"]\nfrom = \"1s\"\nto = \"3s\"\nat-least = 2"
		halfUp       = "kind = \"established\"\nto = \"5s\"\nat-least = 0.5"
		someAccepted = "kind = \"established\"\nto = \"5s\""
		fewNeverUp   = "kind = \"never-up\"\nat-most = 0.1"
		afterNoFault = "kind = \"serves\"\nafter = \"never\""
		ofNoBalancer = "kind = \"serves\"\nwho = [\"s-001\"]"
	)
	neverUp := func(count int) func(*fleetRun, *Result) {
		return func(_ *fleetRun, result *Result) { result.Figures = Figures{Clients: 100, NeverEstablished: count} }
	}
	established := func(times ...time.Duration) []invariants.Event { return answers(invariants.Established, times...) }
	testChecks(t, []checkCase{
		{"serves from the beginning to before the end", servesTwo, withEvents(established(second, 3*second-justAfter)), true},
		{"serves too late", servesTwo, withEvents(established(second, 3*second)), false},
		{"rejects", servesTwo, withEvents(answers(invariants.Rejected, second, 2*second)), false},
		{"half established, one after the end", halfUp, withEvents(accepted(2, second), established(6*second)), true},
		{"a third established", halfUp, withEvents(accepted(3, second), established(2*second)), false},
		{"no flow accepted in time", someAccepted, withEvents(accepted(2, 5*second), established(6*second, 6*second)), false},
		{"a tenth never up", fewNeverUp, neverUp(10), true},
		{"more than a tenth never up", fewNeverUp, neverUp(11), false},
		{"a fault that never came", afterNoFault, nothing, false},
		{"a name of no balancer", ofNoBalancer, nothing, false},
	})
}

func TestChecksOfServers(t *testing.T) {
	const (
		usesFaulty   = "kind = \"uses\"\nwho = [\"b1\"]\nservers = [\"struck\"]\nfrom = \"1s\"\nat-least = 1"
		avoidsFirst  = "kind = \"avoids\"\nwho = [\"b1\"]\nservers = [\"s-000\"]\nat-most = 1"
		twoOrThree   = "kind = \"probes\"\nat-least = 2\nat-most = 3"
		oftenChecked = "kind = \"probed\"\nservers = [\"s-000\"]\nfrom = \"1s\"\nto = \"10s\"\nwithin = \"5s\""
	)
	faultyFrom := func(from time.Duration) func(*fleetRun, *Result) {
		return func(r *fleetRun, _ *Result) {
			r.faultySpans[2] = []Span{{From: from}}
			r.events = connects(2, 2*second)
		}
	}
	testChecks(t, []checkCase{
		{"uses a server with a fault", usesFaulty, faultyFrom(1500 * time.Millisecond), true},
		{"uses a server whose fault begins later", usesFaulty, faultyFrom(1500*time.Millisecond + justAfter), false},
		{"connects once", avoidsFirst, withEvents(connects(0, second), connects(1, second, second)), true},
		{"connects twice", avoidsFirst, withEvents(connects(0, second, second)), false},
		{"as few health checks as allowed", twoOrThree, healthChecksOfFirstServer(second, second), true},
		{"as many health checks as allowed", twoOrThree, healthChecksOfFirstServer(second, second, second), true},
		{"too few health checks", twoOrThree, healthChecksOfFirstServer(second), false},
		{"too many health checks", twoOrThree, healthChecksOfFirstServer(second, second, second, second), false},
		{"checked often enough", oftenChecked, healthChecksOfFirstServer(6 * second), true},
		{"not checked at the beginning", oftenChecked, healthChecksOfFirstServer(6*second + justAfter), false},
		{"not checked at the end", oftenChecked, healthChecksOfFirstServer(2*second, 5*second-justAfter), false},
	})
}

func TestChecksOfMembers(t *testing.T) {
	const (
		seesGone   = "kind = \"sees\"\nwho = [\"b0\"]\nwhom = [\"b1\"]\nstatus = \"gone\"\nfrom = \"1s\"\nwithin = \"2s\""
		seesAlive  = "kind = \"sees\"\nwho = [\"b0\"]\nwhom = [\"b1\"]\nstatus = \"alive\"\nfrom = \"1s\"\nwithin = \"2s\""
		keepsAlive = "kind = \"keeps\"\nwho = [\"b0\"]\nwhom = [\"b1\"]\nfrom = \"1s\"\nto = \"3s\""
	)
	testChecks(t, []checkCase{
		{"sees in time", seesGone, sawGone(3*second-justAfter, 9*second), true},
		{"sees too late", seesGone, sawGone(3*second, 9*second), false},
		{"saw before the beginning", seesGone, sawGone(0, second), false},
		{"keeps", keepsAlive, sawGone(0, second), true},
		{"gone for a moment", keepsAlive, sawGone(2*second, 2*second+justAfter), false},
		{"gone after the end", keepsAlive, sawGone(3*second, 9*second), true},
		{"nobody ran all the time", seesAlive, sawGone(9*second, 9*second, Span{2 * second, 0, string(frozen)}), false},
		{"a starved process sees", seesAlive, sawGone(9*second, 9*second, Span{2 * second, 0, string(starved)}), true},
	})
}

func TestChecksOfProcesses(t *testing.T) {
	const (
		answeredYes = "kind = \"answered\"\nafter = \"called\""
		answeredNo  = "kind = \"answered\"\nafter = \"called\"\nsays = \"no\""
		tenAtMost   = "kind = \"descriptors\"\nat-most = 10"
		costsTen    = "kind = \"costs\"\nat-most = 10"
	)
	costs := func(cost invariants.Cost) func(*fleetRun, *Result) {
		return func(_ *fleetRun, result *Result) {
			result.Processes = []Process{{Cost: invariants.Cost{Cut: 1}}, {Cost: cost}}
		}
	}
	uncounted := invariants.Cost{Unanswered: 2, Expired: 3, SentLate: 4, AnsweredLate: 5, AcceptedFrozen: 6}
	testChecks(t, []checkCase{
		{"answered yes", answeredYes, callAnswered(true), true},
		{"one of two answered no", answeredYes, callAnswered(true, false), false},
		{"the other of two answered no", answeredYes, callAnswered(false, true), false},
		{"not answered", answeredYes, nothing, false},
		{"answered no", answeredNo, callAnswered(false), true},
		{"answered yes in place of no", answeredNo, callAnswered(true), false},
		{"as many descriptors as allowed", tenAtMost, holdsDescriptors(10), true},
		{"too many descriptors", tenAtMost, holdsDescriptors(11), false},
		{"costs as much as allowed, beside what does not count", costsTen, costs(uncounted), true},
		{"costs too much", costsTen, costs(invariants.Cost{Unanswered: 2, Expired: 3, SentLate: 5}), false},
	})
}
