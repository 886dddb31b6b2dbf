package main

import "time"

func init() { cases["empty"] = caseEmpty }

// drainLimit is the time after the out-of-service call at which no client may be held, see DAYS.md.
const drainLimit = 4 * time.Second

// caseEmpty takes the balancer out of service while one of eight servers hangs.
func caseEmpty(w *world) {
	classes := []class{prairie[0], {"hold-update", "single_shot", "all", 800, 4800, 5000}}
	servers, members := w.newFleet("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	d := w.newDiscovery(members)
	b := w.newBalancer("n1", d.addr(), settings(classes, nil))
	p := b.start()
	p.awaitReady(10 * time.Second)
	if w.trouble {
		servers[2].hung.Store(true)
		w.note("server %s hangs", servers[2].name)
	}
	var clients []*client
	for range 24 {
		clients = append(clients, w.open(b.listen, "hold-update", 4800*time.Millisecond, ""))
		time.Sleep(10 * time.Millisecond)
	}
	waitUntil(time.Second, func() bool { return servers[2].openCount() > 0 })
	called := time.Now()
	status := p.call("POST", "out-of-service")
	w.note("the call out-of-service is answered %d", status)
	if status != 200 {
		w.fail("the balancer said no to out-of-service")
	}
	time.Sleep(drainLimit + timeSlack - time.Since(called))
	answer := w.ping(b.listen, time.Second)
	w.note("PING is answered %q", answer)
	if answer == "PONG" {
		w.breach("PING is answered yes after 4 s")
	}
	for _, c := range clients {
		if !c.hasEnded() && !c.wasMoved() {
			w.breach("client %s is held %.3f s after the call and was not moved", c.id, time.Since(called).Seconds())
		}
	}
	for _, c := range clients {
		waitUntil(3*time.Second, c.hasEnded)
	}
}
