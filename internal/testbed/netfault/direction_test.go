package netfault

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// randomCondition draws a condition with a random set of faults.
func randomCondition(random *rand.Rand) Condition {
	share := func() float64 {
		if random.IntN(2) == 0 {
			return 0
		}
		return random.Float64()
	}
	return Condition{
		Delay:      time.Duration(random.IntN(3)) * time.Millisecond,
		Jitter:     time.Duration(random.IntN(2)*random.IntN(300)) * time.Millisecond,
		Loss:       share(),
		Duplicate:  share(),
		Reorder:    share(),
		Corruption: share(),
		Rate:       random.IntN(2) * random.IntN(100_000),
		Cut:        random.IntN(10) == 0,
		Stalled:    random.IntN(10) == 0,
	}
}

// A seed draws the same faults in every build, so that a recorded run can be reproduced.
func TestSeedDrawsSameFaultsInEveryBuild(t *testing.T) {
	const want = "99f8f14a1d07bde7ba516d2b597823abe02c8d680d3657eb399295c244061837"
	var draws strings.Builder
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		n := New(seed)
		now := time.Unix(1000, 0)
		for range 400 {
			from := Endpoint(fmt.Sprint("b", random.IntN(3)))
			to := Endpoint(fmt.Sprint("s-", random.IntN(3)))
			if random.IntN(20) == 0 {
				condition := randomCondition(random)
				n.SetCondition(from, to, condition)
				fmt.Fprintln(&draws, condition)
			}
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			draw := n.direction(from, to).datagram
			if random.IntN(2) == 0 {
				draw = n.direction(from, to).streamChunk
			}
			result := draw(random.IntN(1500), now)
			fmt.Fprintln(&draws, result.due.UnixNano(), result.copies, result.corrupted)
		}
	}
	if got := fmt.Sprintf("%x", sha256.Sum256([]byte(draws.String()))); got != want {
		t.Errorf("the draws hash to %s, want %s", got, want)
	}
}
