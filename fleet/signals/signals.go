package signals

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"yardwinch/bounds"
	"yardwinch/decide"
)

const (
	dear        = 4.0                     // in units of the design's cost: more than grouping and a usual load are worth together
	freshFor    = 2500 * time.Millisecond // own evidence, as late servers' notes come every second
	countsFor   = 5 * time.Second         // trouble told by others: twice the evidence's own time, for the way
	witnessFor  = 15 * time.Second        // those who say that all is well there
	ownGoodFor  = time.Second             // what was seen here a moment ago is never overruled
	leastVoices = 2                       // one liar, or one behind a bad link, is never enough
	mostVoices  = 5                       // as many voices as spread a trouble; more would only cost bytes
	letGoEvery  = time.Second             // one balancer after the other: the next hears first what the one before met
	holdFirst   = 5 * time.Second         // a server that was found in trouble stays dear so long after the last word of it
	holdMost    = 36 * time.Second        // doubled each time that it is found so again soon
	mostRenewed = 3                       // a lone voice may have one that was found before dear again so often
	mostPassed  = 100                     // records for a member that asks for all
	sharedPart  = 10                      // of the servers, that may be dear at a time; beyond, none is
	keptSamples = 4                       // of set-ups, by server
	sayGap      = 250 * time.Millisecond  // between two records of one origin
	loadFor     = 6 * time.Second         // a report that was told thrice was heard; what is older is no news
	sayRest     = 2 * time.Second         // the same while nothing is wrong, in a small fleet
	restFleet   = 40                      // in a larger one it grows with the fleet, so that what passes stays the same
)

// sight is what this balancer itself sees of a server.
type sight struct {
	samples []sample // of set-ups, newest last
	lateAt  time.Duration
	goodAt  time.Duration
	held    int
	silent  int // connects in a row with nothing back
	cutAt   time.Duration
}

type sample struct {
	at     time.Duration
	failed bool
}

// common is what all together see of a server.
type common struct {
	bad, well int // origins, this one too
	what      Trouble
	origins   []Origin
	held      int
	until     time.Duration // dear until then
	hold      time.Duration
	lastFound time.Duration
	renewed   int // times that a lone voice had it dear again
}

// share is a figure from 0 to 1 of a balancer and a server: all let a server go at times of their own, so that the first finds out for
// all whether it is well again.
func share(o Origin, id decide.ServerID) float64 {
	h := fnv.New32a()
	_, _ = h.Write(append([]byte(o), byte(id>>24), byte(id>>16), byte(id>>8), byte(id))) // a hash takes all
	return float64(h.Sum32()) / math.MaxUint32
}

// Signals is the decider of one balancer; see bounds.Decider.
type Signals struct {
	bounds.None
	store    *Store
	now      time.Duration
	own      Record
	lateFrom time.Duration // a message, and target a set-up, that takes longer is late
	target   time.Duration
	on       bool // false: it tells and hears, and bounds nothing
	seen     map[decide.ServerID]*sight
	all      map[decide.ServerID]*common
	gathered time.Duration
	dirty    bool
	came     int // flows since the last record
	said     time.Duration
	told     []Sight
	fleet    int // members, this one too
	ready    map[decide.ServerID]bool
	loads    map[decide.ServerID]ownLoad
	passing  bool
	voices   map[Origin]bool
	shared   bool // more servers are in trouble than may be left out
	passed   int
	did      func(decide.ServerID, time.Duration) (epoch uint64)
}

// ownLoad is a server's word that came here first.
type ownLoad struct {
	load  float64
	epoch uint64
	at    time.Duration
}

// New makes one that tells as origin. A message that takes longer than lateFrom is late, a set-up that takes longer than target too.
// With on false nothing is bounded.
func New(origin Origin, inc Incarnation, build, settings string, lateFrom, target time.Duration, on bool) *Signals {
	return &Signals{store: NewStore(origin), own: Record{Origin: origin, Incarnation: inc, Build: build, Settings: settings}, lateFrom: lateFrom, target: target, on: on,
		seen: map[decide.ServerID]*sight{}, all: map[decide.ServerID]*common{},
		ready: map[decide.ServerID]bool{}, loads: map[decide.ServerID]ownLoad{}, said: -time.Hour, gathered: -time.Hour}
}

func (s *Signals) Name() string         { return "signals" }
func (s *Signals) At(now time.Duration) { s.now = now }

// ---- what happens here

func (s *Signals) sight(id decide.ServerID) *sight {
	x := s.seen[id]
	if x == nil {
		x = &sight{lateAt: never, goodAt: never, cutAt: never}
		s.seen[id] = x
	}
	return x
}

const never = -time.Hour

func (s *Signals) Listed(id decide.ServerID, _ decide.Zone, _ float64, st decide.Readiness, _ time.Duration) {
	if s.ready[id] = true; st != decide.Ready {
		delete(s.ready, id)
	}
	if st == decide.Gone {
		delete(s.loads, id)
		if x := s.seen[id]; x != nil && x.held == 0 {
			delete(s.seen, id)
		}
		delete(s.all, id)
	}
}

func (s *Signals) Came(decide.FlowID, decide.ServiceID, decide.CustomerID, decide.GroupKey) { s.came++ }

func (s *Signals) Stood(_ decide.FlowID, on decide.ServerID, took time.Duration) {
	x := s.sight(on)
	x.held++
	if took < 0 {
		return // from before the start: nobody saw how it went
	}
	x.silent = 0
	x.sample(s.now, false)
	if took > s.target {
		x.lateAt = s.now
	} else {
		x.goodAt = s.now
	}
	s.dirty = true
}

func (x *sight) sample(now time.Duration, failed bool) {
	x.samples = append(x.samples, sample{now, failed})
	x.samples = x.samples[max(0, len(x.samples)-keptSamples):]
}

func (s *Signals) Over(_ decide.FlowID, on decide.ServerID, o decide.Outcome, stood bool) {
	x := s.sight(on)
	if stood {
		x.held = max(0, x.held-1)
		if o == decide.Reset {
			x.sample(s.now, true)
		}
	} else {
		switch o {
		case decide.Unreachable, decide.TimedOut:
			x.silent++
			x.sample(s.now, true)
			x.cutAt = s.now
		case decide.Error, decide.Reset:
			x.sample(s.now, true)
		}
	}
	s.dirty = true
}

// Late: a message took that long. Notes come while it is late, and once when it is so no more.
func (s *Signals) Late(on decide.ServerID, delay time.Duration) {
	x := s.sight(on)
	if delay > s.lateFrom {
		x.lateAt = s.now
	} else {
		x.lateAt, x.goodAt = never, s.now
	}
	s.dirty = true
}

// Share has what servers report here told to the others; did hears of each report that came here first and gives the epoch of the duty.
func (s *Signals) Share(did func(decide.ServerID, time.Duration) (epoch uint64)) { s.did = did }

// Reported: a server's word on its load. One that another passed on is not told again as this balancer's own.
func (s *Signals) Reported(id decide.ServerID, load float64) {
	if s.did != nil && !s.passing {
		s.loads[id] = ownLoad{load, s.did(id, s.now), s.now}
	}
}

// Passing runs something while reports are others'.
func (s *Signals) Passing(do func()) {
	s.passing = true
	defer func() { s.passing = false }()
	do()
}

// trouble is what this balancer sees of a server now, and how old the evidence is.
func (x *sight) trouble(now time.Duration) (Trouble, time.Duration) {
	failed, last := 0, never
	for _, m := range x.samples {
		if m.failed && now-m.at < 2*freshFor {
			failed++
			last = m.at
		}
	}
	switch {
	case x.silent >= 2 && now-x.cutAt < 2*freshFor:
		return Silent, now - x.cutAt
	case failed >= 2 && 2*failed >= len(x.samples):
		return Failing, now - last
	case now-x.lateAt < freshFor:
		return Late, now - x.lateAt
	}
	return Well, now - x.goodAt
}

// ---- what others tell

// Merge takes in what another balancer told; news is worth passing on. One of this balancer's own, from before a restart or of a namesake, has it
// tell as a later incarnation.
func (s *Signals) Merge(r Record) (news bool) {
	if r.Origin == s.own.Origin {
		if r.Incarnation > s.own.Incarnation || r.Incarnation == s.own.Incarnation && r.Sequence > s.own.Sequence {
			s.own.Incarnation, s.said = r.Incarnation+1, never
		}
		return false
	}
	news = s.store.Merge(r, s.now)
	s.dirty = s.dirty || news
	return news
}

// Voices are the origins whose word counts from now on: members that are seen alive. Whoever only sends records under a name is none,
// and the word of one that is gone is no news of anything. Without a call all count.
func (s *Signals) Voices(alive []Origin) {
	s.voices = map[Origin]bool{}
	for _, o := range alive {
		s.voices[o] = true
	}
}

// gather brings together what all say, at most once in a while: deciding must not pay for it.
func (s *Signals) gather() {
	if !s.dirty && s.now-s.gathered < sayGap || s.now-s.gathered < sayGap/5 {
		return
	}
	s.dirty, s.gathered = false, s.now
	for _, c := range s.all {
		c.bad, c.well, c.what, c.held, c.origins = 0, 0, Well, 0, c.origins[:0]
	}
	for id, x := range s.seen {
		what, age := x.trouble(s.now)
		s.voice(s.own.Origin, Sight{id, what, x.held, 0}, age)
	}
	for _, o := range slices.Sorted(maps.Keys(s.store.records)) { // origins are told in this order
		if s.voices != nil && !s.voices[o] {
			continue
		}
		h := s.store.records[o]
		for _, v := range h.Sights {
			s.voice(o, v, v.Age+s.now-h.at)
		}
	}
	dears := 0
	for id, c := range s.all {
		if again := s.now < c.lastFound+2*holdMost; c.found() || again && c.bad > 0 && c.well == 0 && (s.now < c.until || c.renewed < mostRenewed) {
			switch {
			case !again:
				c.hold = holdFirst
			case s.now > c.until: // soon after it was let go
				c.hold = min(2*c.hold, holdMost)
				c.renewed++
			}
			if c.found() {
				c.lastFound, c.renewed = s.now, 0
			}
			c.until = s.now + c.hold + time.Duration(share(s.own.Origin, id)*float64(max(s.fleet, 3))*float64(letGoEvery))
		} else if c.well >= leastVoices && c.bad == 0 {
			c.until = min(c.until, s.now) // those who hold connections there say that it is over
		}
		if s.now < c.until && s.ready[id] {
			dears++
		}
		if c.bad+c.well == 0 && c.held == 0 && s.now-c.lastFound > 4*holdMost {
			delete(s.all, id)
		}
	}
	// Trouble of many is no matter of single servers: to leave them out would push their load onto the rest, cold ones first.
	s.shared = dears > max(1, len(s.ready)/sharedPart)
}

// voice counts one origin's word on a server: one voice each, whatever it claims to hold.
func (s *Signals) voice(o Origin, v Sight, age time.Duration) {
	c := s.all[v.Server]
	if c == nil {
		c = &common{lastFound: never, until: never}
		s.all[v.Server] = c
	}
	if age < witnessFor+countsFor {
		c.held += v.Held
	}
	switch {
	case v.Trouble != Well && age < countsFor:
		c.bad++
		c.what = max(c.what, v.Trouble)
		if len(c.origins) < mostVoices {
			c.origins = append(c.origins, o)
		}
	case v.Trouble == Well && v.Held > 0 && age < witnessFor:
		c.well++
	}
}

// found tells whether enough say that a server is in trouble: two at the least, and no fewer than hold connections there and say that
// all is well. So one that lies, or sits behind a bad link, moves nobody, and trouble that only some have stays with them.
func (c *common) found() bool { return c.bad >= leastVoices && c.bad >= c.well }

// Server makes one dearer that enough others found in trouble, unless this balancer itself saw it well a moment ago.
func (s *Signals) Server(_ decide.FlowID, id decide.ServerID) (float64, bounds.Reason) {
	if !s.on {
		return 0, ""
	}
	s.gather()
	c := s.all[id]
	if c == nil || s.now >= c.until || s.shared {
		return 0, ""
	}
	if x := s.seen[id]; x != nil { // what is held here and is well, or stood well a moment ago, is no matter of others'
		if what, _ := x.trouble(s.now); what == Well && (x.held > 0 || s.now-x.goodAt < ownGoodFor) {
			return 0, ""
		}
	}
	return dear, ""
}

// ---- what this balancer tells

// Tell is the record to spread now, if one is due: soon after something changed, and now and then, in a fleet of so many. It goes out less often the larger the fleet
// is, and a trouble that enough others tell already is no reason to hurry.
func (s *Signals) Tell(fleet int) (Record, bool) {
	s.fleet = fleet
	if s.now-s.said < sayGap {
		return Record{}, false
	}
	s.gather()
	rest := time.Duration(float64(sayRest) * math.Max(1, float64(fleet)/restFleet))
	now, hurry := s.sights()
	if !hurry && s.now-s.said < rest {
		return Record{}, false
	}
	elapsed := (s.now - s.said).Seconds()
	if s.own.Sequence > 0 {
		s.own.Rate = float64(s.came) / math.Max(elapsed, 0.001)
	}
	s.own.Sequence++
	s.own.Sights, s.told, s.said, s.came = now, now, s.now, 0
	s.own.Loads = nil
	for _, id := range slices.Sorted(maps.Keys(s.loads)) {
		if x := s.loads[id]; s.now-x.at < loadFor && len(s.own.Loads) < MostLoads {
			s.own.Loads = append(s.own.Loads, Load{id, x.load, x.epoch, s.now - x.at})
		}
	}
	return s.own, true
}

// sights are those to tell, in trouble first; hurry where one of them is worth telling at once.
func (s *Signals) sights() (list []Sight, hurry bool) {
	was := map[decide.ServerID]Sight{}
	for _, v := range s.told {
		was[v.Server] = v
	}
	for id, x := range s.seen {
		what, age := x.trouble(s.now)
		if what == Well && x.held == 0 {
			if w, told := was[id]; told && w.Trouble != Well && age < freshFor {
				list = append(list, Sight{id, Well, 0, age})
			}
			continue
		}
		if what == Well {
			age = 0 // connections stand there now
		}
		v := Sight{id, what, x.held, age}
		list = append(list, v)
		others := 0
		if c := s.all[id]; c != nil {
			others = c.bad - 1
		}
		// A trouble must be told again before what was told of it fades, by some of those who see it.
		if what != Well && others < mostVoices && (was[id].Trouble == Well || s.now-s.said > countsFor/2) ||
			what == Well && was[id].Trouble != Well {
			hurry = true
		}
	}
	slices.SortFunc(list, func(a, b Sight) int {
		if a.Trouble != b.Trouble {
			return int(b.Trouble) - int(a.Trouble)
		}
		if a.Held != b.Held {
			return b.Held - a.Held
		}
		return int(int64(a.Server) - int64(b.Server))
	})
	return list[:min(len(list), MostSights)], hurry
}

// Away: this process stood still. What it saw is as old as that; it tells nothing of it as new.
func (s *Signals) Away() { s.dirty = true }

// ---- for whoever asks

// State is what is held: servers that others find in trouble, with who says so, and all origins.
func (s *Signals) State() any {
	s.gather()
	type server struct {
		Server  decide.ServerID `json:"id"`
		What    string          `json:"what"`
		Bad     int             `json:"say_so"`
		Well    int             `json:"say_well"`
		Held    int             `json:"held_by_all"`
		Dear    bool            `json:"dearer_here"`
		Origins []Origin        `json:"origins"`
	}
	var list []server
	for _, id := range slices.Sorted(maps.Keys(s.all)) {
		c := s.all[id]
		if c.bad > 0 || s.now < c.until {
			list = append(list, server{id, c.what.String(), c.bad, c.well, c.held, s.now < c.until, slices.Clone(c.origins)})
		}
	}
	return map[string]any{"on": s.on, "servers": list, "origins": len(s.store.records)}
}

// Known is what each origin last told, and its age.
func (s *Signals) Known() ([]Record, []time.Duration) { return s.store.All(s.now) }

// Passed is what another that asks is told: this balancer's own record and others', as old as they are now; of a large fleet those that
// tell of trouble first and a part of the rest, another one each time, so that it costs the same in any fleet.
func (s *Signals) Passed() []Record {
	list, ages := s.store.All(s.now)
	if len(list) > mostPassed {
		list, ages = s.some(list, ages)
	}
	if s.own.Sequence > 0 {
		list, ages = append(list, s.own), append(ages, s.now-s.said)
	}
	for i := range list {
		list[i].Sights, list[i].Loads = slices.Clone(list[i].Sights), slices.Clone(list[i].Loads)
		for k := range list[i].Loads {
			list[i].Loads[k].Age += ages[i]
		}
		for k := range list[i].Sights {
			list[i].Sights[k].Age += ages[i]
		}
	}
	return list
}

func (s *Signals) some(all []Record, old []time.Duration) (list []Record, ages []time.Duration) {
	s.passed++
	from := s.passed * mostPassed / 2 % len(all)
	take := func(i int) {
		list, ages = append(list, all[i]), append(ages, old[i])
	}
	ill := func(r Record) bool {
		return slices.ContainsFunc(r.Sights, func(v Sight) bool { return v.Trouble != Well })
	}
	for i := range all {
		if ill(all[i]) && len(list) < mostPassed/2 {
			take(i)
		}
	}
	for i := range all {
		if k := (from + i) % len(all); !ill(all[k]) && len(list) < mostPassed {
			take(k)
		}
	}
	return list, ages
}

// Own is what this balancer last told.
func (s *Signals) Own() Record { return s.own }

// Why names the signal that makes a server dearer, with its origins; empty: none does.
func (s *Signals) Why(id decide.ServerID) string {
	if c := s.all[id]; c != nil && s.now < c.until {
		return fmt.Sprintf("%s, say %v", c.what, c.origins)
	}
	return ""
}

var _ bounds.Decider = (*Signals)(nil)
