package main

import (
	"os"
	"syscall"
	"time"
)

func init() { cases["hung"] = caseHung }

const (
	silenceLimit = 7 * time.Second       // PROTOCOL.md: nothing back from a running server
	timeSlack    = 50 * time.Millisecond // PROTOCOL.md: each time limit is 50 ms longer
)

// caseHung replaces the balancer's process while half of the servers hang. With UPGRADE=0 the process is not replaced.
func caseHung(w *world) {
	servers, members := w.newFleet("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	d := w.newDiscovery(members)
	b := w.newBalancer("n1", d.addr(), settings(cardiff, nil))
	old := b.start()
	old.awaitReady(10 * time.Second)
	var clients []*client
	for range 48 {
		c := w.open(b.listen, "live-config", 1800*time.Millisecond, "")
		if c.await(4 * time.Second); !c.isUp() {
			w.fail("client %s is not up before the disruption", c.id)
		}
		go c.say(2 * time.Second)
		clients = append(clients, c)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		for i, s := range servers {
			if i%2 == 0 {
				w.note("server %s hangs with %d connections", s.name, s.openCount())
				s.hung.Store(true)
			}
		}
	}
	time.Sleep(3500 * time.Millisecond)
	if os.Getenv("UPGRADE") != "0" {
		next := b.start()
		next.awaitReady(6 * time.Second)
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(12 * time.Second)
	for _, c := range clients {
		c.mu.Lock()
		wait := c.longest
		if !c.waitSince.IsZero() { // unanswered until its end, or until now
			end := time.Now()
			if c.moved || c.endErr != nil {
				end = c.movedOrEndedAt()
			}
			wait = max(wait, end.Sub(c.waitSince))
		}
		w.note("client %s: %d lines, %d answered, longest wait %.3f s, moved %v", c.id, c.lines, c.echoes, wait.Seconds(), c.moved)
		c.mu.Unlock()
		if wait > silenceLimit+timeSlack {
			w.breach("client %s had nothing back for %.3f s and was neither moved nor ended", c.id, wait.Seconds())
		}
	}
}
