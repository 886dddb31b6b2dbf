package main

import (
	"strings"
	"time"
)

func init() { cases["at"] = caseAt }

// upLimit is the time after which a connection that was open before is lost, see PROTOCOL.md.
const upLimit = 40 * time.Second

// caseAt restarts a balancer whose known list is one change old, while discovery needs 0.9 s for its answer.
func caseAt(w *world) {
	_, members := w.newFleet("s1", "s2", "s3", "s4")
	d := w.newDiscovery(members)
	b := w.newBalancer("n1", d.addr(), settings(brno, map[string]any{"discovery": "ask"}))
	b.known = list{d.revision - 1, true, members[:3]}
	if w.trouble {
		d.delay.Store(int64(900 * time.Millisecond))
	}
	p := b.start()
	p.awaitReady(10 * time.Second)
	if !waitUntil(5*time.Second, func() bool { return w.ping(b.listen, time.Second) == "PONG" }) {
		w.fail("PING was not answered PONG")
	}
	w.note("PING is answered PONG")
	time.Sleep(300 * time.Millisecond)
	var clients []*client
	for _, at := range []string{"s1", "s2", "s3", "s4"} {
		clients = append(clients, w.open(b.listen, "paid-lookup", 4800*time.Millisecond, ",at="+at))
	}
	for i, c := range clients {
		line, answered := c.await(upLimit)
		if !answered || !strings.HasPrefix(line, "UP ") {
			w.breach("client %s, whose connection was open at s%d, got %q %.3f s after its line", c.id, i+1, line,
				c.firstAt.Sub(c.sentAt).Seconds())
		}
	}
}
