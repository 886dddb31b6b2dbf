package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["gossip"] = caseGossip }

// listLate is how late a change of the list may reach one balancer, see PROTOCOL.md.
const listLate = 6 * time.Second

// growTime is the time within which the fleet grows to twice its size, see the brief of bilbao-main.
const growTime = 9 * time.Second

// crashCode is the exit code of a panic. An orderly end has 0, a failed one 1.
const crashCode = 2

// withPeers writes the operators' options of a balancer that shares the health checks with others.
func (b *balancer) withPeers(bind, seed string) {
	text := fmt.Sprintf("[peers]\nname = %q\nlabel = \"review\"\nbind = %q\nseeds = [%q]\n\n[signals]\non = true\n\n[duties]\non = true\n",
		b.name, bind, seed)
	b.options = filepath.Join(b.w.temp, b.name+"-options.toml")
	if err := os.WriteFile(b.options, []byte(text), 0o600); err != nil {
		b.w.fail("%v", err)
	}
}

// caseGossip replaces the process of a balancer whose list of servers is older than that of another balancer, with which
// it shares the health checks.
func caseGossip(w *world) {
	_, members := w.newFleet("s1", "s2", "s3", "s4", "s5", "s6")
	_, joining := w.newFleet("t1", "t2", "t3", "t4", "t5", "t6")
	s := settings(bilbao, map[string]any{
		"peers-total": 2,
		"reporting":   map[string]any{"how": "pull", "columns": []any{"errors_per_s", "backlog", "recent_ms", "x0"}},
	})
	s["policy-limits"].(map[string]any)["probes"] = true
	s["policy-limits"].(map[string]any)["peers"] = true
	d1, d2 := w.newDiscovery(append([]member(nil), members...)), w.newDiscovery(append([]member(nil), members...))
	n1, n2 := w.newBalancer("n1", d1.addr(), s), w.newBalancer("n2", d2.addr(), s)
	bind1, bind2 := w.freeAddress(), w.freeAddress()
	n1.withPeers(bind1, bind2)
	n2.withPeers(bind2, bind1)
	p1, p2 := n1.start(), n2.start()
	p1.awaitReady(10 * time.Second)
	p2.awaitReady(10 * time.Second)
	var clients []*client
	for range 16 {
		c := w.open(n2.listen, "estado-facturas", 3200*time.Millisecond, "")
		if c.await(4 * time.Second); !c.isUp() {
			w.fail("client %s is not up before the disruption", c.id)
		}
		go c.say(2 * time.Second)
		clients = append(clients, c)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(6 * time.Second) // the members have seen each other for 3 s
	for _, p := range []*process{p1, p2} {
		if log, _ := os.ReadFile(p.logPath); bytes.Contains(log, []byte("membership not started")) {
			w.fail("%s is no member", p.name)
		}
	}
	for i, m := range joining {
		time.AfterFunc(time.Duration(i)*growTime/time.Duration(len(joining)-1), func() {
			m.UpSince = time.Now().UnixMilli()
			d1.set(m)
			if w.trouble {
				time.Sleep(listLate)
			}
			d2.set(m)
		})
	}
	for grown := time.Now().Add(growTime + time.Second); time.Now().Before(grown); {
		// the traffic that follows the growth, at the other balancer; it brings health checks with it
		w.open(n1.listen, "estado-facturas", 3200*time.Millisecond, "")
		time.Sleep(150 * time.Millisecond)
	}
	next := n2.start()
	next.awaitReady(6 * time.Second)
	p2.signal(syscall.SIGTERM)
	time.Sleep(5 * time.Second)
	if p2.hasExited() && p2.code == crashCode {
		w.breach("the process that was replaced crashed, exit code %d", p2.code)
	}
	for _, c := range clients {
		if c.wasCut() {
			w.breach("client %s was cut off without MOVE", c.id)
		}
	}
}
