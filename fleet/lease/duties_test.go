package lease

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const lease = 6 * time.Second

func members(names ...string) (list []Member) {
	for _, n := range names {
		list = append(list, Member{Holder(n), 1, time.Minute})
	}
	return list
}

// All who see the same members agree on one holder; the work is cut evenly, and a member that goes changes nobody else's part.
func TestOneHolderAndEvenParts(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("b%d", i))
	}
	const many = 2000
	holders := func(in []string) map[Task]string {
		of := map[Task]string{}
		for _, n := range in {
			d := New(Holder(n), lease)
			d.SetMembers(members(in...))
			for k := range Task(many) {
				if d.Holds(k, time.Minute) {
					if was, two := of[k]; two {
						t.Fatalf("%s and %s both hold %d", was, n, k)
					}
					of[k] = n
				}
			}
		}
		return of
	}
	all := holders(names)
	parts := map[string]int{}
	for _, n := range all {
		parts[n]++
	}
	for _, n := range names {
		if f := float64(parts[n]) / (many / 20); f < 0.7 || f > 1.3 {
			t.Errorf("%s holds %.2f of its part", n, f)
		}
	}
	less := holders(names[1:])
	if len(all) != many || len(less) != many {
		t.Errorf("%d and %d of %d duties are held", len(all), len(less), many)
	}
	for k, n := range all {
		if n != names[0] && less[k] != n {
			t.Errorf("duty %d went from %s to %s though %s left", k, n, less[k], names[0])
		}
	}
}

// find gives names by their place in line for duty 1.
func find(t *testing.T, in ...string) (line []string) {
	t.Helper()
	for place := range in {
		for _, n := range in {
			d := New(Holder(n), lease)
			d.SetMembers(members(in...))
			d.Holds(1, 0)
			if d.duties[1].rank == place {
				line = append(line, n)
			}
		}
	}
	return line
}

func TestWhoStandsIn(t *testing.T) {
	in := []string{"a", "b", "c", "d", "e"}
	line := find(t, in...)
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	second := New(Holder(line[1]), lease)
	second.SetMembers(members(in...))
	third := New(Holder(line[2]), lease)
	third.SetMembers(members(in...))
	second.Observe(1, 1, Holder(line[0]), 0, at(1))
	third.Observe(1, 1, Holder(line[0]), 0, at(1))
	if second.Holds(1, at(6.9)) || third.Holds(1, at(6.9)) {
		t.Error("one stands in before the lease is over")
	}
	if !second.Holds(1, at(7.1)) || third.Holds(1, at(7.1)) {
		t.Error("the second is next after a lease, the third is not")
	}
	e := second.Renew(1, at(7.1))
	third.Observe(1, e, Holder(line[1]), 0, at(7.2))
	if third.Holds(1, at(12)) || !second.Holds(1, at(12)) {
		t.Error("who stands in goes on, and the third waits")
	}
	// The first is back: it hears of the later epoch, takes the next one, and the second gives way.
	first := New(Holder(line[0]), lease)
	first.SetMembers(members(in...))
	first.Holds(1, at(11))
	first.Observe(1, e, Holder(line[1]), 0, at(12.1))
	if !first.Holds(1, at(12.2)) || first.Renew(1, at(12.2)) <= e {
		t.Error("the first in line takes a later epoch")
	}
	second.Observe(1, first.Renew(1, at(12.2)), Holder(line[0]), 0, at(12.3))
	if second.Holds(1, at(12.4)) {
		t.Error("the second goes on beside the first")
	}
	// What is told late by one that was given up changes nothing.
	second.Observe(1, 1, Holder(line[3]), 0, at(12.5))
	if second.duties[1].by != Holder(line[0]) {
		t.Error("an older epoch is obeyed")
	}
}

// One that stood still waits for a lease, and acts no more on what another has taken meanwhile.
func TestThawedBalancerWaits(t *testing.T) {
	in := []string{"a", "b", "c"}
	line := find(t, in...)
	d := New(Holder(line[0]), lease)
	d.SetMembers(members(in...))
	if !d.Holds(1, time.Second) {
		t.Fatal("the first in line does not hold it")
	}
	e := d.Renew(1, time.Second)
	d.OnSuspended(20 * time.Second)
	if d.Holds(1, 20*time.Second) || d.Holds(1, 25*time.Second) {
		t.Error("it goes on as if nothing had been")
	}
	d.Observe(1, e+1, Holder(line[1]), 0, 21*time.Second)
	if !d.Holds(1, 22*time.Second) || d.Renew(1, 22*time.Second) <= e+1 {
		t.Error("once it knows who has it, it takes it back under a later epoch")
	}
}

func TestOddMembers(t *testing.T) {
	var d *Manager
	for _, list := range [][]Member{nil, {{"b", math.Inf(1), time.Minute}, {"c", -1, time.Minute}, {"d", math.NaN(), time.Minute}},
		{{"b", 1, time.Minute}, {"b", 1, time.Minute}, {"new", 1, time.Second}}} {
		d = New("a", lease)
		d.SetMembers(list)
		mine := 0
		for k := range Task(300) {
			if d.Holds(k, time.Minute) {
				mine++
			}
		}
		if mine == 0 || len(list) > 0 && mine == 300 {
			t.Errorf("%v: holds %d of 300", list, mine)
		}
	}
	if len(d.members) != 2 {
		t.Errorf("counts on %v", d.members)
	}
}

// Whatever is lost, and whoever stands still: no duty is left undone for longer than the line takes once views agree, and then one holds it.
func TestNoDutyIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		var all []*Manager
		down := map[int]bool{}
		for _, n := range names {
			d := New(Holder(n), lease)
			d.SetMembers(members(names...))
			all = append(all, d)
		}
		now := time.Second
		settle := func(steps int, loss bool) (undone int, holding []int) {
			for range steps {
				now += 500 * time.Millisecond
				holding = nil
				for i, d := range all {
					if down[i] || !d.Holds(1, now) {
						continue
					}
					holding = append(holding, i)
					e := d.Renew(1, now)
					for j, o := range all {
						if j != i && !down[j] && !(loss && rapid.IntRange(0, 2).Draw(t, "lost") == 0) {
							o.Observe(1, e, Holder(names[i]), 0, now)
						}
					}
				}
				if len(holding) == 0 {
					undone++
				} else {
					undone = 0
				}
			}
			return undone, holding
		}
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			i := rapid.IntRange(0, 3).Draw(t, "who")
			if down[i] = !down[i] && len(down) < 3; !down[i] {
				all[i].OnSuspended(now)
			}
			settle(rapid.IntRange(1, 30).Draw(t, "steps"), true)
		}
		alive := 0
		for i := range all {
			if !down[i] {
				alive++
			}
		}
		if alive == 0 {
			return
		}
		undone, holding := settle(2*(inLine+1)*int(lease/time.Second)*2, false)
		if undone > 0 || len(holding) != 1 {
			t.Fatalf("%d steps undone at the end, held by %v; down %v", undone, holding, down)
		}
	})
}
