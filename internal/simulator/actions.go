package simulator

import (
	"strconv"
	"time"

	"yardwinch/decide"
)

// act writes one action, under the instance that it is of.
func (in *instance) act(line string) {
	if in.host.answering != in.id {
		in.host.write(msgAnswering + "\t" + strconv.Itoa(in.id))
		in.host.answering = in.id
	}
	in.host.write(line)
}

func number[T ~int | ~int64 | ~uint32](n T) string { return strconv.FormatInt(int64(n), 10) }

// The methods of decide.Actions.

func (in *instance) Connect(id decide.FlowID, server decide.ServerID, timeout time.Duration) {
	in.act(msgConnect + "\t" + string(id) + "\t" + number(server) + "\t" + number(timeout))
}

func (in *instance) Reject(id decide.FlowID, retryAfter time.Duration) {
	in.act(msgReject + "\t" + string(id) + "\t" + number(retryAfter))
}

func (in *instance) Abort(id decide.FlowID)   { in.act(msgAbort + "\t" + string(id)) }
func (in *instance) Migrate(id decide.FlowID) { in.act(msgMigrate + "\t" + string(id)) }

func (in *instance) HealthCheck(server decide.ServerID) {
	in.act(msgCheck + "\t" + number(server))
}

// SetTimer sets a long timer in parts.
func (in *instance) SetTimer(timer decide.TimerID, after time.Duration) {
	if after > maxTimer {
		in.remaining[timer] = after - maxTimer
		after = maxTimer
	}
	in.act(msgSetTimer + "\t" + number(timer) + "\t" + number(after))
}

func (in *instance) WatchEndpoints(on bool) {
	if on {
		in.act(msgWatch + "\t1")
	} else {
		in.act(msgWatch + "\t0")
	}
}
