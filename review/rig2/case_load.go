package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { cases["load"] = caseLoad }

// drainGrace is guarantees.drain-grace of the settings.
const drainGrace = 750 * time.Millisecond

// caseLoad replaces the process after one server has sent a figure that is no number of microseconds, and takes a server
// out by hand once the new process has said yes.
func caseLoad(w *world) {
	servers, members := w.newFleet("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	d := w.newDiscovery(members)
	b := w.newBalancer("n1", d.addr(), settings(cardiff, nil))
	old := b.start()
	old.awaitReady(10 * time.Second)
	for range 32 {
		c := w.open(b.listen, "live-config", 1800*time.Millisecond, "")
		if c.await(4 * time.Second); !c.isUp() {
			w.fail("client %s is not up before the disruption", c.id)
		}
		go c.say(2 * time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	group := w.groupAt(b, servers[1], "live-config", 1800*time.Millisecond)
	figure := "LOAD 1250"
	if w.trouble {
		figure = "LOAD inf"
	}
	w.note("server %s sends %q on one of its connections", servers[0].name, figure)
	if !servers[0].sendOnce(figure) {
		w.fail("server %s has no connection", servers[0].name)
	}
	time.Sleep(500 * time.Millisecond)
	next := b.start()
	next.awaitReady(6 * time.Second)
	old.signal(syscall.SIGTERM)
	status := next.call("POST", "servers/s2/offline")
	yes := time.Now()
	w.note("the call servers/s2/offline at the new process is answered %d", status)
	if status != 200 {
		w.fail("the balancer said no to offline")
	}
	for time.Since(yes) < 3*time.Second {
		c := w.open(b.listen, "live-config", 1800*time.Millisecond, ",g="+group)
		go func() {
			c.await(2 * time.Second)
			c.leave()
		}()
		time.Sleep(25 * time.Millisecond)
	}
	servers[1].mu.Lock()
	defer servers[1].mu.Unlock()
	for i, line := range servers[1].opens {
		if after := servers[1].openedAt[i].Sub(yes); after > drainGrace+timeSlack {
			w.breach("server s2, out by hand, got %q %.3f s after the yes", strings.Join(strings.Fields(line)[:2], " "), after.Seconds())
		}
	}
}
