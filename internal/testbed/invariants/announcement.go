package invariants

import "time"

type announcementKey struct {
	balancer Balancer
	server   Server
}

// announcement is the last state of a server that a balancer was told of.
type announcement struct {
	readiness Readiness
	at        time.Duration
	startedAt time.Duration
	event     Event
}

// announceServer records a server's state as announced to a balancer. The drain grace runs from the first announcement that the server is
// draining or gone; later ones don't prolong it.
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

// checkDrain reports a connect that was sent after the grace of an announcement that its server is draining or gone.
func (c *Checker) checkDrain(e Event) {
	a, known := c.announcements[announcementKey{e.Balancer, e.Server}]
	if known && a.readiness != Ready && e.At > a.at+c.limits.DrainGrace+c.limits.Slack {
		c.reportConnect(e, DrainsRespected, "connect sent after the drain grace", a.event, e)
	}
}
