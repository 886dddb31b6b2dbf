package protocol

import (
	"testing"
	"time"

	"yardwinch/internal/routing"
)

// The line that is forwarded to a server differs from the client's only in the timeout.
func TestWithTimeout(t *testing.T) {
	for _, c := range []struct {
		name, line string
		left       time.Duration
		want       string
	}{
		{"in the middle", "OPEN 1 2 c=x,d=2000,g=3", 1234567 * time.Microsecond, "OPEN 1 2 c=x,d=1234,g=3"},
		{"none", "OPEN 1 2 c=x,at=s", sec, "OPEN 1 2 c=x,at=s"},
		{"another name that ends in d", "OPEN 1 2 c=x,id=7,d=9", 5 * ms, "OPEN 1 2 c=x,id=7,d=5"},
		{"no time left", "OPEN 1 2 c=x,d=9", 0, "OPEN 1 2 c=x,d=1"},
		{"an id and a key that look like a timeout", "OPEN d=1 d=2 c=x,d=9", 3 * ms, "OPEN d=1 d=2 c=x,d=3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := withTimeout(c.line, c.left); got != c.want {
				t.Errorf("forwarded line %q, want %q", got, c.want)
			}
		})
	}
}

func TestParseOpen(t *testing.T) {
	const allFlags = routing.FlagLoadHint | routing.FlagRetry | routing.FlagReturning
	plain := FlowInfo{ID: "1", Key: "2b", Service: "x"}
	for _, c := range []struct {
		name, line string
		want       openRequest
	}{
		{"all fields", "OPEN 1 2b c=x,t=acme,d=2000,g=5c,r=1,again=1,h=7",
			openRequest{flow: FlowInfo{ID: "1", Key: "2b", Service: "x", Customer: "acme", Group: "5c"}, timeout: 2 * sec, flags: allFlags}},
		{"names unknown here", "OPEN 1 2b c=x,d=15,new=thing", openRequest{flow: plain, timeout: 15 * ms}},
		{"flags not set", "OPEN 1 2b c=x,d=1,r=0,again=0", openRequest{flow: plain, timeout: ms}},
		{"a resumed flow", "OPEN 1 2b c=x,at=s-1", openRequest{flow: plain, resumeAt: "s-1"}},
		{"a resumed flow, whose timeout is not checked", "OPEN 1 2b c=x,d=4294967,at=s-1",
			openRequest{flow: plain, resumeAt: "s-1", timeout: 4294967 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, err := parseOpen(c.line); err != nil || got != c.want {
				t.Errorf("parsed as %+v, %v; want %+v", got, err, c.want)
			}
		})
	}
}
