package config

import "testing"

func TestParseLoadReport(t *testing.T) {
	for _, c := range []struct {
		name, text string
		load       float64
		ok         bool
	}{
		{"nothing", "", 0, false},
		{"columns of one deployment", "errors_per_s:0,backlog:0,recent_ms:1.52,x0:0.37", 0.37, true},
		{"columns of another deployment", "x0:0.83,throughput:0.32,outstanding:19.3", 0.83, true},
		{"prefixed names, as on a socket", " TEXT named_metrics.x0=0.5, named_metrics.x1=2", 0.5, true},
		{"a JSON object", ` {"x1":3,"x0":1.25}`, 1.25, true},
		{"no load", "throughput:3", 0, false},
		{"truncated", "throughput:3,x0:", 0, false},
		{"a word", "x0:much", 0, false},
		{"not a number", "x0:NaN", 0, false},
		{"negative", "x0:-0.5", 0, false},
		{"present twice", "x0:0.2,x0:0.4", 0, false},
		{"another column malformed", "backlog:x,x0:0.4", 0.4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if load, ok := ParseLoadReport(c.text); ok != c.ok || ok && load != c.load {
				t.Errorf("load %v, valid: %v; want %v, %v", load, ok, c.load, c.ok)
			}
		})
	}
}
