package lease

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const manyTasks = 2000

// holdersOf returns the holder of each task, where all members see each other. It checks that there is only one.
func holdersOf(t *testing.T, members []Holder) map[Task]Holder {
	t.Helper()
	holders := map[Task]Holder{}
	for _, name := range members {
		m := newManager(name, members...)
		for k := range Task(manyTasks) {
			if !m.Holds(k, time.Minute) {
				continue
			}
			if other, two := holders[k]; two {
				t.Fatalf("%s and %s both hold task %d", other, name, k)
			}
			holders[k] = name
		}
	}
	return holders
}

// Balancers that see the same members agree on one holder of each task. They hold about equal shares, and when a member
// leaves, only its own tasks move.
func TestOneHolderAndEqualShares(t *testing.T) {
	var names []Holder
	for i := range 20 {
		names = append(names, Holder(fmt.Sprintf("b%d", i)))
	}
	holders := holdersOf(t, names)
	counts := map[Holder]int{}
	for _, name := range holders {
		counts[name]++
	}
	for _, name := range names {
		if share := float64(counts[name]) * float64(len(names)) / manyTasks; share < 0.7 || share > 1.3 {
			t.Errorf("%s holds %.2f of an equal share, want 0.7 to 1.3", name, share)
		}
	}
	holdersWithoutFirst := holdersOf(t, names[1:])
	if len(holders) != manyTasks || len(holdersWithoutFirst) != manyTasks {
		t.Errorf("%d and %d of %d tasks are held", len(holders), len(holdersWithoutFirst), manyTasks)
	}
	for k, name := range holders {
		if name != names[0] && holdersWithoutFirst[k] != name {
			t.Errorf("task %d moved from %s to %s when %s left", k, name, holdersWithoutFirst[k], names[0])
		}
	}
}

func TestUnusualMembers(t *testing.T) {
	const tasks = 300
	for _, c := range []struct {
		name    string
		members []Member
		ranked  int // with this balancer
	}{
		{"no other member", nil, 1},
		{"weights that are not positive and finite", []Member{
			{Name: "b", Weight: math.Inf(1), AliveFor: time.Minute},
			{Name: "c", Weight: -1, AliveFor: time.Minute},
			{Name: "d", Weight: math.NaN(), AliveFor: time.Minute},
		}, 4},
		{"a member twice, and one that is new", []Member{
			{Name: "b", Weight: 1, AliveFor: time.Minute},
			{Name: "b", Weight: 1, AliveFor: time.Minute},
			{Name: "new", Weight: 1, AliveFor: time.Second},
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New("a", term)
			m.SetMembers(c.members)
			held := 0
			for k := range Task(tasks) {
				if m.Holds(k, time.Minute) {
					held++
				}
			}
			if held == 0 || len(c.members) > 0 && held == tasks {
				t.Errorf("the balancer holds %d of %d tasks, want some, and not all if there are other members", held, tasks)
			}
			if len(m.members) != c.ranked {
				t.Errorf("ranked members: %v, want %d", m.members, c.ranked)
			}
		})
	}
}
