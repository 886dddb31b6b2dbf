package routing

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"yardwinch/decide"
)

// The balancer needs samples of the message latency at each server. Where servers report none, the round-trip times of
// lines are used instead, and for a server that does not answer, the time that its lines have waited so far.

const (
	latencyCheckInterval  = 250 * time.Millisecond
	latencySampleInterval = time.Second // between two samples of a late server
	// roundTripMaxAge is the maximum age of a round trip that counts. It is about the interval at which clients send.
	roundTripMaxAge     = 2 * time.Second
	roundTripWindowSize = 16
	// replyTimeout is the longest that a line may wait for its reply before the client is asked to reconnect. It is
	// shorter than the wait that would count against this balancer.
	replyTimeout = 4 * time.Second
	// clientSilenceTimeout is the time without a line after which a client is presumed lost with its machine. Nothing
	// else would ever free its descriptors.
	clientSilenceTimeout = 30 * time.Second
)

// latencyTracker tracks which flows and servers may be late. A balancer holds tens of thousands of flows, nearly all of
// them on time, so the tracker is updated as lines pass: the cost of a check is proportional to the number of late
// flows and servers, not of all. The router's mutex guards it.
type latencyTracker struct {
	threshold time.Duration // a message with a longer latency is late, and so is a server with a longer median latency
	nextCheck time.Duration

	serversReportLoad, serversReportLatency bool // what the servers' metric lines may carry
	recentLoads                             loadWindow

	awaitingReply flowList // established flows with an unanswered line, oldest line first
	byLastRequest flowList // established flows, least recent request first
	// adopted are flows taken over from another process, in no order. They are in neither list as long as they wait for
	// what they waited for there.
	adopted  []*Flow
	suspects []*server // servers with a recent late round trip, or last reported as late
}

// roundTripWindow holds the last round-trip times of lines to a server.
type roundTripWindow struct {
	receivedAt, durations []time.Duration
	reportedAt            time.Duration // when the last late sample was reported; 0: the server is on time
}

func (w *roundTripWindow) add(at, roundTrip time.Duration) {
	if len(w.receivedAt) == roundTripWindowSize {
		w.receivedAt = w.receivedAt[:copy(w.receivedAt, w.receivedAt[1:])]
		w.durations = w.durations[:copy(w.durations, w.durations[1:])]
	}
	w.receivedAt = append(w.receivedAt, at)
	w.durations = append(w.durations, roundTrip)
}

// track starts tracking a flow whose connection is established.
func (t *latencyTracker) track(f *Flow) {
	if f.adopted == (FlowTiming{}) {
		t.byLastRequest.push(f)
	} else {
		t.adopted = append(t.adopted, f)
	}
	f.serverIndex = len(f.server.established)
	f.server.established = append(f.server.established, f)
}

// untrack stops tracking a flow whose connection ended.
func (t *latencyTracker) untrack(f *Flow) {
	t.byLastRequest.remove(f)
	t.awaitingReply.remove(f)
	flows := f.server.established
	last := len(flows) - 1
	flows[f.serverIndex] = flows[last]
	flows[f.serverIndex].serverIndex = f.serverIndex
	flows[last] = nil
	f.server.established = flows[:last]
}

// addSuspect includes a server in the next checks.
func (t *latencyTracker) addSuspect(s *server) {
	if !s.isLateSuspect {
		s.isLateSuspect = true
		t.suspects = append(t.suspects, s)
	}
}

// OnRequest records a request, which is a line to the server. If several are unanswered, the oldest one counts.
func (f *Flow) OnRequest() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	latency := &f.router.latency
	f.lastRequestAt = f.router.Now()
	if f.isEstablished {
		latency.byLastRequest.remove(f)
		latency.byLastRequest.push(f)
	}
	if f.awaitingSince == 0 {
		f.awaitingSince = f.lastRequestAt
		if f.isEstablished {
			latency.awaitingReply.push(f)
		}
	}
}

// OnReply records a reply, which is a line from the server. It answers all requests so far.
func (f *Flow) OnReply() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	if f.awaitingSince == 0 {
		return
	}
	now := f.router.Now()
	roundTrip := now - f.awaitingSince
	f.server.roundTrips.add(now, roundTrip)
	f.awaitingSince = 0
	f.router.latency.awaitingReply.remove(f)
	if roundTrip > f.router.latency.threshold {
		f.router.latency.addSuspect(f.server)
	}
}

// checkLatencies asks clients that are silent, or whose server does not answer, to reconnect, and reports latency
// samples of servers: one a second for each late server, and a last one when it has recovered.
func (r *Router) checkLatencies(now time.Duration) {
	t := &r.latency
	t.nextCheck = now + latencyCheckInterval
	t.adopted = slices.DeleteFunc(t.adopted, func(f *Flow) bool { return !t.waitsAsAdopted(f) })
	t.migrateUnresponsive(now)
	waits := t.overdueWaits(now)
	slices.SortFunc(t.suspects, func(a, b *server) int { return cmp.Compare(a.index, b.index) })
	checked := t.suspects
	t.suspects = t.suspects[:0] // filtered in place
	for _, s := range checked {
		s.isLateSuspect = r.checkServerLatency(s, waits[s], now)
		if s.isLateSuspect {
			t.suspects = append(t.suspects, s)
		}
	}
	clear(checked[len(t.suspects):])
}

// migrateUnresponsive asks clients to reconnect whose server does not answer, or which have sent nothing for long.
func (t *latencyTracker) migrateUnresponsive(now time.Duration) {
	for f := t.awaitingReply.first; f != nil && now-f.awaitingSince > replyTimeout; f = t.awaitingReply.next(f) {
		f.requestMigration()
	}
	for _, f := range t.adopted {
		isOverdue := t.awaitsAsAdopted(f) && now-f.awaitingSince > replyTimeout
		if isOverdue || now-f.lastRequestAt > clientSilenceTimeout {
			f.requestMigration()
		}
	}
	for f := t.byLastRequest.first; f != nil && now-f.lastRequestAt > clientSilenceTimeout; f = t.byLastRequest.next(f) {
		f.requestMigration()
	}
}

// awaitsAsAdopted reports whether a flow awaits the reply that it awaited at the process from which it was adopted.
func (t *latencyTracker) awaitsAsAdopted(f *Flow) bool {
	return f.awaitingSince != 0 && !t.awaitingReply.contains(f)
}

// waitsAsAdopted reports whether a flow is established, and awaits a reply or a request as it did at the process from
// which it was adopted.
func (t *latencyTracker) waitsAsAdopted(f *Flow) bool {
	return f.isEstablished && (t.awaitsAsAdopted(f) || !t.byLastRequest.contains(f))
}

// overdueWaits returns, by server, how long the lines whose replies are overdue have waited so far. Their servers
// become suspects.
func (t *latencyTracker) overdueWaits(now time.Duration) map[*server][]time.Duration {
	var waits map[*server][]time.Duration
	add := func(f *Flow) {
		if waits == nil {
			waits = map[*server][]time.Duration{}
		}
		waits[f.server] = append(waits[f.server], now-f.awaitingSince)
		t.addSuspect(f.server)
	}
	for f := t.awaitingReply.first; f != nil && now-f.awaitingSince > t.threshold; f = t.awaitingReply.next(f) {
		add(f)
	}
	for _, f := range t.adopted {
		if t.awaitsAsAdopted(f) && now-f.awaitingSince > t.threshold {
			add(f)
		}
	}
	return waits
}

// checkServerLatency reports the median latency of a server if a sample is due. It returns whether the next check must
// include the server again.
func (r *Router) checkServerLatency(s *server, overdueWaits []time.Duration, now time.Duration) (needsCheck bool) {
	latencies := overdueWaits
	isLate := len(overdueWaits) > 0
	for i, at := range s.roundTrips.receivedAt {
		if now-at < roundTripMaxAge {
			latencies = append(latencies, s.roundTrips.durations[i])
			isLate = isLate || s.roundTrips.durations[i] > r.latency.threshold
		}
	}
	if len(s.established) > 0 && len(latencies) > 0 {
		slices.Sort(latencies)
		r.reportMedianIfDue(s, latencies[len(latencies)/2], now)
	}
	return isLate || s.roundTrips.reportedAt != 0
}

// reportMedianIfDue reports a server's median latency if it is late and the last sample is not recent, or if the server
// has just recovered.
func (r *Router) reportMedianIfDue(s *server, median, now time.Duration) {
	reportedAt := s.roundTrips.reportedAt
	switch {
	case median <= r.latency.threshold:
		if reportedAt != 0 {
			s.roundTrips.reportedAt = 0
			r.reportLatency(s, s.reportingFlow(), median)
		}
	case reportedAt == 0 || now-reportedAt >= latencySampleInterval-latencyCheckInterval/2:
		s.roundTrips.reportedAt = now
		r.reportLatency(s, s.reportingFlow(), median)
	}
}

// reportLatency reports a latency sample of a server to the balancer, attributed to one of the server's flows.
func (r *Router) reportLatency(s *server, id decide.FlowID, latency time.Duration) {
	slog.Debug("latency sampled", "server", s.name, "delay_ms", milliseconds(latency))
	r.balancer.OnLatencySample(id, latency)
}

// reportingFlow returns the flow to which a server's latency samples are attributed. Any flow would do, but the choice
// must not depend on the order in which flows were established.
func (s *server) reportingFlow() decide.FlowID {
	return slices.MinFunc(s.established, func(a, b *Flow) int { return cmp.Compare(a.id, b.id) }).id
}

// milliseconds converts a duration for log lines.
func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
