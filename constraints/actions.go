package constraints

import (
	"time"

	"yardwinch/decide"
)

// actions is what decide does, past the deciders; see decide.Act.
type actions struct{ *Host }

const triesKept = 8 // of one flow

func (h actions) Connect(f decide.FlowID, s decide.ServerID, limit time.Duration) {
	if l := h.flows[f]; l != nil {
		l.server, l.out = s, true
		if len(l.note.Sent) < triesKept {
			l.note.Sent = append(l.note.Sent, Try{Server: s, Zone: h.zones[s], At: h.now.Seconds()})
		}
	}
	for _, d := range h.deciders {
		d.Sent(f, s)
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

func (h actions) Move(f decide.FlowID) {
	if l := h.flows[f]; l != nil {
		l.note.Moved = true
	}
	for _, d := range h.deciders {
		d.Moved(f)
	}
	h.act.Move(f)
}

func (h actions) Cancel(f decide.FlowID, n int)                 { h.act.Cancel(f, n) }
func (h actions) Probe(s decide.ServerID)                       { h.act.Probe(s) }
func (h actions) Timer(m decide.TimerMark, after time.Duration) { h.act.Timer(m, after) }
func (h actions) Watch(on bool)                                 { h.act.Watch(on) }
func (h actions) Fetch()                                        { h.act.Fetch() }
func (h actions) Log(s string)                                  { h.act.Log(s) }
