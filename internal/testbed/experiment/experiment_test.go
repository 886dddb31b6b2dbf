package experiment

import (
	"math"
	"strings"
	"testing"
	"time"

	"yardwinch/internal/simulation"
)

func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"no name", "length = \"10s\"\n", "x.toml:0: name: is missing"},
		{"unknown policy", "name = \"x\"\npolicies = [\"best\"]\n", "x.toml:2: policies: want a list of ours, ours+halls, ours+signals, random"},
		{"unknown trouble", "name = \"x\"\n[[trouble]]\nkind = \"storm\"\n", "x.toml:3: trouble.0.kind: want one of slow, errors"},
		{"a hall that is not there", "name = \"x\"\n[[trouble]]\nkind = \"hall_lost\"\nhall = \"west\"\n", "x.toml:4: trouble.0.hall: want one of"},
		{"no hall", "name = \"x\"\n[[trouble]]\nkind = \"hall_lost\"\n", "x.toml:2: trouble.0.hall: is missing"},
		{"slower by less than once", "name = \"x\"\n[[trouble]]\nkind = \"slow\"\nstrength = 0.5\n", "x.toml:4: trouble.0.strength: want 1 at the least"},
		{"after the end", "name = \"x\"\nlength = \"10s\"\n[[trouble]]\nkind = \"burst\"\nstart = \"20s\"\n", "x.toml:5: trouble.0.start: is not before the end"},
		{"target beyond the timeout", "name = \"x\"\n[[service]]\nname = \"a\"\nsetup-target = \"3s\"\n", "x.toml:4: service.0.setup-target: is longer"},
		{"a typing error", "name = \"x\"\n[fleet]\nserver = 3\n", "x.toml:3: fleet.server: unknown key"},
		{"a number for a time", "name = \"x\"\nlength = 60\n", "x.toml:2: length: want a time"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read("x.toml", []byte(c.text))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestADayIsDrawnFromItsRanges(t *testing.T) {
	e, err := Read("x.toml", []byte("name = \"x\"\nlength = \"40s\"\n[fleet]\nservers = [5, 9]\nbalancers = [2, 4]\n[load]\nshare = 0.5\n"+
		"life = \"10s\"\nlife-sigma = 0.5\ngroup-size = 10\n[[trouble]]\nkind = \"burst\"\nstart = \"10s\"\nlength = \"10s\"\nstrength = 3\n"))
	if err != nil {
		t.Fatal(err)
	}
	sizes, inBurst, outside, stand, expected := map[int]bool{}, 0.0, 0.0, 0.0, 0.0
	for seed := range uint64(20) {
		d := e.Day(seed)
		n, b := len(d.World.Servers), len(d.World.Balancers)
		if n < 5 || n > 9 || b < 2 || b > 4 {
			t.Fatalf("%d servers, %d balancers", n, b)
		}
		sizes[n] = true
		expected += d.rate()
		s := d.Source()
		for v, ok := s.Next(); ok; v, ok = s.Next() {
			switch {
			case v.IsEstablished:
				stand++
			case v.At >= 10*time.Second && v.At < 20*time.Second:
				inBurst++
			default:
				outside++
			}
		}
		if stand == 0 || d.World.Servers[0].Phase() != simulation.Serving {
			t.Error("nobody stands when the day begins")
		}
	}
	if len(sizes) < 3 {
		t.Errorf("20 days have sizes %v only", sizes)
	}
	if r := outside / 30 / expected; math.Abs(r-1) > 0.1 {
		t.Errorf("arrivals outside the burst at %.3f of the usual rate", r)
	}
	if r := inBurst / 10 / expected; math.Abs(r-3) > 0.3 {
		t.Errorf("arrivals in the burst at %.3f times the usual rate, want 3", r)
	}
}
