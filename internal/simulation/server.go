package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// Phase is the state of a server.
type Phase int

// Phases of a server.
const (
	Serving   Phase = iota // takes connections
	Leaving                // drains
	Down                   // has no process: connections are refused
	Silent                 // is cut off or stalled: there is no reply
	Collapsed              // was overloaded in slow start, and is down for good
)

// String is the phase in lower case.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "down", "silent", "collapsed"}[p]
}

const (
	minFreeShare    = 0.005 // of a server's capacity, in its delays
	maxDelaySeconds = 60
	minSetupShare   = 0.1 // of a server's capacity, that is left to set-ups
	dropDivisor     = 12  // a server beyond its buffer drops one connection in so many
	backlogAfter    = 0.7 // of the backlog is left after such a drop
	roundingError   = 1e-9
)

// ServerSpec is what a server is made of.
type ServerSpec struct {
	Locality       LocalityID
	Cell           CellID
	Cores          int
	Speed          float64 // work that a core does in a second
	Size           float64 // in the list
	MaxConnections int
	MaxWaiting     int           // set-ups that wait for a core
	Buffer         time.Duration // of messages; connections are dropped beyond it
	GroupLoad      float64       // that the first connection of a group adds

	SlowStart       time.Duration
	SlowStartFrom   float64 // share of the capacity at the start
	SlowStartByWork float64 // share of the warming up that comes with work done
}

// Server is one server. Established connections ask for work all the time and share the cores with set-ups. What can't be done piles up,
// and messages then wait behind it.
type Server struct {
	ServerSpec
	ID ServerID

	w           *World
	random      *rand.Rand
	phase       Phase
	startedAt   time.Duration
	incarnation int

	slowdown    float64 // times slower
	stolenShare float64 // of the cores, by a neighbour
	errorShare  float64 // of set-ups that fail fast

	conns       []*conn
	connByID    map[ConnID]*conn
	established int
	groups      map[GroupID]int
	setups      *Queue

	demand         float64 // work a second
	backlog        float64 // core seconds of speed 1
	workDone       float64 // since the start, over what warms it up
	settledAt      time.Duration
	values         map[valueKey]float64 // a second
	valueKeys      []valueKey           // in the order of their first use
	delayReported  bool                 // the last report said that it is late, so that the end of that is reported too
	recentConnects []recentConnect      // in slow start, over the last window
	recentLoad     float64
}

// valueKey says which established connections are counted alike.
type valueKey struct {
	account          Account
	balancerLocality LocalityID
}

// Phase is the one in which the server is.
func (s *Server) Phase() Phase { return s.phase }

// StartedAt is when it started.
func (s *Server) StartedAt() time.Duration { return s.startedAt }

// Established is how many connections are established on it.
func (s *Server) Established() int { return s.established }

// ConnectionCount is how many connections it has, those that are being set up too.
func (s *Server) ConnectionCount() int { return len(s.conns) }

// HoldsGroup reports whether any connection of a group is established here.
func (s *Server) HoldsGroup(g GroupID) bool { return g != NoGroup && s.groups[g] > 0 }

// IsServing reports whether it serves, which it still does while it drains.
func (s *Server) IsServing() bool { return s.phase == Serving || s.phase == Leaving }

// WarmFraction is the part of its capacity that a server has by now.
func (s *Server) WarmFraction() float64 {
	if s.startedAt == LongAgo || s.SlowStart == 0 {
		return 1
	}
	elapsed := math.Min(1, (s.w.Schedule.now-s.startedAt).Seconds()/s.SlowStart.Seconds())
	worked := math.Min(s.workDone, math.Min(1, 2*elapsed))
	warmedUp := (1-s.SlowStartByWork)*elapsed + s.SlowStartByWork*worked
	return s.SlowStartFrom + (1-s.SlowStartFrom)*math.Min(1, math.Max(warmedUp, elapsed*elapsed))
}

// FullCapacity is the work a second that it does when it is warm and has no fault.
func (s *Server) FullCapacity() float64 { return float64(s.Cores) * s.Speed }

// CurrentCapacity is the work a second that it does now.
func (s *Server) CurrentCapacity() float64 {
	if !s.IsServing() {
		return 0
	}
	return s.FullCapacity() * s.WarmFraction() * (1 - s.stolenShare) / s.slowdown
}

// Demand is the work a second that established connections ask for.
func (s *Server) Demand() float64 { return s.demand }

// QueueDelay is how long a flow that came now would wait for the cores, in seconds.
func (s *Server) QueueDelay() float64 {
	if capacity := s.CurrentCapacity(); capacity > 0 {
		return s.backlog / capacity
	}
	return math.Inf(1)
}

// MessageDelay is how long a message takes now.
func (s *Server) MessageDelay() time.Duration {
	capacity := s.CurrentCapacity()
	if capacity <= 0 {
		return time.Hour
	}
	free := math.Max(1-s.demand/capacity, minFreeShare)
	seconds := s.backlog/capacity + s.w.messageWork/(s.Speed*free)
	return time.Duration(math.Min(seconds, maxDelaySeconds) * float64(time.Second))
}

// shareInTime is the share of messages that are done within a time, behind a backlog.
func (s *Server) shareInTime(backlog float64, within time.Duration) float64 {
	capacity := s.CurrentCapacity()
	if capacity <= 0 {
		return 0
	}
	remaining := within.Seconds() - backlog/capacity
	free := 1 - s.demand/capacity
	if remaining <= 0 || free <= 0 {
		return 0
	}
	return 1 - math.Exp(-remaining*free*s.Speed/s.w.messageWork)
}

// settle brings a server's accounts up to now. All that changes its load, its speed or its connections calls it first, so that in between
// everything grows evenly.
func (s *Server) settle() {
	now := s.w.Schedule.now
	elapsed := (now - s.settledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	backlogBefore := s.backlog
	s.doWork(elapsed)
	for _, key := range s.valueKeys {
		if value := s.values[key]; value > 0 {
			share := s.servedShare(key, backlogBefore)
			s.w.Accounting.AddServed(key.account, s.settledAt, now, value*share)
		}
	}
	s.settledAt = now
}

// doWork has the backlog grow or shrink over a time, and the server warm up.
func (s *Server) doWork(seconds float64) {
	if !s.IsServing() {
		return
	}
	capacity := s.CurrentCapacity()
	work := s.demand + float64(s.setups.Busy())*s.setups.speed
	s.backlog = math.Max(0, s.backlog+(work-capacity)*seconds)
	if s.SlowStart > 0 && capacity > 0 {
		s.workDone += math.Min(work, capacity) * seconds / (s.FullCapacity() * s.SlowStart.Seconds() / 2)
	}
}

// servedShare is the share of messages that were in time since the server was settled: the mean of then and now.
func (s *Server) servedShare(key valueKey, backlogBefore float64) float64 {
	if s.w.Network.isPartitioned(key.balancerLocality, s.Locality) {
		return 0
	}
	within := s.w.Services[key.account.Service].Message
	return (s.shareInTime(backlogBefore, within) + s.shareInTime(s.backlog, within)) / 2
}

// updateSetupSpeed gives set-ups what established connections leave, and a minimum: an overloaded server still lets some in, and is later
// with its messages for it.
func (s *Server) updateSetupSpeed() {
	capacity := s.CurrentCapacity()
	if capacity <= 0 {
		s.setups.SetSpeed(0)
		return
	}
	s.setups.SetSpeed(capacity / float64(s.Cores) * math.Max(minSetupShare, 1-s.demand/capacity))
}

// addDemand changes what an established connection asks for.
func (s *Server) addDemand(delta float64) {
	s.settle()
	s.demand = math.Max(0, s.demand+delta)
	s.updateSetupSpeed()
}

// addValue counts a connection in, or out with a sign of -1.
func (s *Server) addValue(k *conn, sign float64) {
	key := valueKey{k.client.account(), k.balancerLocality}
	if _, known := s.values[key]; !known {
		s.valueKeys = append(s.valueKeys, key)
	}
	s.values[key] += sign * s.w.Services[k.client.Service].Value
	if s.values[key] < roundingError {
		s.values[key] = 0
	}
}

// reportDelay reports the delay of a server that is late, and once more when it is late no longer.
func (s *Server) reportDelay() {
	if !s.IsServing() || s.established == 0 {
		return
	}
	s.settle()
	s.updateSetupSpeed()
	delay := s.MessageDelay()
	if isLate := delay > s.w.reportDelayFrom; isLate || s.delayReported {
		s.delayReported = isLate
		s.w.Driver.ReportDelay(s.ID, delay)
	}
	if s.Buffer > 0 && delay > s.Buffer {
		s.dropNewest()
	}
}

// dropNewest drops some connections, the newest first, with what they have piled up.
func (s *Server) dropNewest() {
	for n := len(s.conns)/dropDivisor + 1; n > 0 && len(s.conns) > 0; n-- {
		k := s.conns[len(s.conns)-1]
		s.end(k)
		s.w.Driver.EndConnect(k.id, Dropped)
	}
	s.backlog *= backlogAfter
}
