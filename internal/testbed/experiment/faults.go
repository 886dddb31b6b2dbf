package experiment

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/strict"
)

const maxShareOfServer = 0.99 // largest share of a server's cores that a neighbour may use, and of a server's set-ups that may fail

// faultRanges are the ranges that a fault is drawn from.
type faultRanges struct {
	kind          simulation.FaultKind
	start, length simulation.Interval
	share         numberRange
	strength      numberRange
	extra         simulation.Interval
	locality      string  // empty: any
	chance        float64 // probability that the fault occurs
}

// minStrength has the least strength of the kinds of faults for which strength matters.
var minStrength = map[simulation.FaultKind]float64{
	simulation.Slow:                   1,
	simulation.StoreSlow:              1,
	simulation.Burst:                  0.01,
	simulation.Overload:               0.01,
	simulation.ScaleOut:               1.01,
	simulation.Errors:                 0.01,
	simulation.NoisyNeighbour:         0.01,
	simulation.Deploy:                 0.001,
	simulation.BalancerRollingRestart: 0.001,
}

func (e *Experiment) readFault(t strict.Table) {
	var kinds []string
	for _, kind := range simulation.FaultKinds {
		kinds = append(kinds, string(kind))
	}
	kind := simulation.FaultKind(t.String("kind", "", kinds...))
	locality := t.String("hall", "", append([]string{""}, e.fleet.localities...)...)
	if kind == "" {
		if !t.Has("kind") {
			t.Fail("kind", "is missing; want one of %s", strings.Join(kinds, ", "))
		}
		return
	}
	f := faultRanges{
		kind:     kind,
		start:    readInterval(t, "start", 0, 0, hour),
		length:   readInterval(t, "length", 10*time.Second, 10*time.Second, hour),
		share:    readNumberRange(t, "share", bounds{0.2, 0.2, 0, 1}),
		strength: readNumberRange(t, "strength", bounds{1, 1, 0, 1000}),
		extra:    readInterval(t, "extra", 3*time.Second, 3*time.Second, hour),
		locality: locality,
		chance:   t.Float("chance", 1, 0, 1),
	}
	e.checkFault(t, f)
	e.faults = append(e.faults, f)
}

func (e *Experiment) checkFault(t strict.Table, f faultRanges) {
	if (f.kind == simulation.LocalityLost || f.kind == simulation.Partition) && f.locality == "" {
		t.Fail("hall", "is missing; want one of %s", strings.Join(e.fleet.localities, ", "))
	}
	if f.start.Min >= e.Length {
		t.Fail("start", "is not before the end of the day, %v", e.Length)
	}
	if least := minStrength[f.kind]; f.strength.lo < least {
		t.Fail("strength", "want at least %g for %s", least, f.kind)
	}
	if (f.kind == simulation.Errors || f.kind == simulation.NoisyNeighbour) && f.strength.hi > maxShareOfServer {
		t.Fail("strength", "want at most %g for %s", maxShareOfServer, f.kind)
	}
}

// draw draws a fault, and whether it occurs.
func (f faultRanges) draw(r *rand.Rand, localities []string) (fault simulation.Fault, happens bool) {
	fault = simulation.Fault{
		Kind:     f.kind,
		Start:    f.start.Draw(r),
		Length:   f.length.Draw(r),
		Share:    f.share.draw(r),
		Strength: f.strength.draw(r),
		Extra:    f.extra.Draw(r),
		Locality: simulation.AnyLocality,
	}
	for i, name := range localities {
		if name == f.locality {
			fault.Locality = simulation.LocalityID(i)
		}
	}
	return fault, r.Float64() < f.chance
}

// FaultKinds returns the kinds of the faults, in the order of the file.
func (e *Experiment) FaultKinds() (kinds []simulation.FaultKind) {
	for _, f := range e.faults {
		kinds = append(kinds, f.kind)
	}
	return kinds
}

// WithoutFault returns a copy of the experiment without one of its faults.
func (e *Experiment) WithoutFault(i int) *Experiment {
	c := *e
	c.faults = append(append([]faultRanges(nil), e.faults[:i]...), e.faults[i+1:]...)
	return &c
}

// WithScaledFault returns a copy of the experiment in which the length of one fault is multiplied by factor.
func (e *Experiment) WithScaledFault(i int, factor float64) *Experiment {
	c := *e
	c.faults = append([]faultRanges(nil), e.faults...)
	length := &c.faults[i].length
	length.Min = time.Duration(float64(length.Min) * factor)
	length.Max = time.Duration(float64(length.Max) * factor)
	return &c
}

// WithSize returns a copy of the experiment with other numbers of balancers and servers. A number of 0 keeps that of the experiment.
func (e *Experiment) WithSize(balancers, servers int) *Experiment {
	c := *e
	if balancers > 0 {
		c.fleet.balancers = numberRange{float64(balancers), float64(balancers)}
	}
	if servers > 0 {
		c.fleet.servers = numberRange{float64(servers), float64(servers)}
	}
	return &c
}

// WithScaledTimes returns a copy of the experiment in which its length, and the start and length of its faults, are multiplied by
// factor.
func (e *Experiment) WithScaledTimes(factor float64) *Experiment {
	c := *e
	scaled := func(d time.Duration) time.Duration { return time.Duration(math.Round(float64(d) * factor)) }
	c.Length = scaled(e.Length)
	c.faults = append([]faultRanges(nil), e.faults...)
	for i := range c.faults {
		f := &c.faults[i]
		f.start = simulation.Interval{Min: scaled(f.start.Min), Max: scaled(f.start.Max)}
		f.length = simulation.Interval{Min: scaled(f.length.Min), Max: scaled(f.length.Max)}
	}
	return &c
}

// WithLength returns a copy of the experiment with another length. The times of the faults don't change.
func (e *Experiment) WithLength(d time.Duration) *Experiment {
	c := *e
	c.Length = d
	return &c
}
