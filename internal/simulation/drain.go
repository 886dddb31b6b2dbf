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

// die ends the process or cuts it off. Those connected are told, or left in silence.
func (s *Server) die(to Phase) {
	s.settle()
	s.phase = to
	if to != Silent {
		s.lose(Dropped)
	}
	s.changed()
	s.w.Carrier.Changed(s.ID)
}

// lose ends all connections.
func (s *Server) lose(how Refusal) {
	for len(s.conns) > 0 {
		k := s.conns[len(s.conns)-1]
		s.end(k)
		s.w.Carrier.Turn(k.id, how)
	}
	s.setups.Clear()
	s.backlog = 0
}

// boot starts a process anew, cold.
func (s *Server) boot() {
	s.settle()
	s.lose(Dropped)
	s.phase, s.since, s.worked, s.pushed, s.pushedLoad = Serving, s.w.Agenda.now, 0, nil, 0
	s.told = false
	s.life++
	s.changed()
	s.w.Carrier.Changed(s.ID)
}

// drainFor begins a drain that ends in a stop.
func (s *Server) drainFor(d time.Duration, kind Drain, then func()) {
	if s.phase != Serving {
		return
	}
	s.settle()
	s.phase = Leaving
	life, now := s.life, s.w.Agenda.now
	all := slices.Clone(s.conns)
	for i, k := range all {
		at := now
		if kind == Paced {
			at += time.Duration(float64(d) * 0.9 * float64(i+1) / float64(len(all)+1))
		}
		if kind != Quiet {
			s.w.Agenda.At(at, Work, func() {
				if k.stage == standing && s.life == life && s.Alive() {
					s.end(k)
					s.w.Carrier.Turn(k.id, Sent)
				}
			})
		}
	}
	s.w.Carrier.Changed(s.ID)
	s.w.Agenda.After(d, Cause, func() {
		if s.life == life && s.phase == Leaving {
			s.die(Down)
			then()
		}
	})
}
