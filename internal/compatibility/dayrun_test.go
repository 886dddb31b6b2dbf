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

// dayRun is a day that is being played. It is no simulator: it only has to produce every kind of event in a plausible
// order.
type dayRun struct {
	day        day
	random     *rand.Rand
	now        int64
	due        queue
	serial     int
	servers    []*dayServer
	flows      map[string]*dayFlow
	alive      []bool
	subscribed []bool // instances that watch the endpoint list
	stamp      int
	ids        int

	input, output strings.Builder
}

type dayServer struct {
	id          int
	zone        string
	cell        int
	size        float64
	readiness   string
	startedAt   int64
	condition   string // well, down, slow, full, hung, resets, errors
	connections int
}

type dayFlow struct {
	id            string
	instance      int
	service       string
	attempts      int
	server        *dayServer
	attemptAt     int64
	isEstablished bool
	isAnswered    bool
	deadline      int64
	customer      string
	group         string
}

// scheduledEvent is due at a time; do returns the lines of its events.
type scheduledEvent struct {
	at       int64
	serial   int
	instance int
	do       func() []string
}

type queue []*scheduledEvent

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*scheduledEvent)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	dayStart = int64(8412250000) // nanoseconds, as all times of a run
	step     = int64(2 * time.Millisecond)
)

func (p *dayRun) schedule(after time.Duration, instance int, do func() []string) {
	p.serial++
	heap.Push(&p.due, &scheduledEvent{p.now + int64(after), p.serial, instance, do})
}

// play plays a day against the command and returns the command's input and output.
func (d day) play(t *testing.T) (input, output string) {
	t.Helper()
	c := exec.CommandContext(t.Context(), command(t, "wirehost"))
	to, err := c.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	from, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	p := &dayRun{day: d, random: rand.New(rand.NewPCG(uint64(len(d.name)), uint64(d.servers))), now: dayStart, flows: map[string]*dayFlow{}}
	p.alive, p.subscribed = make([]bool, d.instances), make([]bool, d.instances)
	p.scheduleAll()
	answers := bufio.NewReader(from)
	for end := dayStart + int64(d.seconds)*int64(time.Second); p.now < end && len(p.due) > 0; {
		batch := p.batch()
		p.input.WriteString(batch)
		if _, err := io.WriteString(to, batch); err != nil {
			t.Fatal(err)
		}
		p.readReply(t, answers)
	}
	_ = to.Close()
	if err := c.Wait(); err != nil {
		t.Fatal(err)
	}
	return p.input.String(), p.output.String()
}

func (p *dayRun) scheduleAll() {
	for i := range p.day.servers {
		p.servers = append(p.servers, &dayServer{id: 1000 + 7919*(i*37%p.day.servers), zone: zones[i%len(zones)], cell: i / 3, size: []float64{1, 1.5, 0.75}[i/2%3], readiness: "IN", condition: "well"})
	}
	for i := range p.day.instances {
		p.schedule(time.Duration(i)*time.Second/4, i, func() []string { return p.spawn(i) })
		p.schedule(time.Duration(i+1)*time.Second/4, i, func() []string { return p.arrival(i) })
	}
	for _, x := range p.day.faults {
		p.schedule(time.Duration(x.at*float64(time.Second)), x.target%p.day.instances, func() []string { return p.applyFault(x) })
	}
}

func (p *dayRun) spawn(i int) []string {
	p.alive[i], p.subscribed[i] = true, false
	lines := []string{"SPAWN\t" + strconv.FormatInt(p.random.Int64(), 10) + "\t" + strings.Join(spawnSettings(p.day, i), "\t")}
	return append(lines, p.list("C", i, p.servers)...)
}

// list returns the lines of a numbered list and of the update that refers to it.
func (p *dayRun) list(kind string, i int, of []*dayServer) []string {
	p.stamp++
	lines := []string{fmt.Sprintf("DIRECTORY\t%d\t%d", i%16, len(of))}
	for _, s := range of {
		size := strconv.FormatFloat(s.size, 'g', -1, 64)
		if p.day.settings["weights"] == "silent" {
			size = "1"
		}
		since := "-"
		if s.startedAt != 0 {
			since = strconv.FormatInt(s.startedAt, 10)
		}
		lines = append(lines, fmt.Sprintf("SERVER\t%s\t%s\t%d\t%s\tlarge\t%d\t%s", size, s.zone, s.id, s.readiness, s.cell, since))
	}
	return append(lines, fmt.Sprintf("UPDATE\t%s\t%d\t%d", kind, p.stamp, i%16))
}

// announce schedules an update about a server for all instances that watch the list.
func (p *dayRun) announce(s *dayServer) {
	for i := range p.day.instances {
		p.schedule(time.Duration(20+10*i)*time.Millisecond, i, func() []string {
			if !p.alive[i] || p.day.settings["discovery"] == "ask" && !p.subscribed[i] {
				return nil
			}
			return p.list("D", i, []*dayServer{s})
		})
	}
}

func (p *dayRun) applyFault(x fault) []string {
	s := p.servers[x.target%len(p.servers)]
	switch x.kind {
	case "drain":
		s.readiness = "LAME"
		p.announce(s)
	case "restart": // it leaves the list first and returns later; its connections break
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
	case "deaf": // the watch is lost
		i := x.target % p.day.instances
		if p.alive[i] {
			p.subscribed[i] = false
			return []string{fmt.Sprintf("UPDATE\tX\t%d\t-", p.stamp)}
		}
	case "kill":
		return p.kill(x.target % p.day.instances)
	default:
		s.condition = x.kind
	}
	return nil
}

// batch returns one batch with all events that are due; the clock goes on in steps of the site's period.
func (p *dayRun) batch() string {
	p.now = max(p.now+step, p.due[0].at)
	var b strings.Builder
	fmt.Fprintf(&b, "BEGIN_BATCH\t%d\n", p.now)
	lastInstance := -1
	for len(p.due) > 0 && p.due[0].at <= p.now {
		x := heap.Pop(&p.due).(*scheduledEvent)
		lines := x.do()
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

func (p *dayRun) server(t *testing.T, id string) *dayServer {
	t.Helper()
	for _, s := range p.servers {
		if strconv.Itoa(s.id) == id {
			return s
		}
	}
	t.Fatalf("no server %s", id)
	return nil
}

// listed returns the servers that a full list names.
func listed(of []*dayServer) (present []*dayServer) {
	for _, s := range of {
		if s.readiness != "OUT" {
			present = append(present, s)
		}
	}
	return present
}

func number(t *testing.T, s string) int {
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

func sorted(of []string) []string { return slices.Sorted(slices.Values(of)) }

func sortedKeys[V any](of map[string]V) []string { return slices.Sorted(maps.Keys(of)) }
