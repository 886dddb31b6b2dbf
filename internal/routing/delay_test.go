package routing

import (
	"testing"
	"time"

	"yardwinch/decide"
)

const ms, sec = time.Millisecond, time.Second

// Delays come in the form of loads: a load taken for a delay empties a server, a delay taken for a load leaves its
// clients on a late one.
func TestDelaysAmongLoads(t *testing.T) {
	type line struct{ at, delay time.Duration } // 0: the server drops a connection; below: "one" ends
	for _, c := range []struct {
		name  string
		lines []line
		want  string // d a delay, l a load
	}{
		{"a lone figure", []line{{0, 900 * ms}}, "l"},
		{"two a second apart", []line{{0, 900 * ms}, {sec + ms, 700 * ms}}, "ld"},
		{"two at another distance", []line{{0, 900 * ms}, {sec + 4*ms, 700 * ms}}, "ll"},
		{"two on two connections", []line{{0, 900 * ms}, {sec + ms, 701 * ms}}, "ll"},
		{"two on two, and one dropped between", []line{{0, 900 * ms}, {500 * ms, 0}, {sec, 701 * ms}}, "ld"},
		{"two on two, and the first ended", []line{{0, 900 * ms}, {500 * ms, -1}, {sec, 701 * ms}}, "ld"},
		{"one as the server drops some", []line{{0, 0}, {10 * ms, 900 * ms}, {sec + 10*ms, 701 * ms}}, "dd"},
		{"a large one as the server drops some", []line{{0, 0}, {10 * ms, 9 * sec}, {sec + 10*ms, 6 * sec}}, "dd"},
		{"one too large for any server", []line{{0, 0}, {10 * ms, 20 * sec}}, "l"},
		{"one dropped well before", []line{{0, 0}, {50 * ms, 900 * ms}, {sec + 50*ms, 701 * ms}}, "ll"},
		{"a row goes on on any connection", []line{{0, 900 * ms}, {sec, 700 * ms}, {2 * sec, 701 * ms}}, "ldd"},
		{"a row to its last word", []line{{0, 900 * ms}, {sec, 700 * ms}, {2 * sec, 500 * ms}, {3 * sec, 20 * ms},
			{4 * sec, 30 * ms}}, "ldddl"},
		{"a load between two beats", []line{{0, 900 * ms}, {sec, 700 * ms}, {sec + 5*ms, 800 * ms}, {2 * sec, 700 * ms}},
			"ldld"},
		{"a beat missed", []line{{0, 900 * ms}, {sec, 700 * ms}, {3 * sec, 700 * ms}}, "ldd"},
		{"a figure as large as loads are", []line{{0, 5 * sec}, {sec, 5 * sec}}, "ll"},
		{"a row begins over the least delay only", []line{{0, 20 * ms}, {sec, 20 * ms}}, "ll"},
		{"a row begins at the point of the last", []line{{0, 900 * ms}, {sec, 700 * ms}, {2 * sec, 20 * ms},
			{9*sec - 2*ms, 700 * ms}}, "lddd"},
		{"a row that broke off, and a load", []line{{0, 900 * ms}, {sec, 700 * ms}, {9*sec + 3*ms, 700 * ms}}, "ldl"},
		{"a low figure at that point", []line{{0, 900 * ms}, {sec, 700 * ms}, {9 * sec, 20 * ms}}, "ldl"},
		{"too long after", []line{{0, 900 * ms}, {sec, 700 * ms}, {90 * sec, 700 * ms}}, "ldl"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, got := server{}, ""
			for _, l := range c.lines {
				id := decide.FlowID("one")
				if l.delay%(10*ms) != 0 {
					id = "other"
				}
				if l.delay == 0 {
					s.dropped = 100*sec + l.at
				} else if l.delay < 0 {
					s.ends("one")
				} else if s.beats(id, 100*sec+l.at, l.delay, 83*ms, false) {
					got += "d"
				} else {
					got += "l"
				}
			}
			if got != c.want {
				t.Errorf("taken for %s, want %s", got, c.want)
			}
		})
	}
}

// A first figure is believed alone only where it can't be a load.
func TestNoLoad(t *testing.T) {
	for _, c := range []struct {
		name        string
		known       int
		least, told float64
		want        bool
	}{
		{"far below all loads", loadsKept, 1000, 200, true},
		{"not so far", loadsKept, 1000, 300, false},
		{"too few loads known", loadsKept - 1, 1000, 200, false},
		{"a load as low came a while ago", 2 * loadsKept, 1000, 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := lateness{}
			if c.known > loadsKept {
				l.load(1)
			}
			for range c.known {
				l.load(c.least)
			}
			if got := l.noLoad(c.told); got != c.want {
				t.Errorf("believed: %v", got)
			}
		})
	}
	s := server{}
	if !s.beats("one", sec, 200*ms, 83*ms, true) || !s.beats("two", 2*sec, 700*ms, 83*ms, false) {
		t.Error("a row that began with it does not go on")
	}
}
