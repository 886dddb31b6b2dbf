package simulator

import (
	"strconv"
	"time"

	"yardwinch/decide"
)

// writeAction writes one action. It names the instance first if the last action was not its own.
func (in *instance) writeAction(line string) {
	if in.host.lastActing != in.id {
		in.host.write(msgActionsOf + "\t" + strconv.Itoa(in.id))
		in.host.lastActing = in.id
	}
	in.host.write(line)
}

func number[T ~int | ~int64 | ~uint32](n T) string { return strconv.FormatInt(int64(n), 10) }

// The methods of decide.Actions.

func (in *instance) Connect(id decide.FlowID, server decide.ServerID, timeout time.Duration) {
	in.writeAction(msgConnect + "\t" + string(id) + "\t" + number(server) + "\t" + number(timeout))
}

func (in *instance) Reject(id decide.FlowID, retryAfter time.Duration) {
	in.writeAction(msgReject + "\t" + string(id) + "\t" + number(retryAfter))
}

func (in *instance) Abort(id decide.FlowID)   { in.writeAction(msgAbort + "\t" + string(id)) }
func (in *instance) Migrate(id decide.FlowID) { in.writeAction(msgMigrate + "\t" + string(id)) }

func (in *instance) HealthCheck(server decide.ServerID) {
	in.writeAction(msgCheck + "\t" + number(server))
}

// SetTimer sets a timer beyond maxTimer in parts.
func (in *instance) SetTimer(timer decide.TimerID, after time.Duration) {
	if after > maxTimer {
		in.remaining[timer] = after - maxTimer
		after = maxTimer
	}
	in.writeAction(msgSetTimer + "\t" + number(timer) + "\t" + number(after))
}

func (in *instance) WatchEndpoints(on bool) {
	if on {
		in.writeAction(msgWatch + "\t1")
	} else {
		in.writeAction(msgWatch + "\t0")
	}
}
