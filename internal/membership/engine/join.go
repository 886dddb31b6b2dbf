package engine

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"

	"yardwinch/internal/membership"
)

const maxRejoinAddresses = 3 // gone members that one join contacts

// joiner joins other members and backs off between failed attempts.
type joiner struct {
	group       *Group
	sync        *postJoinSync
	nextAttempt time.Time
	backoff     *backoff.ExponentialBackOff
	reported    bool // this series of failures has been logged
}

// attemptIfDue attempts to join if that is needed and due, and reports whether it did.
func (j *joiner) attemptIfDue(now time.Time) bool {
	if now.Before(j.nextAttempt) || !j.group.needsJoin() {
		return false
	}
	wasAlone := j.group.AliveCount() <= 1
	err := j.group.join()
	switch {
	case err == nil:
		j.backoff = newBackoff()
		j.reported = false
		if wasAlone {
			j.sync.begin(now)
		}
	case !j.reported:
		j.reported = true
		fault := &membership.Error{
			Where:  "peers",
			What:   "none of the seeds answers; serving alone and asking on",
			Remedy: "check peers.seeds, that the other members are running, and that their UDP and TCP ports can be reached from here",
			Err:    oneLine(err),
		}
		slog.Warn("join failed", "error", fault, "advice", fault.Advice())
	}
	j.nextAttempt = now.Add(j.backoff.NextBackOff())
	return true
}

// needsJoin reports whether this member is alone and has seeds, or another one is gone without having left: the fleet
// may then be partitioned, and both sides have to find each other.
func (g *Group) needsJoin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	alive := 0
	for _, m := range g.members {
		switch m.state {
		case membership.Gone:
			return true
		case membership.Alive:
			alive++
		}
	}
	return alive <= 1 && len(g.instance.Seeds) > 0
}

// join contacts some gone members and, while this member is alone, the seeds.
func (g *Group) join() error {
	list, addresses, alive := g.joinAddresses()
	if alive <= 1 {
		addresses = append(addresses, g.instance.Seeds...)
	}
	contacted, err := list.Join(addresses)
	if contacted > 0 || alive > 1 {
		return nil // gone members are not expected to respond
	}
	if err != nil {
		return fmt.Errorf("join %v: %w", addresses, err)
	}
	return nil
}

// joinAddresses returns the library's member list, the addresses of the first gone members by name, and the number of
// members that are alive.
func (g *Group) joinAddresses() (list *memberlist.Memberlist, gone []string, alive int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[name]
		switch m.state {
		case membership.Gone:
			if len(gone) < maxRejoinAddresses {
				gone = append(gone, m.address)
			}
		case membership.Alive:
			alive++
		}
	}
	return g.list, gone, alive
}

// oneLine replaces the line breaks of a joined error by spaces.
func oneLine(err error) error {
	return errors.New(strings.Join(strings.Fields(err.Error()), " "))
}
