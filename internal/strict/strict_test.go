package strict

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestErrorsNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"valid", "a = 1\n[t]\nd = \"2s\"\nr = [1, 2]\nw = \"x\"\n[[l]]\nf = true\n", ""},
		{"unknown", "a = 1\n[t]\nb = 2\n", "f.toml:3: t.b: unknown key"},
		{"unknown in a list", "a = 1\n[[l]]\n[[l]]\nq = 2\n", "f.toml:4: l.1.q: unknown key"},
		{"not a number", "\na = \"x\"\n", "f.toml:2: a: want a number from 0 to 9, got x"},
		{"out of range", "a = 10\n", "f.toml:1: a: want a number from 0 to 9, got 10"},
		{"not a duration", "[t]\nd = 3\n", `f.toml:2: t.d: want a time of at most 1m0s such as "250ms"`},
		{"a range with its ends reversed", "[t]\nr = [2, 1]\n", "f.toml:2: t.r: want a number from 0 to 9, or a list of two"},
		{"a string that is not allowed", "[t]\nw = \"z\"\n", "f.toml:2: t.w: want one of x, y, got z"},
		{"not a table", "t = 3\n", "f.toml:1: t: want a table [t]"},
		{"not tables", "l = [1]\n", "f.toml:1: l: want tables [[l]]"},
		{"not TOML", "a = \n", "f.toml:1: "},
		{"a duplicate key", "a = 1\na = 2\n", "f.toml:2: "},
		{"the first of two errors", "[t]\nd = 3\nr = 99\n", "f.toml:2: t.d: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			top, err := Parse("f.toml", []byte(c.text))
			if err == nil {
				top.Float("a", 0, 0, 9)
				table := top.Table("t")
				if d := table.Duration("d", time.Second, time.Minute); c.name == "valid" && d != 2*time.Second {
					t.Errorf("read the duration %v, want 2s", d)
				}
				table.Range("r", 0, 1, 0, 9)
				table.String("w", "x", "x", "y")
				for _, item := range top.Tables("l") {
					item.Bool("f", false)
				}
				err = top.Err()
			}
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// readers read the key "k" with each method of Table.
var readers = map[string]func(Table) any{
	"float":    func(t Table) any { return t.Float("k", 7, 1, 9) },
	"int":      func(t Table) any { return t.Int("k", 7, 1, 9) },
	"ints":     func(t Table) any { return t.IncreasingInts("k", 1, 9) },
	"range":    func(t Table) any { low, high := t.Range("k", 7, 8, 1, 9); return [2]float64{low, high} },
	"duration": func(t Table) any { return t.Duration("k", time.Hour, time.Minute) },
	"durations": func(t Table) any {
		low, high := t.DurationRange("k", time.Hour, 2*time.Hour, time.Minute)
		return [2]time.Duration{low, high}
	},
	"bool":    func(t Table) any { return t.Bool("k", true) },
	"string":  func(t Table) any { return t.String("k", "absent") },
	"allowed": func(t Table) any { return t.String("k", "absent", "x", "y") },
	"strings": func(t Table) any { return t.Strings("k", []string{"absent"}, "x", "y") },
	"lists":   func(t Table) any { return t.StringLists("k") },
}

var readerCases = []struct {
	reader, value string
	want          any
	fails         bool
}{
	{"float", `2`, 2.0, false},
	{"float", `2.5`, 2.5, false},
	{"float", `nan`, 7.0, true},
	{"float", `0.5`, 7.0, true},
	{"int", `9`, 9, false},
	{"int", `10`, 7, true},
	{"int", `2.0`, 7, true},
	{"ints", `[1, 5, 9]`, []int{1, 5, 9}, false},
	{"ints", `[1, 5, 5]`, []int(nil), true},
	{"ints", `[1, "x"]`, []int(nil), true},
	{"ints", `[]`, []int(nil), true},
	{"ints", `3`, []int(nil), true},
	{"range", `3`, [2]float64{3, 3}, false},
	{"range", `[1, 2.5]`, [2]float64{1, 2.5}, false},
	{"range", `[1, 2, 3]`, [2]float64{7, 8}, true},
	{"range", `[2, 1]`, [2]float64{7, 8}, true},
	{"range", `[2, 10]`, [2]float64{7, 8}, true},
	{"range", `0`, [2]float64{7, 8}, true},
	{"range", `nan`, [2]float64{7, 8}, true},
	{"duration", `"5s"`, 5 * time.Second, false},
	{"duration", `"-5s"`, time.Hour, true},
	{"duration", `"2m"`, time.Hour, true},
	{"durations", `"5s"`, [2]time.Duration{5 * time.Second, 5 * time.Second}, false},
	{"durations", `["5s", "6s"]`, [2]time.Duration{5 * time.Second, 6 * time.Second}, false},
	{"durations", `["6s", "5s"]`, [2]time.Duration{time.Hour, 2 * time.Hour}, true},
	{"durations", `["6s", 5]`, [2]time.Duration{time.Hour, 2 * time.Hour}, true},
	{"durations", `["6s", "2m"]`, [2]time.Duration{time.Hour, 2 * time.Hour}, true},
	{"bool", `false`, false, false},
	{"bool", `0`, true, true},
	{"string", `"any"`, "any", false},
	{"string", `""`, "", false},
	{"string", `1`, "absent", true},
	{"allowed", `"y"`, "y", false},
	{"allowed", `"z"`, "absent", true},
	{"strings", `["y", "x"]`, []string{"y", "x"}, false},
	{"strings", `["y", "z"]`, []string{"absent"}, true},
	{"strings", `[]`, []string{"absent"}, true},
	{"strings", `"x"`, []string{"absent"}, true},
	{"lists", `[["a"], ["b", "c"]]`, [][]string{{"a"}, {"b", "c"}}, false},
	{"lists", `[["a"], []]`, [][]string(nil), true},
	{"lists", `[["a", ""]]`, [][]string(nil), true},
	{"lists", `[["a"], "b"]`, [][]string(nil), true},
	{"lists", `[]`, [][]string(nil), true},
}

// Each reader returns the value of its key, or records an error and returns the default.
func TestReaders(t *testing.T) {
	for _, c := range readerCases {
		t.Run(c.reader+" "+c.value, func(t *testing.T) {
			table, err := Parse("f.toml", []byte("k = "+c.value))
			if err != nil {
				t.Fatal(err)
			}
			got := readers[c.reader](table)
			if err := table.Err(); !reflect.DeepEqual(got, c.want) || (err != nil) != c.fails {
				t.Errorf("read %v, %v; want %v, an error: %v", got, err, c.want, c.fails)
			}
		})
	}
}
