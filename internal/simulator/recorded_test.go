package simulator

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// recordedInput returns 40 s of simulated events: two instances, servers that drain and restart, flows that are
// established, fail and time out, late messages, timers.
func recordedInput() string {
	r := rand.New(rand.NewPCG(11, 12))
	var b strings.Builder
	write := func(format string, a ...any) { fmt.Fprintf(&b, format+"\n", a...) }
	list := func(kind string, stamp int, drained, fresh int, now int64) {
		write("DIRECTORY\t0\t9")
		for s := range 9 {
			state, since := "IN", int64(0)
			if s == drained {
				state = "LAME"
			}
			if s == fresh {
				since = now
			}
			write("SERVER\t%.1f\thall-%c\t%d\t%s\tlarge\t%d\t%d", 1+float64(s%3)/2, 'a'+rune(s%3), 51+s*7919, state, s/3, since)
		}
		write("UPDATE\t%s\t%d\t0", kind, stamp)
	}
	outcomes := []string{"UNAVAILABLE", "DEADLINE_EXCEEDED", "INTERNAL", "RESOURCE_EXHAUSTED", "ABORTED", "OK"}
	id := 0
	for step := range 4000 {
		now := int64(1000 + step*10_000_000)
		write("BEGIN_BATCH\t%d", now)
		for i := range 2 {
			write("FOR\t%d", i)
			if step == 0 {
				write("SPAWN\t%d\t%s\ttariffs.cross-zone=0.08\ttariffs.moves=0.026", 40+i, settings)
				list("C", 1, -1, -1, now)
			}
			switch step % 500 {
			case 250:
				list("F", step, step/500, -1, now)
			case 400:
				list("F", step, -1, step/500, now)
			}
			if r.IntN(3) == 0 {
				id++
				write("JOB_IN\tt/%d\tlive\t-\t-\t900000000\t-\tc:g%d\t0", id, r.IntN(12))
			}
			f := max(1, id-r.IntN(300))
			write("FIRST\tt/%d\t0\t51\t%d", id, 1_000_000+r.IntN(50_000_000))
			switch r.IntN(60) {
			case 0, 1, 2:
				write("CLOSED_ATTEMPT\tt/%d\t0\t51\t%s\t%d\t%d\t-", f, outcomes[r.IntN(6)], r.IntN(900_000_000), r.IntN(2))
			case 3:
				write("CHANGE\tt/%d\t0\t51\t2\t%d", f, r.IntN(500))
			case 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15:
				write("CLOSED_ATTEMPT\tt/%d\t0\t51\tOK\t1\t1\t-", f)
			case 16, 17, 18:
				write("WAKE\t%d", 1+r.IntN(3))
			}
		}
		write("FLUSH")
	}
	return b.String()
}

// The hash is that of the answers of decide without constraints. Only a change of the decisions themselves may change
// it.
func TestRecordedInputIsAnsweredAsBefore(t *testing.T) {
	out, err := run(recordedInput())
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "FORWARD"); n < 1000 || strings.Count(out, "SHIFT") < 10 || strings.Count(out, "OVERLOAD_REPLY") < 10 {
		t.Fatalf("%d attempts, want at least 1000, and at least 10 migrations and 10 rejections", n)
	}
	const want = "96f667250c80d4c5f2b93076a7738908"
	if got := fmt.Sprintf("%x", sha256.Sum256([]byte(out)))[:32]; got != want {
		t.Errorf("hash of the answers is %s, recorded %s", got, want)
	}
}
