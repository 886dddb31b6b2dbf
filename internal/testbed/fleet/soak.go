package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"yardwinch/internal/simulation"
)

// A soak runs timelines that are drawn from seeds: planned restarts with the kill at its earliest, signals in a row, idle
// clients, faults of discovery and of servers, directories that fail, processes that are paused. A plan is written as the
// text of a plan file, which runs again as any other. A seed's draws have a fixed order: what is drawn in between changes
// the plans of all seeds.

const (
	soakLength    = 14 * time.Second
	soakBalancers = 4
	soakServers   = 6
	pauseLength   = 150 * time.Millisecond // a process may lose its core for this long at any time
	pauseInterval = 3 * time.Second
	lateAnswer    = 500 * time.Millisecond  // an answer that is this late only earns nothing; later it is lost
	minDowntime   = 1300 * time.Millisecond // or the front doesn't notice, and can't take it back
	readyTimeout  = 10 * time.Second
	// That a process may hold at the end: those for itself, and pairs for established connections.
	soakDescriptors = 200
)

// Names in a soak's plan.
const (
	restartedFault = "restarted"
	killedFault    = "killed"
	disabledFault  = "banned" // an operator's call
	disabledServer = "s-005"
)

// soakShape is what a seed draws before the timeline.
type soakShape struct {
	deadline, window time.Duration
	effect, group    string
	mustSubscribe    bool
}

var (
	soakDeadlines = []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 1800 * time.Millisecond}
	soakWindows   = []time.Duration{300 * time.Millisecond, 5 * time.Second}
	soakEffects   = []string{"free", "guarded", "single_shot"}
	soakGroups    = []string{"all", "zone", "cell"}

	// Faults of servers or of the endpoint list, without their times.
	soakModelFaults = []settings{
		{{"kind", "vanish"}, {"share", 0.3}},
		{{"kind", "crash"}, {"share", 0.3}},
		{{"kind", "deploy"}, {"share", 0.5}, {"strength", 0.2}, {"extra", "1s"}},
		{{"kind", "slow"}, {"share", 0.3}, {"strength", 20}},
		{{"kind", "errors"}, {"share", 0.3}, {"strength", 0.5}},
		{{"kind", "list_dark"}},
		{{"kind", "list_stale"}, {"extra", "2s"}},
		{{"kind", "reconnect"}, {"share", 0.5}},
	}
	// Conditions of paths.
	soakConditions = []settings{
		{{"cut", true}},
		{{"mute", true}},
		{{"delay", "300ms"}, {"jitter", "300ms"}},
		{{"rate", 2000}},
	}
)

// SoakPlan is the text of a seed's plan.
func SoakPlan(seed uint64) string {
	random := simulation.RandomSource(seed, "soak", 0)
	shape := soakShape{
		deadline:      pick(random, soakDeadlines),
		window:        pick(random, soakWindows),
		effect:        pick(random, soakEffects),
		group:         pick(random, soakGroups),
		mustSubscribe: random.IntN(2) == 0,
	}
	var text strings.Builder
	shape.write(&text, seed)
	writeModelFaults(&text, random)
	writeRestarts(&text, random)
	writeDisturbances(&text, random)
	writeSoakRequirements(&text)
	return text.String()
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func (s soakShape) write(to *strings.Builder, seed uint64) {
	mode := "push"
	if s.mustSubscribe {
		mode = "ask"
	}
	about := fmt.Sprintf("Drawn from seed %d: restarts, signals, crowds, failing folders and troubles of servers and discovery.", seed)
	writeSettings(to, settings{{"name", fmt.Sprintf("soak-%d", seed)}, {"about", about}, {"length", soakLength}})
	writeTable(to, "[fleet]", settings{{"servers", soakServers}, {"balancers", soakBalancers}})
	writeTable(to, "[load]", settings{{"share", 0.25}, {"per-core", 16}, {"life", "2s"}})
	writeTable(to, "[[service]]", settings{
		{"name", "live"},
		{"setup-target", s.deadline / 3},
		{"connect-timeout", s.deadline},
		{"effect", s.effect},
		{"group", s.group},
		{"window", s.window},
	})
	writeTable(to, "[list]", settings{{"mode", mode}, {"notice", "400ms"}, {"silent-notice", "4s"}, {"add", "300ms"}})
	writeTable(to, "[judge]", settings{{"late", lateAnswer}})
	writeTable(to, "[front]", settings{{"ask-every", "200ms"}, {"wait", "400ms"}, {"misses", 2}})
}

// writeModelFaults draws two faults of servers or of the endpoint list.
func writeModelFaults(to *strings.Builder, random *rand.Rand) {
	for range 2 {
		fault := pick(random, soakModelFaults)
		writeTable(to, modelFaultEntry, slices.Concat(fault, settings{
			{"start", between(random, time.Second, 6*time.Second)},
			{"length", between(random, time.Second, 5*time.Second)},
		}))
	}
}

// writeRestarts restarts one process in order and kills another, each with signals in a row.
func writeRestarts(to *strings.Builder, random *rand.Rand) {
	writeTable(to, faultEntry, settings{
		{"as", restartedFault},
		{"kind", faultTerminate},
		{"who", []string{"b0"}},
		{"at", between(random, 1500*time.Millisecond, 3*time.Second)},
		{"for", between(random, minDowntime, 2*time.Second)},
		{"times", 1 + random.IntN(30)},
	})
	writeTable(to, faultEntry, settings{
		{"as", killedFault},
		{"kind", faultKill},
		{"who", []string{"b1"}},
		{"at", between(random, 2*time.Second, 5*time.Second)},
		{"for", between(random, minDowntime, 2*time.Second)},
		{"times", 1 + random.IntN(30)},
	})
}

// writeDisturbances draws what happens to the processes that go on.
func writeDisturbances(to *strings.Builder, random *rand.Rand) {
	writeTable(to, faultEntry, settings{
		{"kind", faultSIGHUP},
		{"who", []string{"b2"}},
		{"at", disturbanceTime(random)},
		{"for", between(random, 0, 2*time.Second)},
		{"times", 1 + random.IntN(50)},
	})
	writePauses(to, random)
	writeDisableInFailingDirectory(to, random)
	writePathFaults(to, random)
	if random.IntN(2) == 0 {
		writeTable(to, faultEntry, settings{
			{"kind", faultIdleClients},
			{"who", []string{"b3"}},
			{"at", disturbanceTime(random)},
			{"for", between(random, time.Second, 3*time.Second)},
			{"rate", 200 + random.IntN(400)},
		})
	}
}

func disturbanceTime(random *rand.Rand) time.Duration {
	return between(random, time.Second, 9*time.Second)
}

// writePauses has a process lose its core now and then.
func writePauses(to *strings.Builder, random *rand.Rand) {
	for i := range 3 {
		earliest := time.Second + time.Duration(i)*pauseInterval
		latest := earliest + pauseInterval - 2*pauseLength
		writeTable(to, faultEntry, settings{
			{"kind", faultFreeze},
			{"who", []string{"b3"}},
			{"at", between(random, earliest, latest)},
			{"for", pauseLength},
		})
	}
}

// writeDisableInFailingDirectory has the operator disable a server around the time in which a process can't save it.
func writeDisableInFailingDirectory(to *strings.Builder, random *rand.Rand) {
	kind := pick(random, []faultKind{faultDirectoryFull, faultDirectoryReadOnly})
	callAt := disturbanceTime(random)
	writeTable(to, faultEntry, settings{
		{"kind", kind},
		{"who", []string{"b2"}},
		{"at", max(callAt-time.Second, 500*time.Millisecond)},
		{"for", between(random, time.Second, 3*time.Second)},
	})
	writeTable(to, faultEntry, settings{
		{"as", disabledFault},
		{"kind", faultCall},
		{"who", []string{"b2"}},
		{"at", callAt},
		{"path", "/control/servers/" + disabledServer + "/offline"},
	})
}

// writePathFaults draws faults of the paths to discovery and to servers.
func writePathFaults(to *strings.Builder, random *rand.Rand) {
	writeTable(to, faultEntry, slices.Concat(settings{
		{"kind", faultPath},
		{"who", []string{"any:2"}},
		{"to", []string{"discovery"}},
		{"at", disturbanceTime(random)},
		{"for", between(random, time.Second, 5*time.Second)},
	}, pick(random, soakConditions)))
	writeTable(to, faultEntry, slices.Concat(settings{
		{"kind", faultPath},
		{"who", []string{"b3"}},
		{"to", []string{"s-000", "s-001"}},
		{"at", disturbanceTime(random)},
		{"for", between(random, time.Second, 4*time.Second)},
	}, pick(random, soakConditions)))
	writeTable(to, faultEntry, settings{
		{"kind", faultReset},
		{"who", []string{"any"}},
		{"to", []string{"servers"}},
		{"at", disturbanceTime(random)},
	})
}

func writeSoakRequirements(to *strings.Builder) {
	for _, fault := range []string{restartedFault, killedFault} {
		writeTable(to, requirementEntry, settings{
			{"kind", requireTakenBack},
			{"after", fault},
			{"who", []string{fault}},
			{"within", readyTimeout},
		})
	}
	writeTable(to, requirementEntry, settings{{"kind", requireAnswered}, {"after", disabledFault}, {"says", "yes"}})
	writeTable(to, requirementEntry, settings{
		{"kind", requireAvoids},
		{"after", disabledFault},
		{"who", []string{"b2"}},
		{"servers", []string{disabledServer}},
		{"from", "1s"},
		{"at-most", 0},
	})
	writeTable(to, requirementEntry, settings{{"kind", requireDescriptors}, {"at-most", soakDescriptors}})
}

// between draws a time of whole milliseconds.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return simulation.UniformDuration(random, least, most).Round(time.Millisecond)
}
