package protocol

import (
	"context"
	"time"
)

// drainInterval is how often a drain asks another batch of clients to reconnect.
const drainInterval = 20 * time.Millisecond

// addEstablished adds a session to the established ones, whose clients Drain asks to reconnect.
func (f *Frontend) addEstablished(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.establishedIndex = len(f.established)
	f.established = append(f.established, s)
}

func (f *Frontend) removeEstablished(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeEstablishedLocked(s)
}

func (f *Frontend) removeEstablishedLocked(s *session) {
	if s.establishedIndex < 0 {
		return
	}
	last := len(f.established) - 1
	f.established[s.establishedIndex] = f.established[last]
	f.established[s.establishedIndex].establishedIndex = s.establishedIndex
	f.established[last] = nil
	f.established = f.established[:last]
	s.establishedIndex = -1
}

// Drain asks all clients to reconnect, spread evenly between two times from now: all at once, they would overload the
// other balancers and the capacity for connection set-ups that all clients share. Clients that connect during the drain
// are served, and later asked to reconnect too. No client is asked before the first time: until then the layer in front
// of the balancers still sends clients here, and half of those that reconnect would return to this balancer. Drain
// returns when the context ends.
func (f *Frontend) Drain(ctx context.Context, from, until time.Duration) {
	if !sleep(ctx, from) {
		return
	}
	end := time.Now().Add(until - from)
	due := 0.0 // migrations that are due, including a fraction of one
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		due = f.migrateSome(due, end)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// migrateSome asks as many clients to reconnect as are due in one interval. It returns the remaining fraction.
func (f *Frontend) migrateSome(due float64, end time.Time) float64 {
	var migrating []*session
	f.mu.Lock()
	if left := time.Until(end); left > drainInterval {
		due += float64(len(f.established)) * float64(drainInterval) / float64(left)
	} else {
		due = float64(len(f.established))
	}
	for ; due >= 1 && len(f.established) > 0; due-- {
		migrating = append(migrating, f.established[0])
		f.removeEstablishedLocked(f.established[0])
	}
	f.mu.Unlock()
	for _, s := range migrating {
		s.flow.RequestMigration()
	}
	return due
}
