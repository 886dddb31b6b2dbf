package compatibility

import (
	"bufio"
	"container/heap"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// scenarioRun is the state of a scenario while it is recorded. It does not simulate traffic realistically: it only has
// to produce every kind of event in a plausible order.
type scenarioRun struct {
	scenario    scenario
	random      *rand.Rand
	now         int64
	events      eventQueue
	eventCount  int
	servers     []*simulatedServer
	flows       map[string]*simulatedFlow
	isAlive     []bool
	watchesList []bool // by instance: it watches the endpoint list
	listVersion int
	flowCount   int

	input, output strings.Builder
}

type simulatedServer struct {
	id          int
	zone        string
	cell        int
	size        float64
	readiness   string
	startedAt   int64
	condition   string // well, down, slow, full, hung, resets, errors
	connections int
}

type simulatedFlow struct {
	id            string
	instance      int
	service       string
	attempts      int
	server        *simulatedServer
	attemptStart  int64
	isEstablished bool
	isAnswered    bool
	deadline      int64
	customer      string
	group         string
}

// scheduledEvent is due at a time; run returns the lines of its events.
type scheduledEvent struct {
	time     int64
	serial   int
	instance int
	run      func() []string
}

type eventQueue []*scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].time < q[j].time || q[i].time == q[j].time && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	scenarioStart = int64(8412250000) // nanoseconds, like all times of a run
	clockStep     = int64(2 * time.Millisecond)
)

func (p *scenarioRun) schedule(after time.Duration, instance int, run func() []string) {
	p.eventCount++
	heap.Push(&p.events, &scheduledEvent{p.now + int64(after), p.eventCount, instance, run})
}

// record runs a scenario with the wirehost command and returns the command's input and output.
func (s scenario) record(t *testing.T) (input, output string) {
	t.Helper()
	c := exec.CommandContext(t.Context(), commandPath(t, "wirehost"))
	stdin, err := c.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	p := &scenarioRun{scenario: s, random: rand.New(rand.NewPCG(uint64(len(s.name)), uint64(s.servers))), now: scenarioStart, flows: map[string]*simulatedFlow{}}
	p.isAlive, p.watchesList = make([]bool, s.instances), make([]bool, s.instances)
	p.scheduleAll()
	replies := bufio.NewReader(stdout)
	for end := scenarioStart + int64(s.seconds)*int64(time.Second); p.now < end && len(p.events) > 0; {
		batch := p.nextBatch()
		p.input.WriteString(batch)
		if _, err := io.WriteString(stdin, batch); err != nil {
			t.Fatal(err)
		}
		p.readReply(t, replies)
	}
	_ = stdin.Close()
	if err := c.Wait(); err != nil {
		t.Fatal(err)
	}
	return p.input.String(), p.output.String()
}

func (p *scenarioRun) scheduleAll() {
	for i := range p.scenario.servers {
		p.servers = append(p.servers, &simulatedServer{id: 1000 + 7919*(i*37%p.scenario.servers), zone: zones[i%len(zones)], cell: i / 3, size: []float64{1, 1.5, 0.75}[i/2%3], readiness: "IN", condition: "well"})
	}
	for i := range p.scenario.instances {
		p.schedule(time.Duration(i)*time.Second/4, i, func() []string { return p.spawn(i) })
		p.schedule(time.Duration(i+1)*time.Second/4, i, func() []string { return p.nextArrival(i) })
	}
	for _, x := range p.scenario.faults {
		p.schedule(time.Duration(x.at*float64(time.Second)), x.target%p.scenario.instances, func() []string { return p.applyFault(x) })
	}
}

func (p *scenarioRun) spawn(i int) []string {
	p.isAlive[i], p.watchesList[i] = true, false
	lines := []string{"SPAWN\t" + strconv.FormatInt(p.random.Int64(), 10) + "\t" + strings.Join(spawnSettings(p.scenario, i), "\t")}
	return append(lines, p.listLines("C", i, p.servers)...)
}

// listLines returns the lines of an endpoint list, and the line of the update that refers to the list by its number.
func (p *scenarioRun) listLines(kind string, i int, servers []*simulatedServer) []string {
	p.listVersion++
	lines := []string{fmt.Sprintf("DIRECTORY\t%d\t%d", i%16, len(servers))}
	for _, s := range servers {
		size := strconv.FormatFloat(s.size, 'g', -1, 64)
		if p.scenario.settings["weights"] == "silent" {
			size = "1"
		}
		since := "-"
		if s.startedAt != 0 {
			since = strconv.FormatInt(s.startedAt, 10)
		}
		lines = append(lines, fmt.Sprintf("SERVER\t%s\t%s\t%d\t%s\tlarge\t%d\t%s", size, s.zone, s.id, s.readiness, s.cell, since))
	}
	return append(lines, fmt.Sprintf("UPDATE\t%s\t%d\t%d", kind, p.listVersion, i%16))
}

// announce schedules an update with a server's current state for all instances that watch the endpoint list.
func (p *scenarioRun) announce(s *simulatedServer) {
	for i := range p.scenario.instances {
		p.schedule(time.Duration(20+10*i)*time.Millisecond, i, func() []string {
			if !p.isAlive[i] || p.scenario.settings["discovery"] == "ask" && !p.watchesList[i] {
				return nil
			}
			return p.listLines("D", i, []*simulatedServer{s})
		})
	}
}

func (p *scenarioRun) applyFault(x fault) []string {
	s := p.servers[x.target%len(p.servers)]
	switch x.kind {
	case "drain":
		s.readiness = "LAME"
		p.announce(s)
	case "restart": // the server leaves the list and returns after a second; its connections break
		s.readiness, s.condition = "OUT", "down"
		p.announce(s)
		p.breakConnections(s)
		p.schedule(time.Second, 0, func() []string {
			s.readiness, s.condition, s.startedAt = "IN", "well", p.now
			p.announce(s)
			return nil
		})
	case "down":
		s.condition = "down"
		p.breakConnections(s)
	case "up":
		s.condition = "well"
	case "all-hung", "all-well", "all-full", "all-errors", "all-resets":
		for _, s := range p.servers {
			s.condition = strings.TrimPrefix(x.kind, "all-")
		}
	case "deaf": // the instance loses its watch of the endpoint list
		i := x.target % p.scenario.instances
		if p.isAlive[i] {
			p.watchesList[i] = false
			return []string{fmt.Sprintf("UPDATE\tX\t%d\t-", p.listVersion)}
		}
	case "kill":
		return p.kill(x.target % p.scenario.instances)
	default:
		s.condition = x.kind
	}
	return nil
}

// nextBatch advances the clock to the next event, and at least by clockStep, which is the period in the settings. It
// returns a batch of all events that are due.
func (p *scenarioRun) nextBatch() string {
	p.now = max(p.now+clockStep, p.events[0].time)
	var b strings.Builder
	fmt.Fprintf(&b, "BEGIN_BATCH\t%d\n", p.now)
	lastInstance := -1
	for len(p.events) > 0 && p.events[0].time <= p.now {
		x := heap.Pop(&p.events).(*scheduledEvent)
		lines := x.run()
		if len(lines) == 0 {
			continue
		}
		if x.instance != lastInstance {
			lastInstance = x.instance
			fmt.Fprintf(&b, "FOR\t%d\n", lastInstance)
		}
		for _, line := range lines {
			b.WriteString(line + "\n")
		}
	}
	b.WriteString("FLUSH\n")
	return b.String()
}

func (p *scenarioRun) server(t *testing.T, id string) *simulatedServer {
	t.Helper()
	for _, s := range p.servers {
		if strconv.Itoa(s.id) == id {
			return s
		}
	}
	t.Fatalf("unknown server %s", id)
	return nil
}

// listedServers returns the servers that are in a full endpoint list.
func listedServers(servers []*simulatedServer) (present []*simulatedServer) {
	for _, s := range servers {
		if s.readiness != "OUT" {
			present = append(present, s)
		}
	}
	return present
}

func parseNumber(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func boolDigit(b bool) int {
	if b {
		return 1
	}
	return 0
}

func sorted(values []string) []string { return slices.Sorted(slices.Values(values)) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
