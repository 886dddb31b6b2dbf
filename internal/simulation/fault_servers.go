package simulation

import (
	"math"
	"time"
)

const (
	replacementDelay     = 500 * time.Millisecond // from the end of a server's process to the start of its replacement
	minNeighbourInterval = 100 * time.Millisecond
)

// faultyServers draws a share of the servers that are serving, in the fault's locality or in all.
func (w *World) faultyServers(f timedFault) (faulty []*Server) {
	var candidates []*Server
	for _, s := range w.Servers {
		if s.phase == Serving && (f.Locality == AnyLocality || s.Locality == f.Locality) {
			candidates = append(candidates, s)
		}
	}
	count := countOfShare(f.Share, len(candidates))
	r := RandomSource(w.Seed, "trouble "+string(f.Kind), f.number)
	for _, i := range r.Perm(len(candidates))[:count] {
		faulty = append(faulty, candidates[i])
	}
	return faulty
}

func changeServers(servers []*Server, change func(*Server)) {
	for _, s := range servers {
		s.settle()
		change(s)
		s.updateSetupSpeed()
	}
}

// changeDuring applies a change to a fault's servers now and undoes it at the fault's end.
func (w *World) changeDuring(f timedFault, change, undo func(*Server)) {
	servers := w.faultyServers(f)
	changeServers(servers, change)
	w.atEndOf(f, func() { changeServers(servers, undo) })
}

func (w *World) startSlow(f timedFault) {
	w.changeDuring(f, func(s *Server) { s.slowdown *= f.Strength }, func(s *Server) { s.slowdown /= f.Strength })
}

func (w *World) startErrors(f timedFault) {
	w.changeDuring(f, func(s *Server) { s.errorShare = f.Strength }, func(s *Server) { s.errorShare = 0 })
}

func (w *World) startNoisyNeighbour(f timedFault) {
	servers := w.faultyServers(f)
	isOn := false
	var toggle func()
	toggle = func() {
		isOn = !isOn && w.Schedule.now < f.End()
		changeServers(servers, func(s *Server) { s.stolenShare = f.Strength * indicator(isOn) })
		if w.Schedule.now < f.End() {
			next := w.Schedule.now + max(f.Extra, minNeighbourInterval)
			w.Schedule.At(min(next, f.End()), Cause, toggle)
		}
	}
	toggle()
}

// startOutage puts servers into a phase without service until the end of the fault.
func (w *World) startOutage(f timedFault, to Phase) {
	servers := w.faultyServers(f)
	w.takeDown(servers, to)
	w.atEndOf(f, func() { w.bringUp(servers) })
}

func (w *World) takeDown(servers []*Server, to Phase) {
	for _, s := range servers {
		if !s.IsServing() {
			continue
		}
		s.goDown(to)
		if to == Silent {
			w.List.updateAfter(s, w.List.silentDelay())
		} else {
			w.List.updateAfter(s, w.List.noticeDelay())
		}
	}
}

func (w *World) bringUp(servers []*Server) {
	for _, s := range servers {
		if s.phase == Down || s.phase == Silent {
			s.boot()
			w.List.updateAfter(s, w.List.addDelay())
		}
	}
}

// inBatches schedules do for all items, in batches of the given size spread evenly over the length of a fault.
func inBatches[T any](w *World, f timedFault, all []T, size int, do func(T)) {
	batches := (len(all) + size - 1) / size
	for n := range batches {
		batch := all[n*size : min((n+1)*size, len(all))]
		w.Schedule.At(f.Start+f.Length*time.Duration(n)/time.Duration(batches), Cause, func() {
			for _, one := range batch {
				do(one)
			}
		})
	}
}

// batchSize is the fraction Strength of count, rounded, and at least 1.
func (f timedFault) batchSize(count int) int {
	return max(1, int(math.Round(f.Strength*float64(count))))
}

// startDeploy replaces servers in batches: each drains, stops and starts again.
func (w *World) startDeploy(f timedFault) {
	inBatches(w, f, w.faultyServers(f), f.batchSize(len(w.Servers)), func(s *Server) {
		s.drainFor(f.Extra, w.drainKind, func() {
			w.List.updateAfter(s, w.List.noticeDelay())
			w.Schedule.After(replacementDelay, Cause, func() { w.bringUp([]*Server{s}) })
		})
		w.List.updateAfter(s, w.List.noticeDelay())
	})
}

// startScaleOut adds servers one by one, each with the spec of a randomly drawn existing server.
func (w *World) startScaleOut(f timedFault) {
	before := len(w.Servers)
	added := max(1, int(math.Round(float64(before)*(f.Strength-1))))
	r := RandomSource(w.Seed, "grow", f.number)
	for n := range added {
		template := w.Servers[r.IntN(before)]
		w.Schedule.At(f.Start+f.Length*time.Duration(n)/time.Duration(added), Cause, func() {
			s := w.StartServer(template.ServerSpec)
			w.List.entries[s.ID].Readiness = Gone // until the list notices the new server
			w.List.updateAfter(s, w.List.addDelay())
			w.Driver.ServerChanged(s.ID)
		})
	}
}

// IsFaulty reports whether a fault affects a server now.
func (s *Server) IsFaulty() bool {
	return s.slowdown > 1 || s.stolenShare > 0 || s.errorShare > 0 || !s.IsServing()
}
