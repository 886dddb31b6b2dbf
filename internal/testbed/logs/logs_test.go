package logs

import (
	"strings"
	"testing"
	"testing/fstest"
)

func TestCount(t *testing.T) {
	line := func(at, rest string) string {
		return "0.1 time=2026-01-01T00:00:" + at + "Z level=DEBUG " + rest + "\n"
	}
	folder := fstest.MapFS{
		"a.log": {Data: []byte(line("00.100", "msg=\"flow established\" flow=1 server=x") + line("00.200", "msg=\"flow established\" flow=2 server=x") +
			"not of this form\n" + line("02.200", "msg=phase is=loading"))},
		"b.log": {Data: []byte(line("00.150", "msg=\"flow established\" flow=1 server=x") + line("01.500", `msg="latency sampled" server=x delay_ms=1500`) +
			line("01.900", "msg=\"flow ended\" flow=1 server=x outcome=5 established=true") + line("02.500", "msg=\"flow ended\" flow=2 server=y outcome=4 established=false"))},
	}
	seconds, other, err := Count(folder)
	if err != nil || other != 1 {
		t.Fatalf("%d other lines, %v", other, err)
	}
	var got strings.Builder
	if err := Print(&got, seconds); err != nil {
		t.Fatal(err)
	}
	const want = `0 s: flow established 3
    3 held: x 3
1 s: flow reset 1, latency sampled 1
    2 held: x 2 (1.5s late)
2 s: connect unreachable 1, phase loading 1
    0 held: 
`
	if got.String() != want {
		t.Errorf("got\n%swant\n%s", got.String(), want)
	}
	if _, _, err := Count(fstest.MapFS{}); err == nil {
		t.Error("a folder without logs is no fault")
	}
}
