package logs

import (
	"strings"
	"testing"
	"testing/fstest"
)

// logLine is a line of a daemon's log at a second of a minute.
func logLine(at, rest string) string {
	return "0.1 time=2026-01-01T00:00:" + at + "Z level=DEBUG " + rest + "\n"
}

func TestCount(t *testing.T) {
	for _, c := range []struct {
		name   string
		folder fstest.MapFS
		want   string
	}{
		{"this build", fstest.MapFS{
			"a.log": {Data: []byte(logLine("00.100", `msg="flow established" flow=1 server=x`) + logLine("00.200", `msg="flow established" flow=2 server=x`) +
				"not of this form\n" + logLine("02.200", "msg=phase is=loading"))},
			"b.log": {Data: []byte(logLine("00.150", `msg="flow established" flow=1 server=x`) + logLine("01.500", `msg="latency sampled" server=x delay_ms=1500`) +
				logLine("01.900", `msg="flow ended" flow=1 server=x outcome=5 established=true`) + logLine("02.500", `msg="flow ended" flow=2 server=y outcome=4 established=false`))},
		}, `0 s: flow established 3
    3 held: x 3
1 s: flow reset 1, latency sampled 1
    2 held: x 2 (1.5s late)
2 s: connect unreachable 1, phase loading 1
    0 held: 
`},
		{"an earlier build", fstest.MapFS{
			"a.log": {Data: []byte(logLine("00.100", "msg=up flow=1 server=x") + logLine("00.200", "msg=up flow=2 server=x") +
				"not of this form\n" + logLine("02.200", "msg=phase is=loading"))},
			"b.log": {Data: []byte(logLine("00.150", "msg=up flow=1 server=x") + logLine("01.500", `msg="delay note" server=x takes=1.5s`) +
				logLine("01.900", "msg=ended flow=1 server=x outcome=5 stood=true") + logLine("02.500", "msg=ended flow=2 server=y outcome=4 stood=false"))},
		}, `0 s: up 3
    3 held: x 3
1 s: delay note 1, flow reset 1
    2 held: x 2 (1.5s late)
2 s: connect unreachable 1, phase loading 1
    0 held: 
`},
	} {
		t.Run(c.name, func(t *testing.T) {
			seconds, other, err := Count(c.folder)
			if err != nil || other != 1 {
				t.Fatalf("%d other lines, %v", other, err)
			}
			var got strings.Builder
			if err := Print(&got, seconds); err != nil {
				t.Fatal(err)
			}
			if got.String() != c.want {
				t.Errorf("got\n%swant\n%s", got.String(), c.want)
			}
		})
	}
	if _, _, err := Count(fstest.MapFS{}); err == nil {
		t.Error("a folder without logs is no fault")
	}
}
