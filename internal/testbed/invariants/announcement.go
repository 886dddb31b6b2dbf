package invariants

import "time"

type announcementKey struct {
	balancer Balancer
	server   Server
}

// announcement is the last state of a server that a balancer was told.
type announcement struct {
	readiness Readiness
	at        time.Duration
	startedAt time.Duration
	event     Event
}

// announceServer notes a server's state. A grace runs from the first announcement that ends readiness: later ones don't prolong it.
func (c *Checker) announceServer(e Event) {
	key := announcementKey{e.Balancer, e.Server}
	last, known := c.announcements[key]
	isSame := last.readiness == e.Readiness && last.startedAt == e.StartedAt
	isStillLeaving := last.readiness != Ready && e.Readiness != Ready
	if known && (isSame || isStillLeaving) {
		return
	}
	c.announcements[key] = announcement{e.Readiness, e.At, e.StartedAt, e}
}

// judgeDrain holds a connect against the announcement that its server drains or is gone.
func (c *Checker) judgeDrain(e Event) {
	a, known := c.announcements[announcementKey{e.Balancer, e.Server}]
	if known && a.readiness != Ready && e.At > a.at+c.limits.DrainGrace+c.limits.Slack {
		c.reportOf(e, DrainsRespected, "sent after the grace", a.event, e)
	}
}
