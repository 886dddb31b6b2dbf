package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// Phase is where a server stands.
type Phase int

// Phases of a server.
const (
	Serving   Phase = iota
	Leaving         // drains
	Down            // no process: connections are refused
	Silent          // cut off or stalled: nothing comes back
	Collapsed       // pushed over while cold, and down for good
)

func (p Phase) String() string {
	return [...]string{"serving", "leaving", "down", "silent", "fallen"}[p]
}

// valueKey sums the value a second of connections that are counted alike.
type valueKey struct {
	service          ServiceID
	customer         CustomerID
	balancerLocality LocalityID
	clientLocality   LocalityID
	beyond           bool
}

// Server is one real server. Standing connections ask for work all the time and share the cores with set-ups; what
// can't be done piles up, and messages then wait behind it.
type Server struct {
	w               *World
	ID              ServerID
	Locality        LocalityID
	Cell            CellID
	Cores           int
	Speed           float64
	MaxConnections  int           // connections
	Buffer          time.Duration // of messages; connections are dropped beyond it
	GroupLoad       float64
	Size            float64 // as the list tells it
	slowStartFrom   float64
	slowStart       time.Duration
	slowStartByWork float64 // the part of warming that comes with work done
	phase           Phase
	startedAt       time.Duration
	worked          float64 // since the start, over what fills the warm-up
	incarnation     int
	slowdown        float64 // times slower
	stolenShare     float64 // part taken by a neighbour
	errorShare      float64 // share of set-ups that fail fast
	conns           []*conn
	connByID        map[ConnID]*conn
	groups          map[GroupID]int
	demand          float64
	setups          *Queue
	backlog         float64 // core seconds of speed 1
	settled         time.Duration
	values          map[valueKey]float64
	valueKeys       []valueKey
	chance          *rand.Rand
	recentConnects  []recentConnect // onto a cold server, over the last window
	recentLoad      float64
	drain           Drain
	established     int
	delayReported   bool // of lateness, so that its end is told too
	Share           float64
}

// Phase is the one in which the server is.
func (s *Server) Phase() Phase { return s.phase }

// StartedAt is when it started.
func (s *Server) StartedAt() time.Duration { return s.startedAt }

// Established is how many connections stand on it.
func (s *Server) Established() int { return s.established }

// ConnectionCount is how many it has, those that are being set up too.
func (s *Server) ConnectionCount() int { return len(s.conns) }

// IsServing tells whether it serves, be it that it drains.
func (s *Server) IsServing() bool { return s.phase == Serving || s.phase == Leaving }

// WarmFraction is the part of its capacity that a server has by now.
func (s *Server) WarmFraction() float64 {
	if s.startedAt == LongAgo || s.slowStart == 0 {
		return 1
	}
	t := math.Min(1, (s.w.Schedule.now-s.startedAt).Seconds()/s.slowStart.Seconds())
	did := (1-s.slowStartByWork)*t + s.slowStartByWork*math.Min(s.worked, math.Min(1, 2*t))
	return s.slowStartFrom + (1-s.slowStartFrom)*math.Min(1, math.Max(did, t*t))
}

// FullCapacity is the work a second that it does when warm and in no trouble.
func (s *Server) FullCapacity() float64 { return float64(s.Cores) * s.Speed }

// CurrentCapacity is the work a second that it does now.
func (s *Server) CurrentCapacity() float64 {
	if !s.IsServing() {
		return 0
	}
	return s.FullCapacity() * s.WarmFraction() * (1 - s.stolenShare) / s.slowdown
}

// Demand is the work a second that standing connections ask for.
func (s *Server) Demand() float64 { return s.demand }

// MessageDelay is how long a message takes now.
func (s *Server) MessageDelay() time.Duration {
	can := s.CurrentCapacity()
	if can <= 0 {
		return time.Hour
	}
	free := math.Max(1-s.demand/can, 0.005)
	d := s.backlog/can + s.w.messageWork/(s.Speed*free)
	return time.Duration(math.Min(d, 60) * float64(time.Second))
}

// inTime is the share of messages done within a time, with so much piled up.
func (s *Server) inTime(backlog float64, within time.Duration) float64 {
	can := s.CurrentCapacity()
	if can <= 0 {
		return 0
	}
	left := within.Seconds() - backlog/can
	free := 1 - s.demand/can
	if left <= 0 || free <= 0 {
		return 0
	}
	return 1 - math.Exp(-left*free*s.Speed/s.w.messageWork)
}

// settle brings the books of a server up to now. All that changes its load, its pace or its connections calls it
// first, so that in between everything grows evenly.
func (s *Server) settle() {
	now := s.w.Schedule.now
	dt := (now - s.settled).Seconds()
	if dt <= 0 {
		return
	}
	can, before := s.CurrentCapacity(), s.backlog
	work := s.demand + float64(s.setups.Busy())*s.setups.speed
	if s.IsServing() {
		s.backlog = math.Max(0, before+(work-can)*dt)
		if s.slowStart > 0 && can > 0 {
			s.worked += math.Min(work, can) * dt / (s.FullCapacity() * s.slowStart.Seconds() / 2)
		}
	}
	s.Share = 0
	for _, k := range s.valueKeys {
		v := s.values[k]
		if v <= 0 {
			continue
		}
		part := 0.0
		if !s.w.Network.IsBlocked(k.balancerLocality, s.Locality) && !s.w.Network.IsBlocked(s.Locality, k.balancerLocality) {
			within := s.w.Services[k.service].Message
			part = (s.inTime(before, within) + s.inTime(s.backlog, within)) / 2
			s.Share = part
		}
		s.w.Accounting.AddServed(k.service, k.customer, k.beyond, k.clientLocality, s.settled, now, v*part)
	}
	s.settled = now
}

// setSetupSpeed gives set-ups what standing connections leave, and a tenth at the least: a crowded server still lets
// some in, and is later with its messages for it.
func (s *Server) setSetupSpeed() {
	can := s.CurrentCapacity()
	if can <= 0 {
		s.setups.SetSpeed(0)
		return
	}
	s.setups.SetSpeed(can / float64(s.Cores) * math.Max(0.1, 1-s.demand/can))
}

func (s *Server) changed() { s.setSetupSpeed() }

// addDemand changes what a connection's standing costs.
func (s *Server) addDemand(delta float64) {
	s.settle()
	s.demand = math.Max(0, s.demand+delta)
	s.changed()
}

func (s *Server) count(k *conn, sign float64) {
	key := valueKey{k.client.Service, k.client.Customer, k.balancerLocality, k.client.Locality, k.client.Beyond}
	if _, ok := s.values[key]; !ok {
		s.valueKeys = append(s.valueKeys, key)
	}
	s.values[key] += sign * s.w.Services[k.client.Service].Value
	if s.values[key] < 1e-9 {
		s.values[key] = 0
	}
}

// reportDelay tells of a server that is late, once a second, and once more when that is over.
func (s *Server) reportDelay() {
	if !s.IsServing() || s.established == 0 {
		return
	}
	s.settle()
	s.changed()
	d := s.MessageDelay()
	if late := d > s.w.reportDelayFrom; late || s.delayReported {
		s.delayReported = late
		s.w.Driver.ReportDelay(s.ID, d)
	}
	// Beyond its buffer a server drops some of its connections, the newest first.
	if s.Buffer > 0 && d > s.Buffer {
		for n := len(s.conns)/12 + 1; n > 0 && len(s.conns) > 0; n-- {
			k := s.conns[len(s.conns)-1]
			s.end(k)
			s.w.Driver.EndConnect(k.id, Dropped)
		}
		s.backlog *= 0.7
	}
}

// SlowStartRateOver is the load of new connections that a server which warms over a time can take in a second by now: what would
// fill it over its warm-up, by the part that it can do.
func (s *Server) SlowStartRateOver(warm time.Duration) float64 {
	return s.FullCapacity() / warm.Seconds() * s.WarmFraction()
}

// SlowStartRate is Takes by its own warm-up.
func (s *Server) SlowStartRate() float64 { return s.SlowStartRateOver(s.slowStart) }

// SlowStartBudget is the load that a cold server may still be sent now without falling over; a warm one has any.
func (s *Server) SlowStartBudget() float64 {
	if s.startedAt == LongAgo || s.w.collapseMultiple == 0 || s.WarmFraction() >= 1 {
		return math.Inf(1)
	}
	for len(s.recentConnects) > 0 && s.recentConnects[0].at <= s.w.Schedule.now-s.w.collapseWindow {
		s.recentLoad -= s.recentConnects[0].load
		s.recentConnects = s.recentConnects[1:]
	}
	return s.SlowStartRate()*s.w.collapseWindow.Seconds()*s.w.collapseMultiple - s.recentLoad
}

// StoreWait is how long a set-up would wait for the store now, in seconds.
func (w *World) StoreWait() float64 {
	if w.Store == nil {
		return 0
	}
	return float64(w.Store.Jobs()) * w.storeSlowdown / w.storeRate
}
