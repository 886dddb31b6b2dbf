package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"yardwinch/internal/simulation"
)

// A soak runs timelines that are drawn from seeds: planned restarts with the earliest possible kill, signals in a row, idle clients, faults of
// discovery and of servers, failing directories, paused processes. The plan of a seed is written as the text of a plan file, so that it can be
// run again like any other plan. The order of the draws is fixed: an additional draw changes the plans of all seeds.

const (
	soakLength          = 14 * time.Second
	soakBalancers       = 4
	soakServers         = 6
	pauseLength         = 150 * time.Millisecond // a process may be descheduled for this long at any time
	pauseInterval       = 3 * time.Second
	soakAnswerTolerance = 500 * time.Millisecond  // an answer up to this late earns no service; a later one breaks a rule
	minSoakDowntime     = 1300 * time.Millisecond // after a shorter downtime the front would not have left the process out, and could not take it back
	takenBackWithin     = 10 * time.Second        // from a fault until the front uses the restarted process again
	// File descriptors that a process may have open at the end: its own, and two for each established connection.
	soakDescriptors = 200
)

// Names of faults, and a server, in a soak's plan.
const (
	restartedFault = "restarted"
	killedFault    = "killed"
	disableCall    = "banned" // the operator's call that disables the server
	disabledServer = "s-005"
)

// soakShape holds the settings that a seed draws before its timeline.
type soakShape struct {
	deadline, deduplicationWindow time.Duration
	effect, deduplicationScope    string
	mustSubscribe                 bool
}

var (
	soakDeadlines            = []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 1800 * time.Millisecond}
	soakDeduplicationWindows = []time.Duration{300 * time.Millisecond, 5 * time.Second}
	soakEffects              = []string{"free", "guarded", "single_shot"}
	soakDeduplicationScopes  = []string{"all", "zone", "cell"}

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

// SoakPlan returns the text of a seed's plan.
func SoakPlan(seed uint64) string {
	random := simulation.RandomSource(seed, "soak", 0)
	shape := soakShape{
		deadline:            pick(random, soakDeadlines),
		deduplicationWindow: pick(random, soakDeduplicationWindows),
		effect:              pick(random, soakEffects),
		deduplicationScope:  pick(random, soakDeduplicationScopes),
		mustSubscribe:       random.IntN(2) == 0,
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
		{"group", s.deduplicationScope},
		{"window", s.deduplicationWindow},
	})
	writeTable(to, "[list]", settings{{"mode", mode}, {"notice", "400ms"}, {"silent-notice", "4s"}, {"add", "300ms"}})
	writeTable(to, "[judge]", settings{{"late", soakAnswerTolerance}})
	writeTable(to, "[front]", settings{{"ask-every", "200ms"}, {"wait", "400ms"}, {"misses", 2}})
}

// writeModelFaults draws two faults of servers or of the endpoint list.
func writeModelFaults(to *strings.Builder, random *rand.Rand) {
	for range 2 {
		fault := pick(random, soakModelFaults)
		writeTable(to, modelFaultEntry, slices.Concat(fault, settings{
			{"start", drawDuration(random, time.Second, 6*time.Second)},
			{"length", drawDuration(random, time.Second, 5*time.Second)},
		}))
	}
}

// writeRestarts writes the graceful restart of one process and the kill of another, each with signals in a row.
func writeRestarts(to *strings.Builder, random *rand.Rand) {
	writeTable(to, faultEntry, settings{
		{"as", restartedFault},
		{"kind", faultTerminate},
		{"who", []string{"b0"}},
		{"at", drawDuration(random, 1500*time.Millisecond, 3*time.Second)},
		{"for", drawDuration(random, minSoakDowntime, 2*time.Second)},
		{"times", 1 + random.IntN(30)},
	})
	writeTable(to, faultEntry, settings{
		{"as", killedFault},
		{"kind", faultKill},
		{"who", []string{"b1"}},
		{"at", drawDuration(random, 2*time.Second, 5*time.Second)},
		{"for", drawDuration(random, minSoakDowntime, 2*time.Second)},
		{"times", 1 + random.IntN(30)},
	})
}

// writeDisturbances draws the faults that don't end a process.
func writeDisturbances(to *strings.Builder, random *rand.Rand) {
	writeTable(to, faultEntry, settings{
		{"kind", faultSIGHUP},
		{"who", []string{"b2"}},
		{"at", disturbanceTime(random)},
		{"for", drawDuration(random, 0, 2*time.Second)},
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
			{"for", drawDuration(random, time.Second, 3*time.Second)},
			{"rate", 200 + random.IntN(400)},
		})
	}
}

func disturbanceTime(random *rand.Rand) time.Duration {
	return drawDuration(random, time.Second, 9*time.Second)
}

// writePauses writes short pauses of one process.
func writePauses(to *strings.Builder, random *rand.Rand) {
	for i := range 3 {
		earliest := time.Second + time.Duration(i)*pauseInterval
		latest := earliest + pauseInterval - 2*pauseLength
		writeTable(to, faultEntry, settings{
			{"kind", faultFreeze},
			{"who", []string{"b3"}},
			{"at", drawDuration(random, earliest, latest)},
			{"for", pauseLength},
		})
	}
}

// writeDisableInFailingDirectory writes an operator's call that disables a server around the time at which the process can't save that change.
func writeDisableInFailingDirectory(to *strings.Builder, random *rand.Rand) {
	kind := pick(random, []faultKind{faultDirectoryFull, faultDirectoryReadOnly})
	callAt := disturbanceTime(random)
	writeTable(to, faultEntry, settings{
		{"kind", kind},
		{"who", []string{"b2"}},
		{"at", max(callAt-time.Second, 500*time.Millisecond)},
		{"for", drawDuration(random, time.Second, 3*time.Second)},
	})
	writeTable(to, faultEntry, settings{
		{"as", disableCall},
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
		{"for", drawDuration(random, time.Second, 5*time.Second)},
	}, pick(random, soakConditions)))
	writeTable(to, faultEntry, slices.Concat(settings{
		{"kind", faultPath},
		{"who", []string{"b3"}},
		{"to", []string{"s-000", "s-001"}},
		{"at", disturbanceTime(random)},
		{"for", drawDuration(random, time.Second, 4*time.Second)},
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
			{"within", takenBackWithin},
		})
	}
	writeTable(to, requirementEntry, settings{{"kind", requireAnswered}, {"after", disableCall}, {"says", "yes"}})
	writeTable(to, requirementEntry, settings{
		{"kind", requireAvoids},
		{"after", disableCall},
		{"who", []string{"b2"}},
		{"servers", []string{disabledServer}},
		{"from", "1s"},
		{"at-most", 0},
	})
	writeTable(to, requirementEntry, settings{{"kind", requireDescriptors}, {"at-most", soakDescriptors}})
}

// drawDuration draws a duration, rounded to milliseconds.
func drawDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return simulation.UniformDuration(random, least, most).Round(time.Millisecond)
}
