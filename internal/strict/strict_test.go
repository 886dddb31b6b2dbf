package strict

import (
	"strings"
	"testing"
	"time"
)

func TestFaultsNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"sound", "a = 1\n[t]\nd = \"2s\"\nr = [1, 2]\nw = \"x\"\n[[l]]\nf = true\n", ""},
		{"unknown", "a = 1\n[t]\nb = 2\n", "f.toml:3: t.b: unknown key"},
		{"unknown in a list", "a = 1\n[[l]]\n[[l]]\nq = 2\n", "f.toml:4: l.1.q: unknown key"},
		{"not a number", "\na = \"x\"\n", "f.toml:2: a: want a number from 0 to 9, got x"},
		{"beyond", "a = 10\n", "f.toml:1: a: want a number from 0 to 9, got 10"},
		{"not a time", "[t]\nd = 3\n", `f.toml:2: t.d: want a time of at most 1m0s such as "250ms"`},
		{"the wrong way round", "[t]\nr = [2, 1]\n", "f.toml:2: t.r: want a number from 0 to 9, or two such"},
		{"another word", "[t]\nw = \"z\"\n", "f.toml:2: t.w: want one of x, y, got z"},
		{"not a table", "t = 3\n", "f.toml:1: t: want a table [t]"},
		{"not tables", "l = [1]\n", "f.toml:1: l: want tables [[l]]"},
		{"no TOML", "a = \n", "f.toml:1: "},
		{"twice", "a = 1\na = 2\n", "f.toml:2: "},
		{"the first of two", "[t]\nd = 3\nr = 99\n", "f.toml:2: t.d: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, err := Parse("f.toml", []byte(c.text))
			if err == nil {
				x.Float("a", 0, 0, 9)
				s := x.Table("t")
				if d := s.Duration("d", time.Second, time.Minute); c.name == "sound" && d != 2*time.Second {
					t.Errorf("read %v", d)
				}
				s.Range("r", 0, 1, 0, 9)
				s.String("w", "x", "x", "y")
				for _, l := range x.Tables("l") {
					l.Bool("f", false)
				}
				err = x.Err()
			}
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
