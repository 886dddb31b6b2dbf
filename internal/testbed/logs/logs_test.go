package logs

import (
	"strings"
	"testing"
	"testing/fstest"
)

// logLine returns a line of a log, at a second of the minute.
func logLine(second, attributes string) string {
	return "0.1 time=2026-01-01T00:00:" + second + "Z level=DEBUG " + attributes + "\n"
}

func TestCount(t *testing.T) {
	const want = `0 s: up 3
    3 held: x 3
1 s: delay note 1, flow reset 1
    2 held: x 2 (1.5s late)
2 s: connect unreachable 1, phase loading 1
    0 held: 
`
	for _, c := range []struct {
		name string
		a, b []string // the logs of two balancers
	}{
		{"an earlier build",
			[]string{
				logLine("00.100", "msg=up flow=1 server=x"),
				logLine("00.200", "msg=up flow=2 server=x"),
				"not of this form\n",
				logLine("02.200", "msg=phase is=loading"),
			},
			[]string{
				logLine("00.150", "msg=up flow=1 server=x"),
				logLine("01.500", `msg="delay note" server=x takes=1.5s`),
				logLine("01.900", "msg=ended flow=1 server=x outcome=5 stood=true"),
				logLine("02.500", "msg=ended flow=2 server=y outcome=4 stood=false"),
			}},
		{"this build",
			[]string{
				logLine("00.100", `msg="flow established" flow=1 server=x duration_ms=3`),
				logLine("00.200", `msg="flow established" flow=2 server=x duration_ms=0.25`),
				"not of this form\n",
				logLine("02.200", `msg="phase changed" phase=loading`),
			},
			[]string{
				logLine("00.150", `msg="flow established" flow=1 server=x`),
				logLine("01.500", `msg="latency sampled" server=x delay_ms=1500`),
				logLine("01.900", `msg="flow ended" flow=1 server=x outcome=reset established=true`),
				logLine("02.500", `msg="flow ended" flow=2 server=y outcome=unreachable established=false`),
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seconds, skipped, err := Count(fstest.MapFS{
				"a.log": {Data: []byte(strings.Join(c.a, ""))},
				"b.log": {Data: []byte(strings.Join(c.b, ""))},
			})
			if err != nil || skipped != 1 {
				t.Fatalf("%d lines skipped, error %v; want 1 and no error", skipped, err)
			}
			var got strings.Builder
			if err := Print(&got, seconds); err != nil {
				t.Fatal(err)
			}
			if got.String() != want {
				t.Errorf("got\n%swant\n%s", got.String(), want)
			}
		})
	}
}

func TestCountWithoutLogsFails(t *testing.T) {
	if _, _, err := Count(fstest.MapFS{}); err == nil {
		t.Error("no error for a directory without logs")
	}
}

// Each event of an earlier build maps to one event of this build, and is counted under its former message whichever build logged it.
func TestEventNamesAreUnambiguous(t *testing.T) {
	former, present := map[string]bool{}, map[string]bool{}
	for _, name := range eventNames {
		if former[name.former] || present[name.text] {
			t.Errorf("%q or %q occurs twice", name.former, name.text)
		}
		former[name.former], present[name.text] = true, true
		e := event{text: name.former}
		if e.translate(); e.text != name.text || label(e.text) != name.former {
			t.Errorf("%q becomes %q, counted as %q; want it to become %q", name.former, e.text, label(e.text), name.text)
		}
	}
}
