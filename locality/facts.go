package locality

import (
	"time"

	"yardwinch/decide"
)

// OnEndpoint takes in a change of the server list.
func (h *Policy) OnEndpoint(endpoint decide.Endpoint) {
	id, z, size := endpoint.ID, endpoint.Zone, endpoint.Size
	st, since := endpoint.Readiness, endpoint.StartedAt
	s := h.servers[id]
	if s == nil {
		s = &server{id: id, hall: h.hall(z), state: decide.Gone}
		h.servers[id] = s
		s.hall.servers[id] = s
	}
	if z != s.hall.name && (z != "" || st != decide.Gone) { // it changed hall, and its flows with it
		delete(s.hall.servers, id)
		to := h.hall(z)
		for _, f := range h.flows {
			if f.server == s {
				s.hall.own--
				to.own++
			}
		}
		s.hall, to.servers[id] = to, s
	}
	if size <= 0 {
		size = 1
	}
	s.size, s.state, s.since = size, st, since
}

// OnEndpointsUpdated looks at every hall anew. That the list says nothing is no news of a hall; that it calls all of a hall's
// servers gone is, and so is that most of them started since the hall was lost.
func (h *Policy) OnEndpointsUpdated() {
	h.begun = true
	for _, x := range h.order {
		x.ready, x.size = 0, 0
		fresh := 0
		for _, s := range x.servers {
			if s.state == decide.Ready {
				x.ready++
				x.size += s.size
				if s.since != decide.LongAgo && s.since > x.since {
					fresh++
				}
			}
		}
		switch {
		case x.ready == 0 && x.listed:
			h.turn(x, Unavailable, "the list has no server of it")
		case x.state == Unavailable && x.ready > 0 && x.why == "the list has no server of it":
			h.turn(x, Recovering, "the list has servers of it again")
		case x.state == Unavailable && 2*fresh > x.ready:
			h.turn(x, Recovering, "most of its servers started anew")
		}
		x.listed = x.listed || x.ready > 0
	}
	if at, ok := h.now0(); ok && h.perSize == 0 {
		h.perSize = at // what stands when the balancer starts is the first guess
		if at > 0 {
			h.learnt = knownAfter
		}
	}
}

// OnFlow takes in a new flow.
func (h *Policy) OnFlow(request decide.FlowRequest) {
	h.flows[request.ID] = &flow{group: request.Group}
}

// OnAttempt takes in that a connect for a flow went out to a server.
func (h *Policy) OnAttempt(f decide.FlowID, to decide.ServerID) {
	x, s := h.flows[f], h.servers[to]
	if x == nil || s == nil {
		return
	}
	x.server = s
	s.hall.own++
	switch s.hall.state {
	case Unavailable:
		s.hall.trial, s.hall.trialAt = f, h.now
	case Recovering:
		s.hall.sent++
	}
}

// OnEstablished takes in that a connection was set up, and in what time.
func (h *Policy) OnEstablished(f decide.FlowID, on decide.ServerID, took time.Duration) {
	x := h.flows[f]
	if x == nil || x.server == nil {
		return
	}
	x.stands, x.stood = true, h.now
	if took < 0 { // what it took over is what is usual
		if at, ok := h.now0(); ok {
			h.perSize, h.learnt = max(h.perSize, at), knownAfter
		}
		return
	}
	hall := x.server.hall
	h.see(hall, result{h.now, on, true, false, took})
	if hall.state == Unavailable {
		h.turn(hall, Recovering, "a trial stood")
		hall.sent = 1
	}
}

// OnEnded takes in how a connection ended, or an attempt to set one up.
func (h *Policy) OnEnded(f decide.FlowID, on decide.ServerID, o decide.Outcome, stood bool) {
	x := h.flows[f]
	if x == nil || x.server == nil {
		return
	}
	hall := x.server.hall
	hall.own--
	x.server, x.stands = nil, false
	bad := o == decide.Unreachable || o == decide.Reset || o == decide.TimedOut && !stood
	if hall.trial == f && hall.state == Unavailable {
		hall.trial = ""
		if bad || o == decide.Cancelled {
			most := mostPause
			if h.noneWell() {
				most = alonePause
			}
			hall.pause = min(2*hall.pause, most)
			hall.retryAt = h.now + h.jitter(hall.pause)
		} else if o == decide.Full || o == decide.Error { // somebody was met
			h.turn(hall, Recovering, "a trial met somebody")
		}
	}
	switch {
	case bad:
		h.see(hall, result{h.now, on, false, o == decide.TimedOut, 0})
	case !stood && (o == decide.Full || o == decide.Error):
		h.see(hall, result{h.now, on, true, false, 0})
	}
}

// OnFlowRemoved forgets a flow.
func (h *Policy) OnFlowRemoved(f decide.FlowID) {
	if x := h.flows[f]; x != nil && x.server != nil {
		x.server.hall.own--
	}
	delete(h.flows, f)
}

// OnLatencySample takes in how long a message to a server took.
func (h *Policy) OnLatencySample(on decide.ServerID, delay time.Duration) {
	if s := h.servers[on]; s != nil && delay > h.late {
		s.lateAt = max(h.now, 1)
	}
}

// OnMigration takes in that a flow's client was asked to move.
func (h *Policy) OnMigration(f decide.FlowID) {
	if x := h.flows[f]; x != nil && x.server != nil && x.server.hall.tier > 0 && h.tokens >= 1 {
		h.tokens--
		h.moved++
	}
}
