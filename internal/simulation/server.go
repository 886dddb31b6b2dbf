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
	Serving   Phase = iota // accepts connections
	Leaving                // drains
	Down                   // has no process; connections are refused
	Silent                 // is disconnected or stalled; there is no reply
	Collapsed              // was overloaded in slow start, and stays down
)

// String returns the phase's name in lower case.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "down", "silent", "collapsed"}[p]
}

const (
	minIdleShare         = 0.005 // lower bound of the idle share of the capacity in the calculation of message delays
	maxDelaySeconds      = 60    // upper bound of a message delay, unless the server has no capacity
	minSetupShare        = 0.1   // share of a server's capacity that set-ups get at least
	dropDivisor          = 12    // a server whose delay exceeds MaxMessageDelay drops one connection in this many
	backlogKeptAfterDrop = 0.7   // part of the backlog that remains after such a drop
	roundingError        = 1e-9
)

// ServerSpec holds the fixed properties of a server.
type ServerSpec struct {
	Locality        LocalityID
	Cell            CellID
	Cores           int
	Speed           float64 // work that a core does per second
	Size            float64 // as listed
	MaxConnections  int
	MaxWaiting      int           // limit of set-ups that wait for a core
	MaxMessageDelay time.Duration // message delay above which the server drops connections; 0: it drops none
	GroupLoad       float64       // additional load of a group, independent of its number of connections

	SlowStart             time.Duration // how long the server takes to warm up
	SlowStartInitialShare float64       // share of the capacity at the start
	SlowStartByWork       float64       // share of the warm-up that depends on work done instead of time
}

// Server is one simulated server. Established connections continuously demand work and share the cores with set-ups. Work that exceeds the
// capacity accumulates as a backlog, which delays messages.
type Server struct {
	ServerSpec
	ID ServerID

	w           *World
	random      *rand.Rand
	phase       Phase
	startedAt   time.Duration
	incarnation int

	slowdown    float64 // factor by which faults slow it down; 1: none
	stolenShare float64 // share of the cores that another program uses
	errorShare  float64 // share of set-ups that quickly fail

	conns       []*conn
	connByID    map[ConnID]*conn
	established int
	groups      map[GroupID]int
	setups      *Queue

	demand         float64 // work per second
	backlog        float64 // in seconds of a core of speed 1
	workDone       float64 // work done since the start, relative to the work that completes the warm-up
	settledAt      time.Duration
	values         map[valueKey]float64 // value per second of the established connections
	valueKeys      []valueKey           // in the order of their first use, so that iteration is deterministic
	delayReported  bool                 // the last check reported a high delay, so that its end is reported too
	recentConnects []recentConnect      // during slow start, those within the last window
	recentLoad     float64              // sum over recentConnects
}

// valueKey groups established connections whose value is accounted together.
type valueKey struct {
	account          Account
	balancerLocality LocalityID
}

// Phase returns the server's current phase.
func (s *Server) Phase() Phase { return s.phase }

// StartedAt is the time of the server's last start.
func (s *Server) StartedAt() time.Duration { return s.startedAt }

// Established is the number of established connections.
func (s *Server) Established() int { return s.established }

// ConnectionCount is the number of connections, including those that are being set up.
func (s *Server) ConnectionCount() int { return len(s.conns) }

// HoldsGroup reports whether the server has an established connection of a group.
func (s *Server) HoldsGroup(g GroupID) bool { return g != NoGroup && s.groups[g] > 0 }

// IsServing reports whether the server serves connections, which it still does while it drains.
func (s *Server) IsServing() bool { return s.phase == Serving || s.phase == Leaving }

// WarmFraction is the share of its capacity that a server in slow start has reached. It rises from SlowStartInitialShare with the time
// since the start and with the work done, in the proportions that SlowStartByWork sets, and at least with the square of the elapsed share of
// SlowStart.
func (s *Server) WarmFraction() float64 {
	if s.startedAt == LongAgo || s.SlowStart == 0 {
		return 1
	}
	elapsed := math.Min(1, (s.w.Schedule.now-s.startedAt).Seconds()/s.SlowStart.Seconds())
	worked := math.Min(s.workDone, math.Min(1, 2*elapsed))
	warmedUp := (1-s.SlowStartByWork)*elapsed + s.SlowStartByWork*worked
	return s.SlowStartInitialShare + (1-s.SlowStartInitialShare)*math.Min(1, math.Max(warmedUp, elapsed*elapsed))
}

// FullCapacity is the work per second that the server does when it is warm and has no fault.
func (s *Server) FullCapacity() float64 { return float64(s.Cores) * s.Speed }

// CurrentCapacity is the work per second that the server does now.
func (s *Server) CurrentCapacity() float64 {
	if !s.IsServing() {
		return 0
	}
	return s.FullCapacity() * s.WarmFraction() * (1 - s.stolenShare) / s.slowdown
}

// Demand is the work per second that established connections ask for.
func (s *Server) Demand() float64 { return s.demand }

// QueueDelay is the time, in seconds, that the server needs to work off its backlog.
func (s *Server) QueueDelay() float64 {
	if capacity := s.CurrentCapacity(); capacity > 0 {
		return s.backlog / capacity
	}
	return math.Inf(1)
}

// MessageDelay is the time that a message takes now: the queueing delay, plus its service time with the capacity that is left.
func (s *Server) MessageDelay() time.Duration {
	capacity := s.CurrentCapacity()
	if capacity <= 0 {
		return time.Hour
	}
	free := math.Max(1-s.demand/capacity, minIdleShare)
	seconds := s.backlog/capacity + s.w.messageWork/(s.Speed*free)
	return time.Duration(math.Min(seconds, maxDelaySeconds) * float64(time.Second))
}

// shareInTime is the share of messages that complete within a time, given a backlog before them. Their service times are exponential.
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

// settle updates a server's backlog, warm-up and served value to the current time. Every change of its load, speed or connections calls it
// first, so that the rates are constant between two calls.
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

// doWork updates the backlog and the warm-up for an elapsed time.
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

// servedShare is the share of messages that were in time since the server was last settled: the mean of the shares at that time and now.
func (s *Server) servedShare(key valueKey, backlogBefore float64) float64 {
	if s.w.Network.isPartitioned(key.balancerLocality, s.Locality) {
		return 0
	}
	within := s.w.Services[key.account.Service].MessageTarget
	return (s.shareInTime(backlogBefore, within) + s.shareInTime(s.backlog, within)) / 2
}

// updateSetupSpeed gives set-ups the capacity that established connections leave, but at least minSetupShare: an overloaded server still
// completes set-ups, at the expense of its message delay.
func (s *Server) updateSetupSpeed() {
	capacity := s.CurrentCapacity()
	if capacity <= 0 {
		s.setups.SetSpeed(0)
		return
	}
	s.setups.SetSpeed(capacity / float64(s.Cores) * math.Max(minSetupShare, 1-s.demand/capacity))
}

// addDemand changes the demand of established connections by delta.
func (s *Server) addDemand(delta float64) {
	s.settle()
	s.demand = math.Max(0, s.demand+delta)
	s.updateSetupSpeed()
}

// addValue adds the value of a connection, or subtracts it with a sign of -1.
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

// reportDelay reports the message delay while it is above the threshold, and once more when it no longer is. A server whose delay exceeds
// MaxMessageDelay drops connections.
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
	if s.MaxMessageDelay > 0 && delay > s.MaxMessageDelay {
		s.dropNewest()
	}
}

// dropNewest drops some of the connections, the newest first as far as removals have kept their order, and reduces the backlog.
func (s *Server) dropNewest() {
	for n := len(s.conns)/dropDivisor + 1; n > 0 && len(s.conns) > 0; n-- {
		k := s.conns[len(s.conns)-1]
		s.end(k)
		s.w.Driver.EndConnect(k.id, Dropped)
	}
	s.backlog *= backlogKeptAfterDrop
}
