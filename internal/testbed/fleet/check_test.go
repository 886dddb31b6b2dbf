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

// checkedRun returns a run of checkedPlan in which the call was made, with the requirement and an empty result.
func checkedRun(t *testing.T, requirementText string) (*fleetRun, requirement, *Result) {
	t.Helper()
	plan, err := Read("checked.toml", []byte(checkedPlan+requirementText))
	if err != nil {
		t.Fatal(err)
	}
	run := &fleetRun{
		plan:          plan,
		world:         plan.Experiment.Day(1).World,
		driver:        &sockets.Driver{Counts: sockets.Counts{HealthChecksAt: map[simulation.ServerID][]time.Duration{}}},
		names:         &nameResolver{random: simulation.RandomSource(1, "cast", 0), balancers: 3, servers: 3},
		faultTimes:    map[string]time.Duration{"called": 2 * time.Second},
		callResponses: map[string][]callResponse{},
		leftOutSpans:  map[string][]Span{},
		faultySpans:   map[int][]Span{},
		descriptors:   map[string]int{},
	}
	for i := range 3 {
		run.processes = append(run.processes, &process{id: simulation.BalancerID(i), name: balancerName(i), state: running})
	}
	return run, plan.requirements[0], &Result{}
}

// answerEvents returns events in which b1 answers one flow at each time.
func answerEvents(answer invariants.Answer, times ...time.Duration) (events []invariants.Event) {
	for i, at := range times {
		events = append(events, invariants.Event{At: at, Kind: invariants.FlowAnswered, Balancer: 1, Flow: invariants.Flow(i), Answer: answer})
	}
	return events
}

// connectEvents returns events in which b1 connects to a server at each time.
func connectEvents(server invariants.Server, times ...time.Duration) (events []invariants.Event) {
	for _, at := range times {
		events = append(events, invariants.Event{At: at, Kind: invariants.ConnectSent, Balancer: 1, Server: server})
	}
	return events
}

// acceptEvents returns events in which b1 accepts count flows.
func acceptEvents(count int, at time.Duration) (events []invariants.Event) {
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

// withLeftOutSpan makes the front leave b1 out from one time to another.
func withLeftOutSpan(from, to time.Duration) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) { r.leftOutSpans["b1"] = []Span{{from, to, "left out"}} }
}

func withCallResponses(areSuccesses ...bool) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) {
		for _, isSuccess := range areSuccesses {
			r.callResponses["called"] = append(r.callResponses["called"], callResponse{balancer: "b0", isSuccess: isSuccess})
		}
	}
}

func withHealthChecks(times ...time.Duration) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) { r.driver.Counts.HealthChecksAt[0] = times }
}

// withGoneMember makes b0 see b1 as gone from one time to another, and as alive before and after.
func withGoneMember(from, to time.Duration, spans ...Span) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) {
		states := func(state string) map[string]string { return map[string]string{"b1": state} }
		r.processes[0].views = []memberView{{0, states("alive")}, {from, states("gone")}, {to, states("alive")}}
		r.processes[0].spans = spans
	}
}

func withDescriptors(count int) func(*fleetRun, *Result) {
	return func(r *fleetRun, _ *Result) { r.descriptors["b1"] = count }
}

func withoutEvents(*fleetRun, *Result) {}

// checkCase is a run with a requirement, and whether the requirement holds.
type checkCase struct {
	name        string
	requirement string
	prepare     func(*fleetRun, *Result)
	holds       bool
}

// testChecks checks the verdicts of cases, which probe each kind of requirement at its bound and just beyond it.
func testChecks(t *testing.T, cases []checkCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run, requirement, result := checkedRun(t, c.requirement)
			c.prepare(run, result)
			if verdict := run.check(requirement, result); verdict.Holds != c.holds || verdict.Seen == "" {
				t.Errorf("%s: holds %v, want %v; observed %q, which must not be empty", verdict.Requirement, verdict.Holds, c.holds, verdict.Seen)
			}
		})
	}
}

func TestFrontRequirements(t *testing.T) {
	const (
		leftOutInTime   = "kind = \"left-out\"\nwho = [\"b1\"]\nafter = \"called\"\nwithin = \"2s\""
		takenBackInTime = "kind = \"taken-back\"\nwho = [\"b1\"]\nafter = \"called\"\nwithin = \"2s\""
	)
	testChecks(t, []checkCase{
		{"left out in time", leftOutInTime, withLeftOutSpan(4*second, 5*second), true},
		{"left out too late", leftOutInTime, withLeftOutSpan(4*second+justAfter, 5*second), false},
		{"left out before the fault only", leftOutInTime, withLeftOutSpan(second, 3*second), false},
		{"never left out", leftOutInTime, withoutEvents, false},
		{"taken back in time", takenBackInTime, withLeftOutSpan(second, 4*second), true},
		{"taken back too late", takenBackInTime, withLeftOutSpan(second, 4*second+justAfter), false},
		{"not taken back", takenBackInTime, withLeftOutSpan(3*second, 0), false},
	})
}

func TestFlowRequirements(t *testing.T) {
	const (
		servesTwo           = "kind = \"serves\"\nwho = [\"b1\"]\nfrom = \"1s\"\nto = \"3s\"\nat-least = 2"
		halfEstablished     = "kind = \"established\"\nto = \"5s\"\nat-least = 0.5"
		someAccepted        = "kind = \"established\"\nto = \"5s\""
		fewNeverEstablished = "kind = \"never-up\"\nat-most = 0.1"
		afterNoFault        = "kind = \"serves\"\nafter = \"never\""
		ofNoBalancer        = "kind = \"serves\"\nwho = [\"s-001\"]"
	)
	withNeverEstablished := func(count int) func(*fleetRun, *Result) {
		return func(_ *fleetRun, result *Result) { result.Figures = Figures{Clients: 100, NeverEstablished: count} }
	}
	established := func(times ...time.Duration) []invariants.Event { return answerEvents(invariants.Established, times...) }
	testChecks(t, []checkCase{
		{"serves from the beginning to before the end", servesTwo, withEvents(established(second, 3*second-justAfter)), true},
		{"serves too late", servesTwo, withEvents(established(second, 3*second)), false},
		{"rejects", servesTwo, withEvents(answerEvents(invariants.Rejected, second, 2*second)), false},
		{"half established, one after the end", halfEstablished, withEvents(acceptEvents(2, second), established(6*second)), true},
		{"a third established", halfEstablished, withEvents(acceptEvents(3, second), established(2*second)), false},
		{"no flow accepted in time", someAccepted, withEvents(acceptEvents(2, 5*second), established(6*second, 6*second)), false},
		{"a tenth never up", fewNeverEstablished, withNeverEstablished(10), true},
		{"more than a tenth never up", fewNeverEstablished, withNeverEstablished(11), false},
		{"a fault that was never started", afterNoFault, withoutEvents, false},
		{"a name that is no balancer's", ofNoBalancer, withoutEvents, false},
	})
}

func TestServerRequirements(t *testing.T) {
	const (
		usesFaulty   = "kind = \"uses\"\nwho = [\"b1\"]\nservers = [\"struck\"]\nfrom = \"1s\"\nat-least = 1"
		avoidsFirst  = "kind = \"avoids\"\nwho = [\"b1\"]\nservers = [\"s-000\"]\nat-most = 1"
		twoOrThree   = "kind = \"probes\"\nat-least = 2\nat-most = 3"
		oftenChecked = "kind = \"probed\"\nservers = [\"s-000\"]\nfrom = \"1s\"\nto = \"10s\"\nwithin = \"5s\""
	)
	faultyFrom := func(from time.Duration) func(*fleetRun, *Result) {
		return func(r *fleetRun, _ *Result) {
			r.faultySpans[2] = []Span{{From: from}}
			r.events = connectEvents(2, 2*second)
		}
	}
	testChecks(t, []checkCase{
		{"uses a server with a fault", usesFaulty, faultyFrom(1500 * time.Millisecond), true},
		{"uses a server whose fault begins later", usesFaulty, faultyFrom(1500*time.Millisecond + justAfter), false},
		{"connects once", avoidsFirst, withEvents(connectEvents(0, second), connectEvents(1, second, second)), true},
		{"connects twice", avoidsFirst, withEvents(connectEvents(0, second, second)), false},
		{"as few health checks as allowed", twoOrThree, withHealthChecks(second, second), true},
		{"as many health checks as allowed", twoOrThree, withHealthChecks(second, second, second), true},
		{"too few health checks", twoOrThree, withHealthChecks(second), false},
		{"too many health checks", twoOrThree, withHealthChecks(second, second, second, second), false},
		{"checked often enough", oftenChecked, withHealthChecks(6 * second), true},
		{"not checked at the beginning", oftenChecked, withHealthChecks(6*second + justAfter), false},
		{"not checked at the end", oftenChecked, withHealthChecks(2*second, 5*second-justAfter), false},
	})
}

func TestMemberRequirements(t *testing.T) {
	const (
		seesGone   = "kind = \"sees\"\nwho = [\"b0\"]\nwhom = [\"b1\"]\nstatus = \"gone\"\nfrom = \"1s\"\nwithin = \"2s\""
		seesAlive  = "kind = \"sees\"\nwho = [\"b0\"]\nwhom = [\"b1\"]\nstatus = \"alive\"\nfrom = \"1s\"\nwithin = \"2s\""
		keepsAlive = "kind = \"keeps\"\nwho = [\"b0\"]\nwhom = [\"b1\"]\nfrom = \"1s\"\nto = \"3s\""
	)
	testChecks(t, []checkCase{
		{"sees in time", seesGone, withGoneMember(3*second-justAfter, 9*second), true},
		{"sees too late", seesGone, withGoneMember(3*second, 9*second), false},
		{"saw before the beginning", seesGone, withGoneMember(0, second), false},
		{"keeps", keepsAlive, withGoneMember(0, second), true},
		{"gone for a moment", keepsAlive, withGoneMember(2*second, 2*second+justAfter), false},
		{"gone after the end", keepsAlive, withGoneMember(3*second, 9*second), true},
		{"no balancer ran during the whole period", seesAlive, withGoneMember(9*second, 9*second, Span{2 * second, 0, string(frozen)}), false},
		{"a starved process sees", seesAlive, withGoneMember(9*second, 9*second, Span{2 * second, 0, string(starved)}), true},
	})
}

func TestProcessRequirements(t *testing.T) {
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
	otherCosts := invariants.Cost{Unanswered: 2, Expired: 3, SentLate: 4, AnsweredLate: 5, AcceptedFrozen: 6}
	testChecks(t, []checkCase{
		{"answered yes", answeredYes, withCallResponses(true), true},
		{"one of two answered no", answeredYes, withCallResponses(true, false), false},
		{"the other of two answered no", answeredYes, withCallResponses(false, true), false},
		{"not answered", answeredYes, withoutEvents, false},
		{"answered no", answeredNo, withCallResponses(false), true},
		{"answered yes in place of no", answeredNo, withCallResponses(true), false},
		{"as many descriptors as allowed", tenAtMost, withDescriptors(10), true},
		{"too many descriptors", tenAtMost, withDescriptors(11), false},
		{"costs as much as allowed, with further costs that don't count", costsTen, costs(otherCosts), true},
		{"costs too much", costsTen, costs(invariants.Cost{Unanswered: 2, Expired: 3, SentLate: 5}), false},
	})
}
