package invariants

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// server keeps what came in of late.
type server struct {
	arrivals []Event
	broken   bool // one violation a start is enough
	since    time.Duration
}

// arrived holds what came in at a cold server over the window against what it could take meanwhile. The rule counts
// requests of mean work, so each connect counts as one of the mean load, whatever it brings. What they bring together is
// held against the same bound, but for the heaviest of them, which counts as one of the mean: a connection's load is told
// to nobody before its connect, and one alone may pass all that a cold server bears.
func (r *Referee) arrived(e Event) {
	if e.Since == LongAgo || e.At > e.Since+r.warm || r.multiple == 0 || e.Takes <= 0 {
		return
	}
	s := r.servers[e.Server]
	if s == nil || s.since != e.Since {
		s = &server{since: e.Since}
		r.servers[e.Server] = s
	}
	s.arrivals = append(s.arrivals, e)
	for len(s.arrivals) > 0 && s.arrivals[0].At <= e.At-r.window {
		s.arrivals = s.arrivals[1:]
	}
	var calls, load, heaviest, takes tally
	for _, a := range s.arrivals {
		t, ok := r.told[toldKey{a.Balancer, a.Server}]
		told := ok && t.since == e.Since && t.at <= a.At
		calls.add(r.mean, told)
		load.add(a.Load, told)
		takes.add(a.Takes/float64(len(s.arrivals)), told)
		if a.Load > heaviest.sum {
			heaviest = tally{}
			heaviest.add(a.Load, told)
		}
	}
	if heaviest.sum > r.mean {
		load.sum -= heaviest.sum - r.mean
		load.told -= heaviest.told * (1 - r.mean/heaviest.sum)
	}
	full := takes.sum * r.window.Seconds()
	bears := r.bears(r.multiple * full)
	if !s.broken && (calls.tooMuch(bears) || load.tooMuch(bears)) {
		s.broken = true
		proof := slices.Clone(s.arrivals)
		if len(proof) > 12 {
			proof = proof[len(proof)-12:]
		}
		r.broken(NoneFloodedCold, e.Balancer, e.Flow, e.Server, e.At,
			fmt.Sprintf("%d connects in %v, %.1f times what it can take", len(s.arrivals), r.window, max(calls.sum, load.sum)/full), proof...)
	}
}

// tally is what came in at a cold server over the window, and the part of it from balancers told of the start.
type tally struct{ sum, told float64 }

func (t *tally) add(x float64, told bool) {
	t.sum += x
	if told {
		t.told += x
	}
}

// tooMuch tells whether a sum passes what the server bears, and most of it came from balancers that knew better.
func (t tally) tooMuch(bears float64) bool { return t.sum > bears && t.told >= t.sum*2/3 }

// bears is a budget with what chance may add to it.
func (r *Referee) bears(budget float64) float64 {
	return budget + 2*math.Sqrt(budget*r.mean) + 2*r.mean
}
