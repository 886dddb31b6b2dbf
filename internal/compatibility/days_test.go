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

// day is a made day: how the site is and what goes wrong. The figures are chosen so that each shape of a site
// comes up once.
type day struct {
	name      string
	seconds   int
	instances int
	servers   int
	flows     float64       // new flows a second and instance
	stay      time.Duration // of a flow, in the mean
	capacity  int           // flows that a server of size 1 carries well; it takes twice as many
	settings  map[string]string
	troubles  []trouble
}

// trouble befalls a server, or an instance, at a time.
type trouble struct {
	at   float64 // seconds
	kind string
	who  int
}

var (
	asking  = map[string]string{"discovery": "ask"}
	probing = map[string]string{"reporting.how": "pull", "reporting.columns": "x0,x1"}
	quotas  = map[string]string{"beyond-share-value": "0.2"}
)

func joined(of ...map[string]string) map[string]string {
	all := map[string]string{}
	for _, m := range of {
		for k, v := range m {
			all[k] = v
		}
	}
	return all
}

// effects is a type of each effect and reach.
func effects(of ...string) map[string]string {
	m := map[string]string{"service-types.count": strconv.Itoa(len(of))}
	for i, x := range of {
		effect, group, _ := strings.Cut(x, " ")
		at := fmt.Sprintf("service-types.%d.", i)
		for k, v := range map[string]string{"effect": effect, "group": group, "hard-limit": "1800000000", "late-value": "0.0", "name": "type-" + strconv.Itoa(i),
			"setup-target": "300000000", "stream": "true", "value": strconv.Itoa(i+1) + ".0", "window": "1200000000"} {
			m[at+k] = v
		}
	}
	return m
}

var days = []day{
	{name: "push-silent", seconds: 40, instances: 1, servers: 8, flows: 6, stay: 9 * time.Second, capacity: 12,
		troubles: []trouble{{5, "drain", 0}, {9, "restart", 0}, {12, "down", 1}, {20, "up", 1}, {24, "slow", 2}, {32, "well", 2}}},
	{name: "ask-probes", seconds: 40, instances: 2, servers: 9, flows: 4, stay: 8 * time.Second, capacity: 12, settings: joined(asking, probing),
		troubles: []trouble{{4, "slow", 0}, {11, "well", 0}, {13, "deaf", 0}, {14, "drain", 3}, {19, "restart", 3}, {22, "hung", 4}, {30, "well", 4}}},
	{name: "effects", seconds: 40, instances: 1, servers: 9, flows: 6, stay: 6 * time.Second, capacity: 14,
		settings: joined(effects("free all", "guarded all", "guarded zone", "guarded cell", "single_shot all")),
		troubles: []trouble{{3, "resets", 0}, {3, "errors", 1}, {4, "resets", 4}, {5, "errors", 5}, {6, "full", 6}, {8, "hung", 2}, {12, "down", 3},
			{18, "well", 0}, {22, "well", 1}, {24, "well", 2}, {28, "up", 3}, {30, "all-errors", 0}, {31, "all-resets", 0}, {32, "all-full", 0}, {33, "all-well", 0}}},
	{name: "quotas", seconds: 30, instances: 2, servers: 6, flows: 9, stay: 9 * time.Second, capacity: 12,
		settings: joined(quotas, probing, map[string]string{"family-info.tenant-quota-connections": "20.0,12.0,5.0,3.0"}),
		troubles: []trouble{{6, "drain", 1}, {10, "restart", 1}, {15, "down", 2}, {16, "drain", 3}, {19, "restart", 2}, {22, "restart", 3}}},
	{name: "overload", seconds: 30, instances: 2, servers: 4, flows: 18, stay: 8 * time.Second, capacity: 10,
		troubles: []trouble{{8, "slow", 0}, {12, "down", 1}, {14, "restart", 1}, {17, "full", 3}, {19, "well", 3}, {20, "hung", 2}, {24, "well", 2}}},
	{name: "overload-quotas-probes", seconds: 24, instances: 1, servers: 4, flows: 24, stay: 8 * time.Second, capacity: 14, settings: joined(quotas, probing, asking),
		troubles: []trouble{{6, "down", 1}, {9, "restart", 1}, {12, "all-hung", 0}, {16, "all-well", 0}}},
	{name: "long-list", seconds: 24, instances: 1, servers: 160, flows: 22, stay: 9 * time.Second, capacity: 3,
		settings: map[string]string{"weights": "silent"},
		troubles: []trouble{{4, "down", 3}, {5, "down", 4}, {6, "drain", 5}, {8, "drain", 6}, {10, "restart", 5}, {12, "slow", 7}, {14, "slow", 8}, {18, "restart", 3}}},
	{name: "several-instances", seconds: 24, instances: 6, servers: 10, flows: 2.5, stay: 7 * time.Second, capacity: 14,
		settings: joined(probing, map[string]string{"weights": "live", "family-info.mode": "pass", "policy-limits.retry-after": "false"}),
		troubles: []trouble{{6, "kill", 1}, {9, "drain", 2}, {11, "full", 5}, {14, "well", 5}, {12, "kill", 3}, {13, "restart", 2}, {15, "down", 4}, {20, "up", 4}}},
}

// spawnSettings are the settings of the page's example, with what is of the day.
func spawnSettings(d day, instance int) []string {
	m := map[string]string{"ordinal": strconv.Itoa(instance), "peers-total": strconv.Itoa(max(d.instances, 3)), "az": zones[instance%len(zones)]}
	var keys []string
	for p := range strings.FieldsSeq(exampleSettings) {
		k, v, _ := strings.Cut(p, "=")
		keys = append(keys, k)
		if _, there := m[k]; !there {
			m[k] = v
		}
	}
	for k, v := range d.settings {
		if _, there := m[k]; !there {
			keys = append(keys, k)
		}
		m[k] = v
	}
	lines := make([]string, 0, len(keys))
	for _, k := range sorted(keys) {
		lines = append(lines, k+"="+m[k])
	}
	return lines
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

const exampleSettings = `areas=hall-a,hall-b,hall-c az=hall-a beyond-share-value=1.0 client-habits.marks-retry=true discovery=push family=conn family-info.groups=true
family-info.message-aim=250000000 family-info.mode=proxy family-info.park=0 family-info.tells-delay=true family-info.tells-load=true
family-info.tenant-quota-connections=292.0,246.0,80.0,46.0 goal.whole=0.55 goal.worst-class=0.0 goal.worst-tenant=0.1 goal.worst-window=0.35
guarantees.answer-slack=8000000 guarantees.cold-from=0.16 guarantees.drain-grace=750000000 guarantees.fall=1500000000 guarantees.fall-multiple=3.0
guarantees.must-ask-in=10000000000 guarantees.warm-after=23000000000 kinds=large,medium,small ordinal=0 peers-total=3 period=2000000
policy-limits.cancel=true policy-limits.connect-timeout=200000000 policy-limits.cpu-us-per-request=0.0 policy-limits.cpu-us-per-s=800000
policy-limits.keepalive=60000000000 policy-limits.max-connects=6 policy-limits.max-open=1000000 policy-limits.max-retry-after=1000000000
policy-limits.max-streams=1048576 policy-limits.peers=false policy-limits.probes=true policy-limits.retry-after=true policy-limits.second-copies=false
reporting.columns= reporting.how=silent service-types.count=1 service-types.0.effect=free service-types.0.group=all service-types.0.hard-limit=1800000000
service-types.0.late-value=0.0 service-types.0.name=live-config service-types.0.setup-target=300000000 service-types.0.stream=true service-types.0.value=1.0
service-types.0.window=5000000000 stages=config-nodes tariffs.connection=0.0 tariffs.cross-zone=0.08 tariffs.discovery=0.0 tariffs.handshake=0.0
tariffs.late-fail=0.08 tariffs.moves=0.026 tariffs.origin=0.0 tariffs.peer=0.0 tariffs.probe=0.0029 tariffs.waste=0.3 tenants.count=4
tenants.0.name=dyffryn-frames tenants.0.quota-per-s=2.0 tenants.0.share=0.44 tenants.1.name=teifi-windows tenants.1.quota-per-s=1.0 tenants.1.share=0.37
tenants.2.name=gwent-doors tenants.2.quota-per-s=0.0 tenants.2.share=0.12 tenants.3.name=menai-glazing tenants.3.quota-per-s=0.0 tenants.3.share=0.07
tier=0 value-per=request weights=rough`

// played is a day that is being played. It is no simulator: it only has to bring up every event in a plausible order.
type played struct {
	d       day
	random  *rand.Rand
	now     int64
	due     queue
	serial  int
	servers []*madeServer
	flows   map[string]*madeFlow
	alive   []bool
	asked   []bool // who has subscribed to the list
	changed []bool // who is not told all yet
	stamp   int
	ids     int

	input, output strings.Builder
}

type madeServer struct {
	id    int
	zone  string
	cell  int
	size  float64
	state string
	since int64
	mood  string // well, down, slow, full, hung, resets, errors
	open  int
}

type madeFlow struct {
	id       string
	instance int
	kind     string
	attempts int
	out      *madeServer
	sent     int64
	started  bool
	over     bool
	ends     int64
	customer string
	group    string
}

// happening is what comes at a time; do writes its events.
type happening struct {
	at       int64
	serial   int
	instance int
	do       func() []string
}

type queue []*happening

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*happening)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	dayStart = int64(8412250000)
	step     = int64(2 * time.Millisecond)
)

func (p *played) in(after time.Duration, instance int, do func() []string) {
	p.serial++
	heap.Push(&p.due, &happening{p.now + int64(after), p.serial, instance, do})
}

// play plays a day against the command and gives what went in and what came out.
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
	p := &played{d: d, random: rand.New(rand.NewPCG(uint64(len(d.name)), uint64(d.servers))), now: dayStart, flows: map[string]*madeFlow{}}
	p.alive, p.asked, p.changed = make([]bool, d.instances), make([]bool, d.instances), make([]bool, d.instances)
	p.begin()
	answers := bufio.NewReader(from)
	for end := dayStart + int64(d.seconds)*int64(time.Second); p.now < end && len(p.due) > 0; {
		batch := p.batch()
		p.input.WriteString(batch)
		if _, err := io.WriteString(to, batch); err != nil {
			t.Fatal(err)
		}
		p.hear(t, answers)
	}
	_ = to.Close()
	if err := c.Wait(); err != nil {
		t.Fatal(err)
	}
	return p.input.String(), p.output.String()
}

func (p *played) begin() {
	for i := range p.d.servers {
		p.servers = append(p.servers, &madeServer{id: 1000 + 7919*(i*37%p.d.servers), zone: zones[i%len(zones)], cell: i / 3, size: []float64{1, 1.5, 0.75}[i/2%3], state: "IN", mood: "well"})
	}
	for i := range p.d.instances {
		p.in(time.Duration(i)*time.Second/4, i, func() []string { return p.spawn(i) })
		p.in(time.Duration(i+1)*time.Second/4, i, func() []string { return p.arrival(i) })
	}
	for _, x := range p.d.troubles {
		p.in(time.Duration(x.at*float64(time.Second)), x.who%p.d.instances, func() []string { return p.befall(x) })
	}
}

func (p *played) spawn(i int) []string {
	p.alive[i], p.asked[i], p.changed[i] = true, false, false
	lines := []string{"SPAWN\t" + strconv.FormatInt(p.random.Int64(), 10) + "\t" + strings.Join(spawnSettings(p.d, i), "\t")}
	return append(lines, p.list("C", i, p.servers)...)
}

// list is a numbered list and the event that tells it.
func (p *played) list(kind string, i int, of []*madeServer) []string {
	p.stamp++
	lines := []string{fmt.Sprintf("DIRECTORY\t%d\t%d", i%16, len(of))}
	for _, s := range of {
		size := strconv.FormatFloat(s.size, 'g', -1, 64)
		if p.d.settings["weights"] == "silent" {
			size = "1"
		}
		since := "-"
		if s.since != 0 {
			since = strconv.FormatInt(s.since, 10)
		}
		lines = append(lines, fmt.Sprintf("SERVER\t%s\t%s\t%d\t%s\tlarge\t%d\t%s", size, s.zone, s.id, s.state, s.cell, since))
	}
	return append(lines, fmt.Sprintf("UPDATE\t%s\t%d\t%d", kind, p.stamp, i%16))
}

// tell brings a change to all that are to hear of it.
func (p *played) tell(s *madeServer) {
	for i := range p.d.instances {
		p.in(time.Duration(20+10*i)*time.Millisecond, i, func() []string {
			if !p.alive[i] || p.d.settings["discovery"] == "ask" && !p.asked[i] {
				return nil
			}
			return p.list("D", i, []*madeServer{s})
		})
	}
}

func (p *played) befall(x trouble) []string {
	s := p.servers[x.who%len(p.servers)]
	switch x.kind {
	case "drain":
		s.state = "LAME"
		p.tell(s)
	case "restart": // gone first, then there again; who is connected loses it
		s.state, s.mood = "OUT", "down"
		p.tell(s)
		p.cut(s)
		p.in(time.Second, 0, func() []string {
			s.state, s.mood, s.since = "IN", "well", p.now
			p.tell(s)
			return nil
		})
	case "down":
		s.mood = "down"
		p.cut(s)
	case "up":
		s.mood = "well"
	case "all-hung", "all-well", "all-full", "all-errors", "all-resets":
		for _, s := range p.servers {
			s.mood = strings.TrimPrefix(x.kind, "all-")
		}
	case "deaf": // the subscription is lost
		i := x.who % p.d.instances
		if p.alive[i] {
			p.asked[i] = false
			return []string{fmt.Sprintf("UPDATE\tX\t%d\t-", p.stamp)}
		}
	case "kill":
		return p.kill(x.who % p.d.instances)
	default:
		s.mood = x.kind
	}
	return nil
}

// kill ends an instance; its successor finds connections that flow already.
func (p *played) kill(i int) []string {
	p.alive[i] = false
	var held []*madeFlow
	for _, id := range sortedKeys(p.flows) {
		if f := p.flows[id]; f.instance == i {
			if f.started && f.out != nil && f.out.mood == "well" {
				held = append(held, f)
			} else {
				p.leave(f)
			}
			// Some packets come to the next instance meanwhile.
			if f.started && p.d.settings["family-info.mode"] == "pass" {
				moved := &madeFlow{instance: (i + 1) % p.d.instances, kind: f.kind, customer: f.customer, group: f.group}
				p.in(p.spread(100*time.Millisecond), moved.instance, func() []string { return p.come(moved, 1|8) })
			}
			delete(p.flows, id)
		}
	}
	p.in(time.Second, i, func() []string {
		lines := p.spawn(i)
		for _, f := range held {
			opened := &madeFlow{id: p.id(), instance: i, kind: f.kind, attempts: 1, out: f.out, sent: p.now, started: true, customer: f.customer, group: f.group}
			p.flows[opened.id] = opened
			lines = append(lines, fmt.Sprintf("OPEN\t%s\t%s\t%s\t%s\t%d\t-\t%s\t%d\t%d", opened.id, f.kind, f.customer, "s-"+opened.id, int64(time.Second), f.group, 8, f.out.id))
			p.in(p.spread(p.d.stay), i, func() []string { return p.closed(opened, 0, "OK", true) })
		}
		return lines
	})
	return []string{"KILL"}
}

func (p *played) id() string { p.ids++; return "t/f" + strconv.Itoa(p.ids) }

func (p *played) spread(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * min(p.random.ExpFloat64(), 4))
}

func (p *played) kinds() []string {
	if n, err := strconv.Atoi(p.d.settings["service-types.count"]); err == nil {
		var names []string
		for i := range n {
			names = append(names, "type-"+strconv.Itoa(i))
		}
		return names
	}
	return []string{"live-config"}
}

// arrival is one new flow, and the time of the next.
func (p *played) arrival(i int) []string {
	p.in(p.spread(time.Duration(float64(time.Second)/p.d.flows)), i, func() []string { return p.arrival(i) })
	if !p.alive[i] {
		return nil
	}
	customers := []string{"dyffryn-frames", "dyffryn-frames", "teifi-windows", "gwent-doors", "menai-glazing", "-"}
	f := &madeFlow{instance: i, kind: p.kinds()[p.random.IntN(len(p.kinds()))], customer: customers[p.random.IntN(len(customers))], group: "-"}
	if p.random.IntN(3) > 0 {
		f.group = "c:g" + strconv.Itoa(p.random.IntN(3*p.d.servers))
	}
	return p.come(f, 1)
}

func (p *played) come(f *madeFlow, marks int) []string {
	if !p.alive[f.instance] {
		return nil
	}
	f.id = p.id()
	p.flows[f.id] = f
	left := []time.Duration{240 * time.Millisecond, 800 * time.Millisecond, 1800 * time.Millisecond}[p.random.IntN(3)]
	f.ends = p.now + int64(left)
	if p.random.IntN(40) == 0 { // a client that does not wait
		p.in(p.spread(200*time.Millisecond), f.instance, func() []string { return p.hangUp(f) })
	}
	p.in(left+8*time.Millisecond, f.instance, func() []string { return p.hangUp(f) })
	return []string{fmt.Sprintf("JOB_IN\t%s\t%s\t%s\ts-%s\t%d\t%d\t%s\t%d", f.id, f.kind, f.customer, f.id, int64(left), 12000000+p.random.IntN(1000), f.group, marks)}
}

// hangUp is for who left early, or has no answer in time.
func (p *played) hangUp(f *madeFlow) []string {
	if p.flows[f.id] != f || f.started || f.over {
		return nil
	}
	f.over = true
	if f.out == nil {
		delete(p.flows, f.id)
	}
	return []string{"HANGUP\t" + f.id}
}

// leave takes a flow off its server.
func (p *played) leave(f *madeFlow) {
	if f.out != nil {
		f.out.open--
		f.out = nil
	}
}

// closed is the end of an attempt, where it is still out.
func (p *played) closed(f *madeFlow, attempt int, code string, over bool) []string {
	if p.flows[f.id] != f || f.out == nil || attempt != f.attempts-1 {
		return nil
	}
	s := f.out
	stats := "-"
	if p.random.IntN(4) == 0 && p.d.settings["reporting.how"] == "pull" && f.started {
		stats = p.report(s)
	}
	p.leave(f)
	over = over || f.over
	if over {
		delete(p.flows, f.id)
	}
	return []string{fmt.Sprintf("CLOSED_ATTEMPT\t%s\t%d\t%d\t%s\t%d\t%d\t%s", f.id, attempt, s.id, code, p.now-f.sent, whole(over), stats)}
}

// cut breaks all connections to a server.
func (p *played) cut(s *madeServer) {
	for _, id := range sortedKeys(p.flows) {
		if f := p.flows[id]; f.out == s {
			n, started := f.attempts-1, f.started
			p.in(time.Duration(1+p.random.IntN(40))*time.Millisecond, f.instance, func() []string { return p.closed(f, n, "ABORTED", started) })
			if started && p.random.IntN(3) > 0 {
				again := &madeFlow{instance: f.instance, kind: f.kind, customer: f.customer, group: f.group}
				p.in(p.spread(300*time.Millisecond), f.instance, func() []string { return p.come(again, 1|16) })
			}
		}
	}
}

func (p *played) load(s *madeServer) float64 {
	load := float64(s.open) / (s.size * float64(p.d.capacity))
	if s.mood == "slow" {
		load += 1
	}
	return load
}

func (p *played) report(s *madeServer) string {
	load := p.load(s)
	return fmt.Sprintf("x0:%.3f,x1:%.2f", load, max(0, load-1))
}

// batch takes what is due into one batch; times go on in steps of the site's period.
func (p *played) batch() string {
	p.now = max(p.now+step, p.due[0].at)
	var b strings.Builder
	fmt.Fprintf(&b, "BEGIN_BATCH\t%d\n", p.now)
	spoken := -1
	for len(p.due) > 0 && p.due[0].at <= p.now {
		x := heap.Pop(&p.due).(*happening)
		lines := x.do()
		if len(lines) == 0 {
			continue
		}
		if x.instance != spoken {
			spoken = x.instance
			fmt.Fprintf(&b, "FOR\t%d\n", spoken)
		}
		for _, line := range lines {
			b.WriteString(line + "\n")
		}
	}
	b.WriteString("FLUSH\n")
	return b.String()
}

// hear reads one reply and does what it says.
func (p *played) hear(t *testing.T, answers *bufio.Reader) {
	t.Helper()
	for instance := -1; ; {
		line, err := answers.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		p.output.WriteString(line)
		f := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		switch f[0] {
		case "YIELD":
			return
		case "SPEAKING":
			instance = number(t, f[1])
		case "FAULT":
			t.Fatal(line)
		default:
			p.act(t, instance, f)
		}
	}
}

func (p *played) act(t *testing.T, i int, f []string) {
	t.Helper()
	switch f[0] {
	case "TIMER":
		mark := f[1]
		p.in(time.Duration(number(t, f[2])), i, func() []string {
			if !p.alive[i] {
				return nil
			}
			return []string{"WAKE\t" + mark}
		})
	case "TAIL", "REFRESH":
		p.in(5*time.Millisecond, i, func() []string {
			if !p.alive[i] {
				return nil
			}
			if p.random.IntN(4) == 0 {
				return []string{fmt.Sprintf("UPDATE\tX\t%d\t-", p.stamp)}
			}
			p.asked[i] = p.asked[i] || f[0] == "TAIL"
			return p.list("F", i, listed(p.servers))
		})
	case "HEALTH_CHECK":
		s := p.server(t, f[1])
		p.in(3*time.Millisecond, i, func() []string {
			code, stats := "OK", p.report(s)
			switch s.mood {
			case "down":
				code, stats = "UNAVAILABLE", "-"
			case "hung":
				code, stats = "DEADLINE_EXCEEDED", "-"
			}
			if !p.alive[i] {
				return nil
			}
			return []string{fmt.Sprintf("HEALTH_RESULT\t%d\t%s\t%d\t%s", s.id, code, 3*time.Millisecond, stats)}
		})
	case "FORWARD":
		p.forward(t, f)
	case "SHIFT", "RECALL", "OVERLOAD_REPLY", "DROP_REQUEST":
		if x := p.flows[f[1]]; x != nil {
			p.answer(t, x, f)
		}
	}
}

func (p *played) answer(t *testing.T, x *madeFlow, f []string) {
	t.Helper()
	n := x.attempts - 1
	again := &madeFlow{instance: x.instance, kind: x.kind, customer: x.customer, group: x.group}
	switch f[0] {
	case "SHIFT":
		if x.started {
			p.in(4*time.Millisecond, x.instance, func() []string { return p.closed(x, n, "OK", true) })
			p.in(20*time.Millisecond, x.instance, func() []string { return p.come(again, 1|16) })
		}
	case "RECALL":
		p.in(2*time.Millisecond, x.instance, func() []string { return p.closed(x, n, "CANCELLED", false) })
	case "OVERLOAD_REPLY", "DROP_REQUEST":
		x.over = true
		if x.out == nil {
			delete(p.flows, x.id)
		}
		if f[0] == "OVERLOAD_REPLY" && p.random.IntN(2) == 0 {
			p.in(time.Duration(number(t, f[2]))+p.spread(200*time.Millisecond), x.instance, func() []string { return p.come(again, 1|2) })
		}
	}
}

func (p *played) forward(t *testing.T, f []string) {
	t.Helper()
	x, s, limit := p.flows[f[1]], p.server(t, f[2]), time.Duration(number(t, f[3]))
	if x == nil || x.out != nil {
		t.Fatalf("an attempt that can't be: %v", f)
	}
	n, i := x.attempts, x.instance
	x.attempts++
	x.out, x.sent = s, p.now
	s.open++
	left := time.Duration(x.ends - p.now)
	if limit <= 0 || limit > left {
		limit = left
	}
	ends := func(after time.Duration, code string) {
		if after >= limit {
			after, code = limit, "DEADLINE_EXCEEDED"
		}
		p.in(after, i, func() []string { return p.closed(x, n, code, false) })
	}
	load := p.load(s)
	switch {
	case s.mood == "down":
		ends(200*time.Millisecond, "UNAVAILABLE")
	case s.mood == "full" || s.state != "IN" || load > 2 && s.mood != "slow":
		ends(time.Millisecond, "RESOURCE_EXHAUSTED")
	case s.mood == "hung":
		ends(limit, "DEADLINE_EXCEEDED")
	case s.mood == "resets" && p.random.IntN(2) == 0:
		ends(3*time.Millisecond, "ABORTED")
	case s.mood == "errors" && p.random.IntN(2) == 0:
		ends(3*time.Millisecond, "INTERNAL")
	default:
		took := 2*time.Millisecond + p.spread(time.Duration(float64(6*time.Millisecond)*(1+4*load)))
		if took >= limit {
			ends(limit, "DEADLINE_EXCEEDED")
			return
		}
		p.in(took, i, func() []string { return p.first(x, n) })
	}
}

// first is a connection that is up, and what it says until its end.
func (p *played) first(x *madeFlow, n int) []string {
	if p.flows[x.id] != x || x.out == nil || x.over || n != x.attempts-1 {
		return nil
	}
	x.started = true
	p.in(p.spread(p.d.stay), x.instance, func() []string { return p.closed(x, n, "OK", true) })
	p.in(p.spread(2*time.Second), x.instance, func() []string { return p.note(x, n) })
	return []string{fmt.Sprintf("FIRST\t%s\t%d\t%d\t%d", x.id, n, x.out.id, p.now-x.sent)}
}

func (p *played) note(x *madeFlow, n int) []string {
	if p.flows[x.id] != x || x.out == nil || n != x.attempts-1 {
		return nil
	}
	p.in(time.Second+p.spread(2*time.Second), x.instance, func() []string { return p.note(x, n) })
	if load := p.load(x.out); load > 0.9 {
		return []string{fmt.Sprintf("CHANGE\t%s\t%d\t%d\t2\t%.1f", x.id, n, x.out.id, 300*load+float64(p.random.IntN(200)))}
	}
	return []string{fmt.Sprintf("CHANGE\t%s\t%d\t%d\t1\t%d", x.id, n, x.out.id, 9000+p.random.IntN(9000))}
}

func (p *played) server(t *testing.T, id string) *madeServer {
	t.Helper()
	for _, s := range p.servers {
		if strconv.Itoa(s.id) == id {
			return s
		}
	}
	t.Fatalf("no server %s", id)
	return nil
}

// listed leaves out whom a full list does not name.
func listed(of []*madeServer) (there []*madeServer) {
	for _, s := range of {
		if s.state != "OUT" {
			there = append(there, s)
		}
	}
	return there
}

func number(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func whole(b bool) int {
	if b {
		return 1
	}
	return 0
}

func sorted(of []string) []string { return slices.Sorted(slices.Values(of)) }

func sortedKeys[V any](of map[string]V) []string { return slices.Sorted(maps.Keys(of)) }
