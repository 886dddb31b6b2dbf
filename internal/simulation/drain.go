package simulation

import (
	"slices"
	"time"
)

// Drain is what a draining server does with its connections.
type Drain int

// Ways to drain.
const (
	Quiet Drain = iota // keeps them until it stops
	Paced              // sends them away evenly over the drain
	Flat               // sends all away at once
)

// goDown ends the process or cuts it off. Those connected are told, or left in silence.
func (s *Server) goDown(to Phase) {
	s.settle()
	s.phase = to
	if to != Silent {
		s.dropAll(Dropped)
	}
	s.changed()
	s.w.Driver.ServerChanged(s.ID)
}

// dropAll ends all connections.
func (s *Server) dropAll(how EndReason) {
	for len(s.conns) > 0 {
		k := s.conns[len(s.conns)-1]
		s.end(k)
		s.w.Driver.EndConnect(k.id, how)
	}
	s.setups.Clear()
	s.backlog = 0
}

// boot starts a process anew, cold.
func (s *Server) boot() {
	s.settle()
	s.dropAll(Dropped)
	s.phase, s.startedAt, s.worked, s.recentConnects, s.recentLoad = Serving, s.w.Schedule.now, 0, nil, 0
	s.delayReported = false
	s.incarnation++
	s.changed()
	s.w.Driver.ServerChanged(s.ID)
}

// drainFor begins a drain that ends in a stop.
func (s *Server) drainFor(d time.Duration, kind Drain, then func()) {
	if s.phase != Serving {
		return
	}
	s.settle()
	s.phase = Leaving
	life, now := s.incarnation, s.w.Schedule.now
	all := slices.Clone(s.conns)
	for i, k := range all {
		at := now
		if kind == Paced {
			at += time.Duration(float64(d) * 0.9 * float64(i+1) / float64(len(all)+1))
		}
		if kind != Quiet {
			s.w.Schedule.At(at, Work, func() {
				if k.stage == established && s.incarnation == life && s.IsServing() {
					s.end(k)
					s.w.Driver.EndConnect(k.id, MoveRequested)
				}
			})
		}
	}
	s.w.Driver.ServerChanged(s.ID)
	s.w.Schedule.After(d, Cause, func() {
		if s.incarnation == life && s.phase == Leaving {
			s.goDown(Down)
			then()
		}
	})
}
