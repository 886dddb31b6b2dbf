package constraints

import (
	"time"

	"yardwinch/decide"
)

// actions is what decide does, past the deciders; see decide.Act.
type actions struct{ *ConstrainedBalancer }

const triesKept = 8 // of one flow

func (h actions) Connect(f decide.FlowID, s decide.ServerID, limit time.Duration) {
	if l := h.flows[f]; l != nil {
		l.server, l.out = s, true
		if len(l.note.Attempts) < triesKept {
			l.note.Attempts = append(l.note.Attempts, Attempt{Server: s, Zone: h.zones[s], At: h.now.Seconds()})
		}
	}
	for _, d := range h.deciders {
		d.OnAttempt(f, s)
	}
	h.act.Connect(f, s, limit)
}

func (h actions) Reject(f decide.FlowID, after time.Duration) {
	h.act.Reject(f, after)
	h.answered(f, "rejected")
}

func (h actions) Abort(f decide.FlowID) {
	h.act.Abort(f)
	h.answered(f, "aborted")
}

func (h actions) Migrate(f decide.FlowID) {
	if l := h.flows[f]; l != nil {
		l.note.Migrated = true
	}
	for _, d := range h.deciders {
		d.OnMigration(f)
	}
	h.act.Migrate(f)
}

func (h actions) Cancel(f decide.FlowID, n int)                  { h.act.Cancel(f, n) }
func (h actions) HealthCheck(s decide.ServerID)                  { h.act.HealthCheck(s) }
func (h actions) SetTimer(m decide.TimerID, after time.Duration) { h.act.SetTimer(m, after) }
func (h actions) WatchEndpoints(on bool)                         { h.act.WatchEndpoints(on) }
func (h actions) FetchEndpoints()                                { h.act.FetchEndpoints() }
func (h actions) Log(s string)                                   { h.act.Log(s) }
