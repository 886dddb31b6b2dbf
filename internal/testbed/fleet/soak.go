package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"yardwinch/internal/simulation"
)

// A soak runs timelines that are drawn from seeds: planned restarts with the kill at its earliest, signals in a row, idle clients, faults of
// discovery and of servers, directories that fail, processes that are paused. A plan is written as a file's text, which runs again as any
// other.

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
	fmt.Fprintf(to, "name = \"soak-%d\"\nabout = \"Drawn from seed %d: restarts, signals, crowds, failing folders and troubles of servers and discovery.\"\n", seed, seed)
	fmt.Fprintf(to, "length = %q\n[fleet]\nservers = %d\nbalancers = %d\n", soakLength, soakServers, soakBalancers)
	fmt.Fprintf(to, "[load]\nshare = 0.25\nper-core = 16\nlife = \"2s\"\n")
	fmt.Fprintf(to, "[[service]]\nname = \"live\"\nsetup-target = %q\nconnect-timeout = %q\neffect = %q\ngroup = %q\nwindow = %q\n",
		s.deadline/3, s.deadline, s.effect, s.group, s.window)
	fmt.Fprintf(to, "[list]\nmode = %q\nnotice = \"400ms\"\nsilent-notice = \"4s\"\nadd = \"300ms\"\n", mode)
	fmt.Fprintf(to, "[judge]\nlate = %q\n", lateAnswer)
	fmt.Fprintf(to, "[front]\nask-every = \"200ms\"\nwait = \"400ms\"\nmisses = 2\n")
}

// writeModelFaults draws two faults of servers or of the list.
func writeModelFaults(to *strings.Builder, random *rand.Rand) {
	kinds := []string{
		"kind = \"vanish\"\nshare = 0.3", "kind = \"crash\"\nshare = 0.3", "kind = \"deploy\"\nshare = 0.5\nstrength = 0.2\nextra = \"1s\"",
		"kind = \"slow\"\nshare = 0.3\nstrength = 20", "kind = \"errors\"\nshare = 0.3\nstrength = 0.5", "kind = \"list_dark\"",
		"kind = \"list_stale\"\nextra = \"2s\"", "kind = \"reconnect\"\nshare = 0.5",
	}
	for range 2 {
		fmt.Fprintf(to, "\n[[trouble]]\n%s\nstart = %q\nlength = %q\n", pick(random, kinds), between(random, time.Second, 6*time.Second),
			between(random, time.Second, 5*time.Second))
	}
}

// writeRestarts restarts one process in order and kills another, each with signals in a row.
func writeRestarts(to *strings.Builder, random *rand.Rand) {
	fmt.Fprintf(to, "\n[[fault]]\nas = \"restarted\"\nkind = \"term\"\nwho = [\"b0\"]\nat = %q\nfor = %q\ntimes = %d\n",
		between(random, 1500*time.Millisecond, 3*time.Second), between(random, minDowntime, 2*time.Second), 1+random.IntN(30))
	fmt.Fprintf(to, "\n[[fault]]\nas = \"killed\"\nkind = \"kill\"\nwho = [\"b1\"]\nat = %q\nfor = %q\ntimes = %d\n",
		between(random, 2*time.Second, 5*time.Second), between(random, minDowntime, 2*time.Second), 1+random.IntN(30))
}

// writeDisturbances draws what happens to the processes that go on.
func writeDisturbances(to *strings.Builder, random *rand.Rand) {
	at := func() time.Duration { return between(random, time.Second, 9*time.Second) }
	fmt.Fprintf(to, "\n[[fault]]\nkind = \"hangup\"\nwho = [\"b2\"]\nat = %q\nfor = %q\ntimes = %d\n", at(), between(random, 0, 2*time.Second), 1+random.IntN(50))
	for i := range 3 {
		earliest := time.Second + time.Duration(i)*pauseInterval
		fmt.Fprintf(to, "\n[[fault]]\nkind = \"freeze\"\nwho = [\"b3\"]\nat = %q\nfor = %q\n", between(random, earliest, earliest+pauseInterval-2*pauseLength), pauseLength)
	}
	folder := pick(random, []string{"folder-full", "folder-read-only"})
	banAt := at()
	fmt.Fprintf(to, "\n[[fault]]\nkind = %q\nwho = [\"b2\"]\nat = %q\nfor = %q\n", folder, max(banAt-time.Second, 500*time.Millisecond), between(random, time.Second, 3*time.Second))
	fmt.Fprintf(to, "\n[[fault]]\nas = \"banned\"\nkind = \"call\"\nwho = [\"b2\"]\nat = %q\npath = \"/control/servers/s-005/offline\"\n", banAt)
	conditions := []string{"cut = true", "mute = true", "delay = \"300ms\"\njitter = \"300ms\"", "rate = 2000"}
	fmt.Fprintf(to, "\n[[fault]]\nkind = \"link\"\nwho = [\"any:2\"]\nto = [\"discovery\"]\nat = %q\nfor = %q\n%s\n", at(), between(random, time.Second, 5*time.Second), pick(random, conditions))
	fmt.Fprintf(to, "\n[[fault]]\nkind = \"link\"\nwho = [\"b3\"]\nto = [\"s-000\", \"s-001\"]\nat = %q\nfor = %q\n%s\n", at(), between(random, time.Second, 4*time.Second), pick(random, conditions))
	fmt.Fprintf(to, "\n[[fault]]\nkind = \"reset\"\nwho = [\"any\"]\nto = [\"servers\"]\nat = %q\n", at())
	if random.IntN(2) == 0 {
		fmt.Fprintf(to, "\n[[fault]]\nkind = \"crowd\"\nwho = [\"b3\"]\nat = %q\nfor = %q\nrate = %d\n", at(), between(random, time.Second, 3*time.Second), 200+random.IntN(400))
	}
}

func writeSoakRequirements(to *strings.Builder) {
	for _, who := range []string{"restarted", "killed"} {
		fmt.Fprintf(to, "\n[[must]]\nkind = \"taken-back\"\nafter = %q\nwho = [%q]\nwithin = %q\n", who, who, readyTimeout)
	}
	fmt.Fprintf(to, "\n[[must]]\nkind = \"answered\"\nafter = \"banned\"\nsays = \"yes\"\n")
	fmt.Fprintf(to, "\n[[must]]\nkind = \"avoids\"\nafter = \"banned\"\nwho = [\"b2\"]\nservers = [\"s-005\"]\nfrom = \"1s\"\nat-most = 0\n")
	fmt.Fprintf(to, "\n[[must]]\nkind = \"descriptors\"\nat-most = %d\n", soakDescriptors)
}

// between draws a time of whole milliseconds.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return simulation.UniformDuration(random, least, most).Round(time.Millisecond)
}
