package simulation

import "math"

// goDown moves a server to a phase without service. Its connections end, unless the phase is Silent.
func (s *Server) goDown(to Phase) {
	s.settle()
	s.phase = to
	if to != Silent {
		s.dropAll()
	}
	s.updateSetupSpeed()
	s.w.Driver.ServerChanged(s.ID)
}

func (s *Server) dropAll() {
	for len(s.conns) > 0 {
		k := s.conns[len(s.conns)-1]
		s.end(k)
		s.w.Driver.EndConnect(k.id, Dropped)
	}
	s.setups.Clear()
	s.backlog = 0
}

// boot starts the server's process again, in slow start and without connections.
func (s *Server) boot() {
	s.settle()
	s.dropAll()
	s.phase, s.startedAt = Serving, s.w.Schedule.now
	s.workDone, s.recentConnects, s.recentLoad = 0, nil, 0
	s.delayReported = false
	s.incarnation++
	s.updateSetupSpeed()
	s.w.Driver.ServerChanged(s.ID)
}

// isInSlowStart reports whether a server is warming up and can collapse under the load of connects.
func (s *Server) isInSlowStart() bool {
	return s.startedAt != LongAgo && s.w.slowStart.CollapseMultiple != 0 && s.WarmFraction() < 1
}

// recordSlowStartLoad counts the load of a connect to a server in slow start. The server collapses when the load sent within the window
// exceeds CollapseMultiple times what it can take in that time, plus an allowance for chance.
func (s *Server) recordSlowStartLoad(load float64) {
	if !s.isInSlowStart() {
		return
	}
	window := s.w.slowStart.CollapseWindow
	s.recentConnects = append(s.recentConnects, recentConnect{s.w.Schedule.now, load})
	s.recentLoad += load
	s.forgetOldConnects()
	capacity := s.SlowStartRate() * window.Seconds()
	budget := capacity * s.w.slowStart.CollapseMultiple
	allowance := s.w.chanceAllowance(budget)
	s.w.MaxSlowStartExcess = max(s.w.MaxSlowStartExcess, (s.recentLoad-allowance)/capacity)
	if s.recentLoad > budget+allowance {
		s.w.collapse(s)
	}
}

func (s *Server) forgetOldConnects() {
	for len(s.recentConnects) > 0 && s.recentConnects[0].at <= s.w.Schedule.now-s.w.slowStart.CollapseWindow {
		s.recentLoad -= s.recentConnects[0].load
		s.recentConnects = s.recentConnects[1:]
	}
}

// SlowStartBudget is the load that a server in slow start can still be sent now without collapsing, not counting the allowance for chance.
// It is infinite for a server that is warm, or where servers don't collapse.
func (s *Server) SlowStartBudget() float64 {
	if !s.isInSlowStart() {
		return math.Inf(1)
	}
	s.forgetOldConnects()
	return s.SlowStartRate()*s.w.slowStart.CollapseWindow.Seconds()*s.w.slowStart.CollapseMultiple - s.recentLoad
}

// SlowStartRate is the load of new connections that a server can take per second now: the rate that would fill its full capacity over its
// slow start, times the part of its capacity that it has.
func (s *Server) SlowStartRate() float64 {
	return s.FullCapacity() / s.SlowStart.Seconds() * s.WarmFraction()
}

// chanceAllowance is the load beyond a budget of N connects of the mean load that is attributed to random variation: that of 2√N + 2
// connects.
func (w *World) chanceAllowance(budget float64) float64 {
	return 2*math.Sqrt(budget*w.meanLoad) + 2*w.meanLoad
}

func (w *World) collapse(s *Server) {
	w.Collapsed = append(w.Collapsed, s.ID)
	s.goDown(Collapsed)
	w.List.updateAfter(s, w.List.noticeDelay())
}
