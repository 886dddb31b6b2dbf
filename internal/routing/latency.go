package routing

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"yardwinch/decide"
)

// The decisions need samples of how long a message takes at a server. Where servers report none, the round trips of the
// lines stand in, and while a server answers nothing, how long its lines have waited by now.

const (
	latencyCheckInterval  = 250 * time.Millisecond
	latencySampleInterval = time.Second // between two samples of a server that is late
	// roundTripMaxAge is how old a round trip that counts may be: clients send about that often.
	roundTripMaxAge     = 2 * time.Second
	roundTripWindowSize = 16
	// replyTimeout is how long a line waits at most before its client is asked to reconnect: soon enough that
	// the wait does not count against this balancer.
	replyTimeout = 4 * time.Second
	// clientSilenceTimeout is after how long without a line a client counts as lost with its machine. Nothing else
	// would ever free its descriptors.
	clientSilenceTimeout = 30 * time.Second
)

// latencyTracker knows which flows and servers may be late. A balancer holds tens of thousands of flows, nearly all of
// them on time: the tracker is kept up to date as lines pass, so that a check costs what is late, not what is held. The
// router's mutex guards it.
type latencyTracker struct {
	threshold time.Duration // a latency beyond it is late
	nextCheck time.Duration

	serversReportLoad, serversReportLatency bool // what the servers' own metric lines speak of
	recentLoads                             loadWindow

	awaitingReply flowList  // established flows with an unanswered line, the oldest line first
	byLastRequest flowList  // established flows, the one whose client sent nothing for longest first
	suspects      []*server // servers that had a late round trip recently, or were last reported as late
}

// roundTripWindow keeps the last round trips of lines to a server.
type roundTripWindow struct {
	receivedAt, durations []time.Duration
	reportedAt            time.Duration // when the last late sample was reported; 0: the server is on time
}

func (w *roundTripWindow) add(at, took time.Duration) {
	if len(w.receivedAt) == roundTripWindowSize {
		w.receivedAt = w.receivedAt[:copy(w.receivedAt, w.receivedAt[1:])]
		w.durations = w.durations[:copy(w.durations, w.durations[1:])]
	}
	w.receivedAt = append(w.receivedAt, at)
	w.durations = append(w.durations, took)
}

// track begins with a flow whose connection is established.
func (t *latencyTracker) track(f *Flow) {
	t.byLastRequest.push(f)
	f.serverIndex = len(f.server.established)
	f.server.established = append(f.server.established, f)
}

// untrack ends with a flow whose connection ended.
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

// suspect has the next checks look at a server.
func (t *latencyTracker) suspect(s *server) {
	if !s.isLateSuspect {
		s.isLateSuspect = true
		t.suspects = append(t.suspects, s)
	}
}

// OnRequest records that a line goes to the server. Of several unanswered ones the oldest counts.
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

// OnReply records that a line came back.
func (f *Flow) OnReply() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	if f.awaitingSince == 0 {
		return
	}
	now := f.router.Now()
	took := now - f.awaitingSince
	f.server.roundTrips.add(now, took)
	f.awaitingSince = 0
	f.router.latency.awaitingReply.remove(f)
	if took > f.router.latency.threshold {
		f.router.latency.suspect(f.server)
	}
}

// checkLatencies reports a sample of each server that is late, once a second, and one more once it is on time again.
func (r *Router) checkLatencies(now time.Duration) {
	t := &r.latency
	t.nextCheck = now + latencyCheckInterval
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

// migrateUnresponsive asks clients to reconnect whose server does not answer, and those that have gone silent.
func (t *latencyTracker) migrateUnresponsive(now time.Duration) {
	for f := t.awaitingReply.first; f != nil && now-f.awaitingSince > replyTimeout; f = t.awaitingReply.next(f) {
		f.requestMigration()
	}
	for f := t.byLastRequest.first; f != nil && now-f.lastRequestAt > clientSilenceTimeout; f = t.byLastRequest.next(f) {
		f.requestMigration()
	}
}

// overdueWaits returns how long lines have waited whose replies are late by now. Their servers become suspects.
func (t *latencyTracker) overdueWaits(now time.Duration) map[*server][]time.Duration {
	var waits map[*server][]time.Duration
	for f := t.awaitingReply.first; f != nil && now-f.awaitingSince > t.threshold; f = t.awaitingReply.next(f) {
		if waits == nil {
			waits = map[*server][]time.Duration{}
		}
		waits[f.server] = append(waits[f.server], now-f.awaitingSince)
		t.suspect(f.server)
	}
	return waits
}

// checkServerLatency reports a sample of a server that is late, or is so no more. It returns whether the next check has
// to look at it again.
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

// reportMedianIfDue reports a server's median latency, if it is late and no sample is recent, or if it has just
// recovered.
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

// reportLatency hands the decisions a latency sample of a server, by one of its flows.
func (r *Router) reportLatency(s *server, id decide.FlowID, latency time.Duration) {
	slog.Debug("latency sampled", "server", s.name, "delay_ms", milliseconds(latency))
	r.balancer.OnLatencySample(id, latency)
}

// reportingFlow is the flow by which a server's latency is reported. Any would do, but it must not depend on the order
// in which they came.
func (s *server) reportingFlow() decide.FlowID {
	return slices.MinFunc(s.established, func(a, b *Flow) int { return cmp.Compare(a.id, b.id) }).id
}

// milliseconds is a duration as the log gives it.
func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
