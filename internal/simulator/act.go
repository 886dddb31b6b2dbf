package simulator

import (
	"strconv"
	"strings"
	"time"

	"yardwinch/decide"
)

// say writes one action, under the instance that it is for.
func (in *instance) say(s string) {
	h := in.h
	if h.spoken != in.id {
		h.out.WriteString("SPEAKING\t")
		h.out.WriteString(strconv.Itoa(in.id))
		h.out.WriteByte('\n')
		h.spoken = in.id
	}
	h.out.WriteString(s)
	h.out.WriteByte('\n')
}

func num[T ~int | ~int64 | ~uint32](v T) string { return strconv.FormatInt(int64(v), 10) }

// The actions; see decide.Act.

func (in *instance) Connect(f decide.FlowID, s decide.ServerID, limit time.Duration) {
	in.say("FORWARD\t" + string(f) + "\t" + num(s) + "\t" + num(limit))
}
func (in *instance) Cancel(f decide.FlowID, n int) { in.say("RECALL\t" + string(f) + "\t" + num(n)) }
func (in *instance) Reject(f decide.FlowID, after time.Duration) {
	in.say("OVERLOAD_REPLY\t" + string(f) + "\t" + num(after))
}
func (in *instance) Abort(f decide.FlowID)         { in.say("DROP_REQUEST\t" + string(f)) }
func (in *instance) Migrate(f decide.FlowID)       { in.say("SHIFT\t" + string(f)) }
func (in *instance) HealthCheck(s decide.ServerID) { in.say("HEALTH_CHECK\t" + num(s)) }
func (in *instance) SetTimer(m decide.TimerID, d time.Duration) {
	if d > longestTimer {
		in.split[m] = d - longestTimer
		d = longestTimer
	}
	in.say("TIMER\t" + num(m) + "\t" + num(d))
}
func (in *instance) WatchEndpoints(on bool) {
	if on {
		in.say("TAIL\t1")
	} else {
		in.say("TAIL\t0")
	}
}
func (in *instance) FetchEndpoints() { in.say("REFRESH") }
func (in *instance) Log(s string)    { in.say("WRITE_LOG\t" + strings.Map(plain, s)) }
