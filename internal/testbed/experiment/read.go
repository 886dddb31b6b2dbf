package experiment

import (
	"strings"
	"time"

	"yardwinch/internal/config"
	"yardwinch/internal/simulation"
	"yardwinch/internal/strict"
	"yardwinch/internal/testbed/count"
)

const (
	ms               = time.Millisecond
	hour             = time.Hour
	maxLifetime      = 24 * hour
	maxPrice         = 10
	noPracticalLimit = 1e6 // far above any value in use
)

// numberRange is a range of numbers, both ends included.
type numberRange struct{ lo, hi float64 }

// FromTable reads an experiment from a table, which may have further keys for the caller. Errors are kept in the table: the caller
// checks t.Err after reading the rest.
func FromTable(t strict.Table) *Experiment {
	e := &Experiment{}
	e.Name, e.About = t.String("name", ""), t.String("about", "")
	if e.Name == "" {
		t.Fail("name", "is missing")
	}
	e.Length = t.Duration("length", time.Minute, hour)
	if e.Length < time.Second {
		t.Fail("length", "want at least 1s, got %v", e.Length)
	}
	e.Seeds = int(t.Float("seeds", 5, 1, 10000))
	e.Policies = t.Strings("policies", []string{Ours, RandomServer}, Policies...)
	e.readFleet(t.Table("fleet"))
	e.readLoad(t.Table("load"))
	e.readServices(t)
	e.readCustomers(t)
	e.readClients(t.Table("clients"))
	e.readNetwork(t.Table("net"))
	e.readList(t.Table("list"))
	e.readRules(t.Table("rules"))
	e.readLimits(t.Table("limits"))
	e.Locality = config.ReadLocality(t.Table("halls"))
	e.readWeights(t.Table("count"))
	for _, fault := range t.Tables("trouble") {
		e.readFault(fault)
	}
	return e
}

// bounds are the default range of a number, for an absent key, and the limits of its range.
type bounds struct{ defaultLo, defaultHi, min, max float64 }

func readNumberRange(t strict.Table, key string, b bounds) (n numberRange) {
	n.lo, n.hi = t.Range(key, b.defaultLo, b.defaultHi, b.min, b.max)
	return n
}

func readInterval(t strict.Table, key string, lo, hi, longest time.Duration) (i simulation.Interval) {
	i.Min, i.Max = t.DurationRange(key, lo, hi, longest)
	return i
}

func (e *Experiment) readFleet(t strict.Table) {
	f := &e.fleet
	f.localities = t.Strings("halls", []string{"north", "middle", "south"})
	for _, name := range f.localities {
		if name == "" || strings.ContainsAny(name, " ,\t") {
			t.Fail("halls", "want names without spaces and commas, got %q", name)
		}
	}
	f.servers = readNumberRange(t, "servers", bounds{9, 12, 1, 20000})
	f.balancers = readNumberRange(t, "balancers", bounds{3, 3, 1, 5000})
	f.cores = readNumberRange(t, "cores", bounds{3, 3, 1, 256})
	f.speed = readNumberRange(t, "speed", bounds{0.7, 2, 0.01, 100})
	f.connections = readNumberRange(t, "connections", bounds{2, 3.5, 0.1, 1000})
	f.queuePerCore = readNumberRange(t, "queue-per-core", bounds{10, 30, 0, 100000})
	f.slowStartInitialShare = readNumberRange(t, "cold-from", bounds{0.16, 0.3, 0.01, 1})
	f.slowStartByWork = readNumberRange(t, "warm-by-work", bounds{0.5, 0.5, 0, 1})
	f.groupLoad = readNumberRange(t, "group-load", bounds{2, 2, 0, 100})
	f.slowStart = readInterval(t, "warm", 10*time.Second, 20*time.Second, hour)
	f.maxMessageDelay = readInterval(t, "buffer", 1500*ms, 3*time.Second, hour)
	f.drain = t.String("drain", "paced", "quiet", "paced", "at-once")
	f.sizes = t.String("sizes", roughSizes, roughSizes, "silent")
	f.serversPerCell = int(t.Float("cell", 4, 1, 10000))
	f.storeHeadroom = readNumberRange(t, "store-headroom", bounds{5, 5, 0, 10000})
}

func (e *Experiment) readLoad(t strict.Table) {
	l := &e.load
	l.share = readNumberRange(t, "share", bounds{0.3, 0.4, 0.001, 20})
	l.rateAmplitude = readNumberRange(t, "swing", bounds{0.05, 0.2, 0, 1})
	l.connectionsPerCore = readNumberRange(t, "per-core", bounds{22, 41, 0.1, 100000})
	l.loadSpread = readNumberRange(t, "load-spread", bounds{0.5, 1, 0, 3})
	l.loadChangeSpread = readNumberRange(t, "load-swing", bounds{0.3, 0.8, 0, 3})
	l.groupSize = readNumberRange(t, "group-size", bounds{5, 60, 1, noPracticalLimit})
	l.groupZipf = readNumberRange(t, "group-zipf", bounds{0.5, 1, 0, 3})
	l.lifetimeSigma = readNumberRange(t, "life-sigma", bounds{0.8, 1.4, 0, 3})
	l.localitySkew = readNumberRange(t, "hall-skew", bounds{0.1, 0.4, 0, 5})
	l.lifetime = readInterval(t, "life", 25*time.Second, 200*time.Second, maxLifetime)
	l.changeEvery = readInterval(t, "change-every", 7*time.Second, 15*time.Second, hour)
	l.localWeight = t.Float("home", 3, 1, noPracticalLimit)
	l.shape = t.String("shape", "steady", "steady", waveShape, dailyShape)
}

func (e *Experiment) readServices(t strict.Table) {
	for _, s := range t.Tables("service") {
		e.services = append(e.services, readService(s))
	}
	if len(e.services) == 0 {
		e.services = []simulation.Service{{Name: "live", Share: 1, Load: 1, Lifetime: 1, Target: 300 * ms,
			Timeout: 1800 * ms, MessageTarget: 250 * ms, Value: 1, Effect: "free", DeduplicationScope: "all",
			DeduplicationWindow: 5 * time.Second, Work: 0.006, WorkSpread: 1, MessageWork: 5 * ms}}
	}
}

func readService(t strict.Table) simulation.Service {
	s := simulation.Service{
		Name:                t.String("name", ""),
		Share:               t.Float("share", 1, 0.0001, noPracticalLimit),
		Load:                t.Float("load", 1, 0.001, 1000),
		Lifetime:            t.Float("life", 1, 0.001, 1000),
		Target:              t.Duration("setup-target", 300*ms, hour),
		Timeout:             t.Duration("connect-timeout", 1800*ms, hour),
		MessageTarget:       t.Duration("message-target", 250*ms, hour),
		Value:               t.Float("value", 1, 0, noPracticalLimit),
		Effect:              t.String("effect", "free", "free", "guarded", "single_shot"),
		DeduplicationScope:  t.String("group", "all", "all", "zone", "cell"),
		DeduplicationWindow: t.Duration("window", 5*time.Second, hour),
		Work:                t.Duration("work", 6*ms, time.Minute).Seconds(),
		WorkSpread:          t.Float("work-spread", 1, 0, 5),
		MessageWork:         t.Duration("message-work", 5*ms, time.Minute),
	}
	if s.Name == "" {
		t.Fail("name", "is missing")
	}
	if s.Target > s.Timeout {
		t.Fail("setup-target", "is longer than the connect timeout, %v", s.Timeout)
	}
	return s
}

func (e *Experiment) readCustomers(t strict.Table) {
	for _, c := range t.Tables("customer") {
		customer := simulation.Customer{
			Name:  c.String("name", ""),
			Share: c.Float("share", 0, 0.0001, 1),
			Usage: c.Float("usage", 1, 0, 1000),
		}
		if customer.Name == "" {
			c.Fail("name", "is missing")
		}
		e.customers = append(e.customers, customer)
	}
}

func (e *Experiment) readClients(t strict.Table) {
	c := &e.clients
	c.retries = readNumberRange(t, "retries", bounds{2, 3, 0, 1000})
	c.retryPolicies = t.Strings("habit", []string{"at-once", "fixed"}, "never", "at-once", "fixed", "backoff")
	c.retryDelay = readInterval(t, "wait", 15*ms, 120*ms, hour)
	c.reconnectDelay = readInterval(t, "come-back", 70*ms, 680*ms, hour)
	c.silenceTimeout = readInterval(t, "silence", 4500*ms, 4500*ms, hour)
	c.obeysRetryAfter = readNumberRange(t, "obey", bounds{0.5, 0.85, 0, 1})
}

func (e *Experiment) readNetwork(t strict.Table) {
	n := &e.network
	n.within = readInterval(t, "same", 110*time.Microsecond, 350*time.Microsecond, time.Second)
	n.between = readInterval(t, "cross", 700*time.Microsecond, 1300*time.Microsecond, time.Second)
	n.client = readInterval(t, "client", 200*time.Microsecond, 1200*time.Microsecond, time.Second)
	n.frontNotice = readInterval(t, "front-notice", 940*ms, 3*time.Second, hour)
}

func (e *Experiment) readList(t strict.Table) {
	e.list = simulation.ListConfig{
		Notice:        readInterval(t, "notice", 1600*ms, 6800*ms, hour),
		NoticeSilent:  readInterval(t, "silent-notice", 5100*ms, 13*time.Second, hour),
		NoticeAdded:   readInterval(t, "add", 1100*ms, 2900*ms, hour),
		DeliveryDelay: readInterval(t, "spread", 30*ms, 1300*ms, hour),
		MustSubscribe: t.String("mode", "push", "push", "ask") == "ask",
	}
}

func (e *Experiment) readRules(t strict.Table) {
	e.limits.DrainGrace = t.Duration("drain-grace", 750*ms, time.Minute)
	e.limits.SlowStartMultiple = t.Float("fall-multiple", 3, 0, 100)
	e.limits.SlowStartWindow = t.Duration("fall", 1500*ms, time.Minute)
	e.limits.MaxSlowStart = t.Duration("warm-after", 23*time.Second, hour)
	e.limits.SlowStartInitialShare = t.Float("cold-from", 0.16, 0.001, 1)
	if longest := e.fleet.slowStart.Max; e.limits.MaxSlowStart < longest {
		t.Fail("warm-after", "is shorter than the longest warm-up of the fleet, %v", longest)
	}
}

func (e *Experiment) readLimits(t strict.Table) {
	e.limits.MaxConnects = int(t.Float("connects", 6, 1, 100))
	e.limits.ConnectTimeout = t.Duration("connect-timeout", 200*ms, time.Minute)
	e.serversReportLoad = t.Bool("probes", false)
	e.retryAfter = t.Duration("retry-after", time.Second, hour)
}

func (e *Experiment) readWeights(t strict.Table) {
	e.weights = count.Weights{
		ServedShare:      t.Float("whole", 0.6, 0, 1),
		WorstWindow:      t.Float("worst-window", 0.3, 0, 1),
		WorstCustomer:    t.Float("worst-customer", 0.1, 0, 1),
		WorstServiceType: t.Float("worst-service", 0, 0, 1),
		Crossing:         t.Float("crossing", 0, 0, maxPrice),
		Migrations:       t.Float("moves", 0, 0, maxPrice),
		Connects:         t.Float("connects", 0, 0, maxPrice),
	}
	e.beyondShareValue = t.Float("beyond-share", 0.2, 0, 1)
	if e.weights.Sum() <= 0 {
		t.Fail("whole", "all weights are 0")
	}
}
