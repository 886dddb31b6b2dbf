package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/count"
)

// Day is one draw from an experiment's ranges: a world that has not begun, and what balancers are told of it.
type Day struct {
	Experiment *Experiment
	Seed       uint64
	World      *simulation.World
	Troubles   []simulation.Fault

	services  []simulation.Service
	customers []simulation.Customer
	perCore   float64
	groups    []groupOf // by customer
	life      time.Duration
	sigma     float64
	load      float64
	swing     float64
	spread    float64
	capacity  float64
	skew      []float64
}

type groupOf struct {
	first simulation.GroupID
	zipf  simulation.Zipf
}

func (s span) draw(r *rand.Rand) time.Duration { return simulation.UniformDuration(r, s.lo, s.hi) }
func (s reach) draw(r *rand.Rand) float64      { return simulation.Uniform(r, s.lo, s.hi) }
func (s reach) whole(r *rand.Rand) int {
	return int(s.lo) + r.IntN(int(s.hi)-int(s.lo)+1)
}

// Day draws the day of a seed. The same seed gives the same day to every policy.
func (e *Experiment) Day(seed uint64) *Day {
	r := simulation.RandomSource(seed, "day", 0)
	d := &Day{Experiment: e, Seed: seed, services: append([]simulation.Service(nil), e.services...),
		customers: append([]simulation.Customer(nil), e.customers...)}
	d.perCore, d.sigma, d.load = e.perCore.draw(r), e.lifeSigma.draw(r), e.load.draw(r)
	d.life = time.Duration(float64(e.life.lo) * math.Pow(float64(e.life.hi)/float64(e.life.lo), r.Float64()))
	d.swing, d.spread = e.swing.draw(r), e.loadSpread.draw(r)
	shortest := time.Duration(math.MaxInt64)
	swing, every := e.loadSwing.draw(r), e.changeEvery.draw(r)
	habit := map[string]simulation.RetryPolicy{"never": simulation.NeverRetry, "at-once": simulation.RetryAtOnce, "fixed": simulation.RetryAfterFixedDelay,
		"backoff": simulation.RetryWithBackoff}[e.habits[r.IntN(len(e.habits))]]
	retries, wait, obeys, silence := e.retries.whole(r), e.wait.draw(r), e.obeys.draw(r), e.silence.draw(r)
	for i := range d.services {
		s := &d.services[i]
		s.LoadSpread, s.LoadChangeSpread, s.ChangeEvery, s.LifetimeSigma = d.spread, swing, every, d.sigma
		s.RetriesInARow, s.Retry, s.RetryDelay, s.ObeysRetryAfter, s.SilenceNoticed = retries, habit, wait, obeys, silence
		s.Return = simulation.Interval{Min: e.comeBack.lo, Max: e.comeBack.hi}
		shortest = min(shortest, s.Message)
	}
	w := simulation.New(seed, e.Length, shortest/3)
	d.World = w
	w.ConfigureSlowStart(simulation.SlowStartConfig{From: e.coldLeast, CollapseMultiple: e.multiple, CollapseWindow: e.fall})
	meanLoad := d.MeanLoad()
	w.ConfigureServices(simulation.ServicesConfig{Services: d.services, Customers: d.customers, Localities: e.halls,
		BeyondShareValue: e.beyond, MeanLoad: meanLoad, MessageWork: d.services[0].MessageWork})
	w.ConfigureEstablished(e.home)
	w.ConfigureNetwork(e.same.draw(r), e.cross.draw(r), e.client.draw(r))
	w.ConfigureFront(simulation.Interval{Min: e.frontNotice.lo, Max: e.frontNotice.hi})
	w.ConfigureDrains(map[string]simulation.Drain{"quiet": simulation.Quiet, "paced": simulation.Paced, "at-once": simulation.AtOnce}[e.drains])
	d.fleet(r, meanLoad)
	d.shares(r)
	iv := func(s span) simulation.Interval { return simulation.Interval{Min: s.lo, Max: s.hi} }
	w.ConfigureList(simulation.ListConfig{Notice: iv(e.notice), NoticeSilent: iv(e.silentNotice), NoticeAdded: iv(e.addNotice), Spread: iv(e.spread), MustSubscribe: e.asked})
	w.List.Begin()
	for _, t := range e.troubles {
		x := simulation.Fault{Kind: t.kind, Start: simulation.UniformDuration(r, t.startLo, t.startHi),
			Length: simulation.UniformDuration(r, t.lengthLo, t.lengthHi), Share: simulation.Uniform(r, t.shareLo, t.shareHi),
			Strength: simulation.Uniform(r, t.strengthLo, t.strengthHi), Extra: simulation.UniformDuration(r, t.extraLo, t.extraHi), Locality: simulation.AnyLocality}
		for i, h := range e.halls {
			if h == t.hall {
				x.Locality = simulation.LocalityID(i)
			}
		}
		if r.Float64() < t.chance {
			d.Troubles = append(d.Troubles, x)
		}
	}
	if h := e.headroom.draw(r); h > 0 {
		// The usual rate of set-ups is that of arrivals, as everybody comes once.
		w.ConfigureStore(h * d.rate())
	}
	return d
}

func (d *Day) fleet(r *rand.Rand, meanLoad float64) {
	e, w := d.Experiment, d.World
	n, halls := e.servers.whole(r), len(e.halls)
	fillings, queue, buffer, group := e.fillings.draw(r), e.queue.draw(r), e.buffer.draw(r), e.groupLoad.draw(r)
	coldFrom, byWork := e.coldFrom.draw(r), e.warmByWork.draw(r)
	for i := range n {
		cores, speed := e.cores.whole(r), e.speed.draw(r)
		size := 1.0
		if e.sizes == "rough" {
			size = float64(cores) * speed * simulation.Uniform(r, 0.85, 1.15)
		}
		full := float64(cores) * speed * d.perCore
		w.AddServer(simulation.ServerSpec{Locality: simulation.LocalityID(i % halls), Cell: simulation.CellID(i / e.cell), Cores: cores, Speed: speed, Size: size,
			MaxConnections: max(4, int(fillings*full)), MaxWaiting: int(queue * float64(cores)), Buffer: buffer, GroupLoad: group * meanLoad,
			SlowStart: e.warm.draw(r), SlowStartFrom: coldFrom, SlowStartByWork: byWork})
	}
	for i := range e.balancers.whole(r) {
		w.AddBalancer(simulation.LocalityID(i % halls))
	}
	d.capacity = w.Capacity()
	skew := e.hallSkew.draw(r)
	for range halls {
		d.skew = append(d.skew, math.Exp(skew*r.NormFloat64()))
	}
}

// shares sets what each customer may hold, and its groups.
func (d *Day) shares(r *rand.Rand) {
	fills := d.capacity * d.perCore
	next := simulation.GroupID(0)
	size, zipf := d.Experiment.groupSize.draw(r), d.Experiment.zipf.draw(r)
	for i := range max(1, len(d.customers)) {
		part := 1.0
		if len(d.customers) > 0 {
			d.customers[i].Quota = fills * 0.8 * d.customers[i].Share
			part = d.customers[i].Share
		}
		n := max(1, int(fills*d.load*part/size))
		d.groups = append(d.groups, groupOf{next, simulation.NewZipf(n, zipf)})
		next += simulation.GroupID(n)
	}
}

// standing is how many connections the load share stands for; a group's cost takes its part of the capacity.
func (d *Day) standing() float64 {
	e := d.Experiment
	perConnection := 1 + e.groupLoad.lo*0.25 // a group is mostly held by several
	load := 0.0
	shares := 0.0
	for _, s := range d.services {
		load += s.Share * s.Load * s.Lifetime
		shares += s.Share * s.Lifetime
	}
	return d.load * d.capacity * d.perCore / (perConnection * load / shares)
}

func (d *Day) meanLife() float64 {
	life, shares := 0.0, 0.0
	for _, s := range d.services {
		life += s.Share * s.Lifetime
		shares += s.Share
	}
	return d.life.Seconds() * life / shares
}

// rate is the usual rate of arrivals, a second.
func (d *Day) rate() float64 { return d.standing() / d.meanLife() }

// Begin puts the whole day on its agenda. The carrier must be set.
func (d *Day) Begin() {
	d.World.ScheduleFaults(d.Troubles)
	d.World.StartLoad(d.Source())
}

// Source draws the load: who stands when the day begins, then arrivals by thinning at the highest rate.
func (d *Day) Source() simulation.ArrivalSource {
	r := simulation.RandomSource(d.Seed, "load", 0)
	first := d.standing()
	if f := simulation.ArrivalRate(d.Troubles, 0); f > 1 {
		for _, t := range d.Troubles { // an overload holds from the first second on, with all that stands
			if t.Kind == simulation.Overload && t.Start == 0 {
				first *= t.Strength
			}
		}
	}
	most := 1.0
	for _, t := range d.Troubles {
		if t.Kind == simulation.Burst || t.Kind == simulation.Overload {
			most *= math.Max(1, t.Strength)
		}
	}
	return &source{d: d, r: r, standing: int(first), most: most * (1 + d.swing), phase: r.Float64()}
}

type source struct {
	d        *Day
	r        *rand.Rand
	standing int
	at       float64
	most     float64
	phase    float64
}

func (s *source) Next() (simulation.Arrival, bool) {
	d := s.d
	if s.standing > 0 {
		s.standing--
		v := s.visit()
		// Who is met standing has a long life the likelier, and is somewhere within it.
		v.Lifetime = time.Duration(float64(v.Lifetime) * math.Exp(d.sigma*d.sigma) * s.r.Float64())
		v.IsEstablished = true
		return v, true
	}
	for {
		s.at += s.r.ExpFloat64() / (d.rate() * s.most)
		at := time.Duration(s.at * float64(time.Second))
		if at > d.Experiment.Length {
			return simulation.Arrival{}, false
		}
		if s.r.Float64()*s.most < simulation.ArrivalRate(d.Troubles, at)*s.curve(at) {
			v := s.visit()
			v.At = at
			return v, true
		}
	}
}

// curve is the shape of the load over the day, 1 on average.
func (s *source) curve(at time.Duration) float64 {
	x := at.Seconds() / s.d.Experiment.Length.Seconds()
	switch s.d.Experiment.shape {
	case "wave":
		return 1 + s.d.swing*math.Sin(2*math.Pi*(4*x+s.phase))
	case "daily":
		return 1 - s.d.swing*math.Cos(2*math.Pi*x)
	}
	return 1
}

func (s *source) visit() (v simulation.Arrival) {
	d, r := s.d, s.r
	v.Service = simulation.ServiceID(weighted(r, len(d.services), func(i int) float64 { return d.services[i].Share }))
	svc := d.services[v.Service]
	v.Customer = -1
	group := d.groups[0]
	if len(d.customers) > 0 {
		v.Customer = simulation.CustomerID(weighted(r, len(d.customers), func(i int) float64 { return d.customers[i].Share * d.customers[i].Usage }))
		group = d.groups[v.Customer]
		c, all := d.customers[v.Customer], 0.0
		for _, o := range d.customers {
			all += o.Share * o.Usage
		}
		asks := c.Share * c.Usage / all * d.standing()
		v.IsBeyondShare = r.Float64() > c.Quota/math.Max(asks, 1e-9)
	}
	v.Group = group.first + simulation.GroupID(group.zipf.Draw(r))
	v.Locality = simulation.LocalityID(weighted(r, len(d.skew), func(i int) float64 { return d.skew[i] }))
	v.Load = svc.Load / d.perCore * simulation.LogNormal(r, svc.LoadSpread)
	v.Lifetime = time.Duration(svc.Lifetime * d.life.Seconds() * simulation.LogNormal(r, svc.LifetimeSigma) * float64(time.Second))
	return v
}

func weighted(r *rand.Rand, n int, of func(int) float64) int {
	all := 0.0
	for i := range n {
		all += of(i)
	}
	x := r.Float64() * all
	for i := range n {
		if x -= of(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// ServerName is what a server is called outside the world, the same in both drives.
func ServerName(s simulation.ServerID) string { return fmt.Sprintf("s-%03d", int(s)) }

// GroupName is what a group is called outside the world; empty for none.
func GroupName(g simulation.GroupID) string {
	if g == simulation.NoGroup {
		return ""
	}
	return "g-" + strconv.Itoa(int(g))
}

// Settings are the terms on which balancer b decides, as the platform tells them: paths and plain values.
func (d *Day) Settings(b simulation.BalancerID) map[string]string {
	e := d.Experiment
	ns := func(t time.Duration) string { return strconv.FormatInt(int64(t), 10) }
	num := func(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
	s := map[string]string{
		"az": e.halls[d.World.Balancers[b].Locality], "discovery": "push", "weights": e.sizes, "ordinal": strconv.Itoa(int(b)),
		"peers-total":                   strconv.Itoa(len(d.World.Balancers)),
		"family-info.mode":              "proxy",
		"family-info.tells-delay":       "true",
		"guarantees.cold-from":          num(e.coldLeast),
		"guarantees.fall-multiple":      num(e.multiple),
		"guarantees.warm-after":         ns(e.warmMost),
		"guarantees.fall":               ns(e.fall),
		"guarantees.drain-grace":        ns(e.grace),
		"guarantees.must-ask-in":        ns(10 * time.Second),
		"policy-limits.max-connects":    strconv.Itoa(e.connects),
		"policy-limits.connect-timeout": ns(e.connectTimeout),
		"policy-limits.probes":          "false",
		"policy-limits.retry-after":     strconv.FormatBool(e.retryAfter > 0),
		"policy-limits.max-retry-after": ns(e.retryAfter),
		"tariffs.cross-zone":            num(e.crossing),
		"tariffs.moves":                 num(e.moves),
		"beyond-share-value":            num(e.beyond),
		"service-types.count":           strconv.Itoa(len(d.services)),
		"tenants.count":                 strconv.Itoa(len(d.customers)),
	}
	if e.asked {
		s["discovery"] = "ask"
	}
	if e.probes {
		s["policy-limits.probes"], s["reporting.how"], s["reporting.columns"] = "true", "pull", "x0"
	}
	aims, quotas := "", ""
	for i, v := range d.services {
		p := "service-types." + strconv.Itoa(i) + "."
		s[p+"name"], s[p+"effect"], s[p+"group"] = v.Name, v.Effect, v.Group
		s[p+"setup-target"], s[p+"hard-limit"], s[p+"window"] = ns(v.Target), ns(v.Timeout), ns(v.Window)
		s[p+"value"] = num(v.Value)
		aims += "," + ns(v.Message)
	}
	for i, c := range d.customers {
		s["tenants."+strconv.Itoa(i)+".name"] = c.Name
		quotas += "," + num(c.Quota)
	}
	s["family-info.message-aim"] = aims[1:]
	if quotas != "" {
		s["family-info.tenant-quota-connections"] = quotas[1:]
	}
	return s
}

// Terms are the limits that an invariant checker and a driver hold a run to.
type Terms struct {
	DrainGrace        time.Duration // from the announcement of a drain until no connect may be sent
	SlowStartMultiple float64       // of its capacity that a starting server may be sent over a window
	SlowStartWindow   time.Duration
	SlowStart         time.Duration // how long a server starts at the most
	MaxConnects       int           // that a flow may use
	ConnectTimeout    time.Duration
}

// Terms of the experiment.
func (e *Experiment) Terms() Terms {
	return Terms{DrainGrace: e.grace, SlowStartMultiple: e.multiple, SlowStartWindow: e.fall, SlowStart: e.warmMost,
		MaxConnects: e.connects, ConnectTimeout: e.connectTimeout}
}

// Probes tells whether servers report their load to those that probe.
func (e *Experiment) Probes() bool { return e.probes }

// RetryAfter is what those turned away may be told to wait.
func (e *Experiment) RetryAfter() time.Duration { return e.retryAfter }

// MeanLoad is that of a connection, in cores.
func (d *Day) MeanLoad() float64 { return 1 / d.perCore }

// Weights are how service is counted.
func (e *Experiment) Weights() count.Weights {
	return count.Weights{ServedShare: e.whole, WorstWindow: e.window, WorstCustomer: e.worstCustomer, WorstServiceType: e.worstService,
		Crossing: e.crossing, Migrations: e.moves, Connects: e.fee}
}
