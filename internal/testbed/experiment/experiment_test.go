package experiment

import (
	"math"
	"strings"
	"testing"
	"time"

	"yardwinch/internal/simulation"
)

func TestReadNamesLineAndKeyOfAnError(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"no name", "length = \"10s\"\n", "x.toml:0: name: is missing"},
		{"unknown policy", "name = \"x\"\npolicies = [\"best\"]\n",
			"x.toml:2: policies: want a list of ours, ours+halls, ours+signals, random"},
		{"unknown fault", "name = \"x\"\n[[trouble]]\nkind = \"storm\"\n", "x.toml:3: trouble.0.kind: want one of slow, errors"},
		{"unknown locality", "name = \"x\"\n[[trouble]]\nkind = \"hall_lost\"\nhall = \"west\"\n", "x.toml:4: trouble.0.hall: want one of"},
		{"no locality", "name = \"x\"\n[[trouble]]\nkind = \"hall_lost\"\n", "x.toml:2: trouble.0.hall: is missing"},
		{"slowdown below 1", "name = \"x\"\n[[trouble]]\nkind = \"slow\"\nstrength = 0.5\n",
			"x.toml:4: trouble.0.strength: want at least 1"},
		{"fault after the end", "name = \"x\"\nlength = \"10s\"\n[[trouble]]\nkind = \"burst\"\nstart = \"20s\"\n",
			"x.toml:5: trouble.0.start: is not before the end"},
		{"target beyond the timeout", "name = \"x\"\n[[service]]\nname = \"a\"\nsetup-target = \"3s\"\n",
			"x.toml:4: service.0.setup-target: is longer"},
		{"misspelled key", "name = \"x\"\n[fleet]\nserver = 3\n", "x.toml:3: fleet.server: unknown key"},
		{"number in place of a duration", "name = \"x\"\nlength = 60\n", "x.toml:2: length: want a time"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Read("x.toml", []byte(test.text))
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}

// arrivalCounts counts arrivals over several days of burstDay.
type arrivalCounts struct{ established, inBurst, outside float64 }

func (c *arrivalCounts) add(source simulation.ArrivalSource) {
	for a, ok := source.Next(); ok; a, ok = source.Next() {
		switch {
		case a.IsEstablished:
			c.established++
		case a.At >= 10*time.Second && a.At < 20*time.Second:
			c.inBurst++
		default:
			c.outside++
		}
	}
}

// burstDay has three times the usual arrival rate from 10 s to 20 s.
const burstDay = "name = \"x\"\nlength = \"40s\"\n[fleet]\nservers = [5, 9]\nbalancers = [2, 4]\n[load]\nshare = 0.5\n" +
	"life = \"10s\"\nlife-sigma = 0.5\ngroup-size = 10\n[[trouble]]\nkind = \"burst\"\nstart = \"10s\"\nlength = \"10s\"\nstrength = 3\n"

func TestDayIsDrawnFromItsRanges(t *testing.T) {
	e, err := Read("x.toml", []byte(burstDay))
	if err != nil {
		t.Fatal(err)
	}
	sizes, arrivals, usualRate := map[int]bool{}, arrivalCounts{}, 0.0
	for seed := range uint64(20) {
		d := e.Day(seed)
		checkSizes(t, d)
		sizes[len(d.World.Servers)] = true
		usualRate += d.arrivalRate()
		arrivals.add(d.Source())
		if arrivals.established == 0 || d.World.Servers[0].Phase() != simulation.Serving {
			t.Error("no connection is established when the day begins, or the first server is not serving")
		}
	}
	if len(sizes) < 3 {
		t.Errorf("20 days have only the sizes %v, want at least 3", sizes)
	}
	if r := arrivals.outside / 30 / usualRate; math.Abs(r-1) > 0.1 {
		t.Errorf("arrivals outside the burst at %.3f times the usual rate, want 0.9 to 1.1", r)
	}
	if r := arrivals.inBurst / 10 / usualRate; math.Abs(r-3) > 0.3 {
		t.Errorf("arrivals in the burst at %.3f times the usual rate, want 2.7 to 3.3", r)
	}
}

func checkSizes(t *testing.T, d *Day) {
	t.Helper()
	servers, balancers := len(d.World.Servers), len(d.World.Balancers)
	if servers < 5 || servers > 9 || balancers < 2 || balancers > 4 {
		t.Fatalf("%d servers, %d balancers, want 5 to 9 and 2 to 4", servers, balancers)
	}
}
