package simulation

import "math"

// goDown ends a server's process, or cuts it off. Its connections end, unless it falls silent.
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

// boot starts a process anew, in slow start.
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

// isInSlowStart reports whether connects may make a server collapse.
func (s *Server) isInSlowStart() bool {
	return s.startedAt != LongAgo && s.w.slowStart.CollapseMultiple != 0 && s.WarmFraction() < 1
}

// recordSlowStartLoad counts a connect to a server in slow start, which collapses when it is sent more than a multiple of what it can take
// over a window.
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

// SlowStartBudget is the load that a server in slow start may still be sent now without collapsing; a warm one has no bound.
func (s *Server) SlowStartBudget() float64 {
	if !s.isInSlowStart() {
		return math.Inf(1)
	}
	s.forgetOldConnects()
	return s.SlowStartRate()*s.w.slowStart.CollapseWindow.Seconds()*s.w.slowStart.CollapseMultiple - s.recentLoad
}

// SlowStartRate is the load of new connections that a server can take in a second by now: what would fill it over its slow start, by the
// part of its capacity that it has.
func (s *Server) SlowStartRate() float64 {
	return s.FullCapacity() / s.SlowStart.Seconds() * s.WarmFraction()
}

// chanceAllowance is the load beyond a budget of N connects that may be put down to chance: that of 2√N + 2.
func (w *World) chanceAllowance(budget float64) float64 {
	return 2*math.Sqrt(budget*w.meanLoad) + 2*w.meanLoad
}

func (w *World) collapse(s *Server) {
	w.Collapsed = append(w.Collapsed, s.ID)
	s.goDown(Collapsed)
	w.List.updateAfter(s, w.List.noticeDelay())
}
