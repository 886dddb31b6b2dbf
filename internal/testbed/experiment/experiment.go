// Package experiment reads what a run of the yard is to be: fleet, load, troubles, policies, seeds and how service is
// counted. A file gives ranges; a day is one draw from them.
package experiment

import (
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"yardwinch/internal/config"
	"yardwinch/internal/simulation"
	"yardwinch/internal/strict"
)

// Policies that experiment files name: the project's own, with or without deciders round it, and baselines.
const (
	Ours               = "ours"
	OursWithLocalities = "ours+halls"
	OursWithSignals    = "ours+signals"
	RandomServer       = "random"
	LeastConnections   = "least"
	TwoChoices         = "two-choices"
	BoundedHashing     = "hashing"
	Omniscient         = "top" // sees the true state of all servers, as no real balancer does
)

// Policies are all there are.
var Policies = []string{Ours, OursWithLocalities, OursWithSignals, RandomServer, LeastConnections, TwoChoices, BoundedHashing, Omniscient}

type span struct{ lo, hi time.Duration }
type reach struct{ lo, hi float64 }

// Experiment is one file, read and checked.
type Experiment struct {
	Name, About string
	Length      time.Duration
	Seeds       int
	Policies    []string

	halls                                                            []string
	servers, balancers                                               reach
	cores, speed, fillings, queue, coldFrom, warmByWork, groupLoad   reach
	buffer, warm                                                     span
	drains, sizes                                                    string
	cell                                                             int
	headroom                                                         reach
	load, swing, perCore, loadSpread, loadSwing, groupSize, zipf     reach
	lifeSigma, hallSkew                                              reach
	life, changeEvery                                                span
	shape                                                            string
	home                                                             float64
	services                                                         []simulation.Service
	customers                                                        []simulation.Customer
	beyond                                                           float64
	retries                                                          reach
	habits                                                           []string
	wait, comeBack, silence                                          span
	obeys                                                            reach
	same, cross, client                                              span
	frontNotice, notice, silentNotice, addNotice, spread             span
	asked                                                            bool
	grace, fall, warmMost                                            time.Duration
	multiple, coldLeast                                              float64
	connects                                                         int
	probes                                                           bool // servers report their load to those that probe; on sockets only
	connectTimeout, retryAfter                                       time.Duration
	whole, window, worstCustomer, worstService, crossing, moves, fee float64
	troubles                                                         []trouble
	Halls                                                            config.Locality // of the policy ours+halls
}

type trouble struct {
	kind                                     simulation.FaultKind
	startLo, startHi, lengthLo, lengthHi     time.Duration
	shareLo, shareHi, strengthLo, strengthHi float64
	extraLo, extraHi                         time.Duration
	hall                                     string
	chance                                   float64
}

const hour = time.Hour

// Open reads a file. A fault names line and key.
func Open(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Read(path, text)
}

// Read takes the text of a file.
func Read(name string, text []byte) (*Experiment, error) {
	t, err := strict.Parse(name, text)
	if err != nil {
		return nil, err
	}
	e := From(t)
	if err := t.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

// From takes what a file says of an experiment; whoever reads the rest of the file looks for its faults.
func From(t strict.Table) *Experiment {
	e := &Experiment{}
	e.Name, e.About = t.String("name", ""), t.String("about", "")
	if e.Name == "" {
		t.Fail("name", "is missing")
	}
	e.Length = t.Duration("length", time.Minute, hour)
	if e.Length < time.Second {
		t.Fail("length", "want 1s at the least, got %v", e.Length)
	}
	e.Seeds = int(t.Float("seeds", 5, 1, 10000))
	e.Policies = t.Strings("policies", []string{"ours", "random"}, Policies...)
	e.readFleet(t.Table("fleet"))
	e.readLoad(t.Table("load"))
	e.readServices(t)
	e.readClients(t.Table("clients"))
	e.readAround(t)
	e.Halls = config.ReadLocality(t.Table("halls"))
	c := t.Table("count")
	e.whole, e.window = c.Float("whole", 0.6, 0, 1), c.Float("worst-window", 0.3, 0, 1)
	e.worstCustomer, e.worstService = c.Float("worst-customer", 0.1, 0, 1), c.Float("worst-service", 0, 0, 1)
	e.crossing, e.moves = c.Float("crossing", 0, 0, 10), c.Float("moves", 0, 0, 10)
	e.fee = c.Float("connects", 0, 0, 10)
	e.beyond = c.Float("beyond-share", 0.2, 0, 1)
	if e.whole+e.window+e.worstCustomer+e.worstService <= 0 {
		c.Fail("whole", "all weights are 0")
	}
	for _, x := range t.Tables("trouble") {
		e.readTrouble(x)
	}
	return e
}

// rangesOf reads ranges of a table: each with what it is where the key is absent, and what it may be.
func rangesOf(t strict.Table) func(to *reach, key string, lo, hi, least, most float64) {
	return func(to *reach, key string, lo, hi, least, most float64) {
		to.lo, to.hi = t.Range(key, lo, hi, least, most)
	}
}

func (e *Experiment) readFleet(t strict.Table) {
	e.halls = t.Strings("halls", []string{"north", "middle", "south"})
	for _, h := range e.halls {
		if h == "" || strings.ContainsAny(h, " ,\t") {
			t.Fail("halls", "want names without spaces and commas, got %q", h)
		}
	}
	at := rangesOf(t)
	at(&e.servers, "servers", 9, 12, 1, 20000)
	at(&e.balancers, "balancers", 3, 3, 1, 5000)
	at(&e.cores, "cores", 3, 3, 1, 256)
	at(&e.speed, "speed", 0.7, 2, 0.01, 100)
	at(&e.fillings, "connections", 2, 3.5, 0.1, 1000)
	at(&e.queue, "queue-per-core", 10, 30, 0, 100000)
	at(&e.coldFrom, "cold-from", 0.16, 0.3, 0.01, 1)
	at(&e.warmByWork, "warm-by-work", 0.5, 0.5, 0, 1)
	at(&e.groupLoad, "group-load", 2, 2, 0, 100)
	e.warm.lo, e.warm.hi = t.DurationRange("warm", 10*time.Second, 20*time.Second, hour)
	e.buffer.lo, e.buffer.hi = t.DurationRange("buffer", 1500*time.Millisecond, 3*time.Second, hour)
	e.drains = t.String("drain", "paced", "quiet", "paced", "at-once")
	e.sizes = t.String("sizes", "rough", "rough", "silent")
	e.cell = int(t.Float("cell", 4, 1, 10000))
	at(&e.headroom, "store-headroom", 5, 5, 0, 10000)
}

func (e *Experiment) readLoad(t strict.Table) {
	at := rangesOf(t)
	at(&e.load, "share", 0.3, 0.4, 0.001, 20)
	at(&e.swing, "swing", 0.05, 0.2, 0, 1)
	at(&e.perCore, "per-core", 22, 41, 0.1, 100000)
	at(&e.loadSpread, "load-spread", 0.5, 1, 0, 3)
	at(&e.loadSwing, "load-swing", 0.3, 0.8, 0, 3)
	at(&e.groupSize, "group-size", 5, 60, 1, 1e6)
	at(&e.zipf, "group-zipf", 0.5, 1, 0, 3)
	at(&e.lifeSigma, "life-sigma", 0.8, 1.4, 0, 3)
	at(&e.hallSkew, "hall-skew", 0.1, 0.4, 0, 5)
	e.life.lo, e.life.hi = t.DurationRange("life", 25*time.Second, 200*time.Second, 24*hour)
	e.changeEvery.lo, e.changeEvery.hi = t.DurationRange("change-every", 7*time.Second, 15*time.Second, hour)
	e.home = t.Float("home", 3, 1, 1e6)
	e.shape = t.String("shape", "steady", "steady", "wave", "daily")
}

func (e *Experiment) readServices(t strict.Table) {
	for _, s := range t.Tables("service") {
		v := simulation.Service{Name: s.String("name", ""), Share: s.Float("share", 1, 0.0001, 1e6),
			Load: s.Float("load", 1, 0.001, 1000), Lifetime: s.Float("life", 1, 0.001, 1000),
			Target: s.Duration("setup-target", 300*time.Millisecond, hour), Timeout: s.Duration("connect-timeout", 1800*time.Millisecond, hour),
			Message: s.Duration("message-target", 250*time.Millisecond, hour), Value: s.Float("value", 1, 0, 1e6),
			Effect: s.String("effect", "free", "free", "guarded", "single_shot"), Group: s.String("group", "all", "all", "zone", "cell"),
			Window: s.Duration("window", 5*time.Second, hour), Work: s.Duration("work", 6*time.Millisecond, time.Minute).Seconds(),
			WorkSpread: s.Float("work-spread", 1, 0, 5), MessageWork: s.Duration("message-work", 5*time.Millisecond, time.Minute)}
		if v.Name == "" {
			s.Fail("name", "is missing")
		}
		if v.Target > v.Timeout {
			s.Fail("setup-target", "is longer than the connect timeout, %v", v.Timeout)
		}
		e.services = append(e.services, v)
	}
	if len(e.services) == 0 {
		e.services = []simulation.Service{{Name: "live", Share: 1, Load: 1, Lifetime: 1, Target: 300 * time.Millisecond,
			Timeout: 1800 * time.Millisecond, Message: 250 * time.Millisecond, Value: 1, Effect: "free", Group: "all",
			Window: 5 * time.Second, Work: 0.006, WorkSpread: 1, MessageWork: 5 * time.Millisecond}}
	}
	for _, c := range t.Tables("customer") {
		v := simulation.Customer{Name: c.String("name", ""), Share: c.Float("share", 0, 0.0001, 1), Usage: c.Float("usage", 1, 0, 1000)}
		if v.Name == "" {
			c.Fail("name", "is missing")
		}
		e.customers = append(e.customers, v)
	}
}

func (e *Experiment) readClients(t strict.Table) {
	e.retries.lo, e.retries.hi = t.Range("retries", 2, 3, 0, 1000)
	e.habits = t.Strings("habit", []string{"at-once", "fixed"}, "never", "at-once", "fixed", "backoff")
	e.wait.lo, e.wait.hi = t.DurationRange("wait", 15*time.Millisecond, 120*time.Millisecond, hour)
	e.comeBack.lo, e.comeBack.hi = t.DurationRange("come-back", 70*time.Millisecond, 680*time.Millisecond, hour)
	e.silence.lo, e.silence.hi = t.DurationRange("silence", 4500*time.Millisecond, 4500*time.Millisecond, hour)
	e.obeys.lo, e.obeys.hi = t.Range("obey", 0.5, 0.85, 0, 1)
}

func (e *Experiment) readAround(t strict.Table) {
	ms := time.Millisecond
	n := t.Table("net")
	e.same.lo, e.same.hi = n.DurationRange("same", 110*time.Microsecond, 350*time.Microsecond, time.Second)
	e.cross.lo, e.cross.hi = n.DurationRange("cross", 700*time.Microsecond, 1300*time.Microsecond, time.Second)
	e.client.lo, e.client.hi = n.DurationRange("client", 200*time.Microsecond, 1200*time.Microsecond, time.Second)
	e.frontNotice.lo, e.frontNotice.hi = n.DurationRange("front-notice", 940*ms, 3*time.Second, hour)
	l := t.Table("list")
	e.notice.lo, e.notice.hi = l.DurationRange("notice", 1600*ms, 6800*ms, hour)
	e.silentNotice.lo, e.silentNotice.hi = l.DurationRange("silent-notice", 5100*ms, 13*time.Second, hour)
	e.addNotice.lo, e.addNotice.hi = l.DurationRange("add", 1100*ms, 2900*ms, hour)
	e.spread.lo, e.spread.hi = l.DurationRange("spread", 30*ms, 1300*ms, hour)
	e.asked = l.String("mode", "push", "push", "ask") == "ask"
	r := t.Table("rules")
	e.grace = r.Duration("drain-grace", 750*ms, time.Minute)
	e.multiple = r.Float("fall-multiple", 3, 0, 100)
	e.fall = r.Duration("fall", 1500*ms, time.Minute)
	e.warmMost = r.Duration("warm-after", 23*time.Second, hour)
	e.coldLeast = r.Float("cold-from", 0.16, 0.001, 1)
	if e.warmMost < e.warm.hi {
		r.Fail("warm-after", "is shorter than the longest warm-up of the fleet, %v", e.warm.hi)
	}
	i := t.Table("limits")
	e.connects = int(i.Float("connects", 6, 1, 100))
	e.connectTimeout = i.Duration("connect-timeout", 200*ms, time.Minute)
	e.probes = i.Bool("probes", false)
	e.retryAfter = i.Duration("retry-after", time.Second, hour)
}

func (e *Experiment) readTrouble(t strict.Table) {
	var kinds []string
	for _, k := range simulation.FaultKinds {
		kinds = append(kinds, string(k))
	}
	x := trouble{kind: simulation.FaultKind(t.String("kind", "", kinds...)), hall: t.String("hall", "", append([]string{""}, e.halls...)...)}
	if x.kind == "" {
		if !t.Has("kind") {
			t.Fail("kind", "is missing; want one of %s", strings.Join(kinds, ", "))
		}
		return
	}
	x.startLo, x.startHi = t.DurationRange("start", 0, 0, hour)
	x.lengthLo, x.lengthHi = t.DurationRange("length", 10*time.Second, 10*time.Second, hour)
	x.shareLo, x.shareHi = t.Range("share", 0.2, 0.2, 0, 1)
	x.strengthLo, x.strengthHi = t.Range("strength", 1, 1, 0, 1000)
	x.extraLo, x.extraHi = t.DurationRange("extra", 3*time.Second, 3*time.Second, hour)
	x.chance = t.Float("chance", 1, 0, 1)
	if (x.kind == simulation.LocalityLost || x.kind == simulation.Partition) && x.hall == "" {
		t.Fail("hall", "is missing; want one of %s", strings.Join(e.halls, ", "))
	}
	if x.startLo >= e.Length {
		t.Fail("start", "is not before the end of the day, %v", e.Length)
	}
	least := map[simulation.FaultKind]float64{simulation.Slow: 1, simulation.StoreSlow: 1, simulation.Burst: 0.01, simulation.Overload: 0.01, simulation.Grow: 1.01,
		simulation.Errors: 0.01, simulation.Neighbour: 0.01, simulation.Deploy: 0.001, simulation.BalancerRoll: 0.001}[x.kind]
	if x.strengthLo < least {
		t.Fail("strength", "want %g at the least for %s", least, x.kind)
	}
	if (x.kind == simulation.Errors || x.kind == simulation.Neighbour) && x.strengthHi > 0.99 {
		t.Fail("strength", "want 0.99 at the most for %s", x.kind)
	}
	e.troubles = append(e.troubles, x)
}

// Kinds are the kinds of trouble that the file names, and Without leaves one of them out: what a hunt cuts down by.
func (e *Experiment) Kinds() (kinds []simulation.FaultKind) {
	for _, t := range e.troubles {
		kinds = append(kinds, t.kind)
	}
	return kinds
}

// Without is the experiment without one of its troubles.
func (e *Experiment) Without(i int) *Experiment {
	c := *e
	c.troubles = append(append([]trouble(nil), e.troubles[:i]...), e.troubles[i+1:]...)
	return &c
}

// Shrunk lets the troubles last for a part of their time.
func (e *Experiment) Shrunk(i int, part float64) *Experiment {
	c := *e
	c.troubles = append([]trouble(nil), e.troubles...)
	c.troubles[i].lengthLo = time.Duration(float64(c.troubles[i].lengthLo) * part)
	c.troubles[i].lengthHi = time.Duration(float64(c.troubles[i].lengthHi) * part)
	return &c
}

// Sized gives it other numbers of balancers and servers, for measurements of growth.
func (e *Experiment) Sized(balancers, servers int) *Experiment {
	c := *e
	if balancers > 0 {
		c.balancers = reach{float64(balancers), float64(balancers)}
	}
	if servers > 0 {
		c.servers = reach{float64(servers), float64(servers)}
	}
	return &c
}

// Stretched lets a run take a part of its length, the troubles with it.
func (e *Experiment) Stretched(part float64) *Experiment {
	c := *e
	of := func(d time.Duration) time.Duration { return time.Duration(math.Round(float64(d) * part)) }
	c.Length = of(e.Length)
	c.troubles = append([]trouble(nil), e.troubles...)
	for i := range c.troubles {
		t := &c.troubles[i]
		t.startLo, t.startHi, t.lengthLo, t.lengthHi = of(t.startLo), of(t.startHi), of(t.lengthLo), of(t.lengthHi)
	}
	return &c
}

// Lasting gives it another length; the troubles stay where they are.
func (e *Experiment) Lasting(d time.Duration) *Experiment {
	c := *e
	c.Length = d
	return &c
}
