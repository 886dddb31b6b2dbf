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

const maxRejoins = 3 // gone members that an attempt contacts

// joiner joins other members, with a backoff between attempts.
type joiner struct {
	group         *Group
	introductions *introducer
	nextAttempt   time.Time
	backoff       *backoff.ExponentialBackOff
	reported      bool // the current series of failures was logged
}

// attemptIfDue attempts to join where that is needed and due, and reports whether it did.
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
			j.introductions.begin(now)
		}
	case !j.reported:
		j.reported = true
		fault := &membership.Error{
			Where:  "peers",
			What:   "none of the seeds answers; serving alone and asking on",
			Remedy: "check peers.seeds, that the others run, and that UDP and TCP of their ports are open here",
			Err:    oneLine(err),
		}
		slog.Warn("join failed", "error", fault, "advice", fault.Advice())
	}
	j.nextAttempt = now.Add(j.backoff.NextBackOff())
	return true
}

// needsJoin reports whether this member is alone, or one is gone without having left: then the fleet may be
// partitioned, and both parts have to find each other.
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
		return nil // gone members need not answer
	}
	if err != nil {
		return fmt.Errorf("join %v: %w", addresses, err)
	}
	return nil
}

// joinAddresses is the list to join with, the addresses of the first gone members by name, and how many members
// are alive.
func (g *Group) joinAddresses() (list *memberlist.Memberlist, gone []string, alive int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[name]
		switch m.state {
		case membership.Gone:
			if len(gone) < maxRejoins {
				gone = append(gone, m.address)
			}
		case membership.Alive:
			alive++
		}
	}
	return g.list, gone, alive
}

// oneLine joins the lines of an error of many parts.
func oneLine(err error) error {
	return errors.New(strings.Join(strings.Fields(err.Error()), " "))
}
