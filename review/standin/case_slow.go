package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	slowAnswer    = 3 * time.Second // that discovery takes to answer a call
	toldLimit     = 6 * time.Second // a change counts as told this long after discovery had it, whether or not it arrived
	reloadLimit   = 4 * time.Second // and this long after SIGHUP
	rulesSlack    = 50 * time.Millisecond
	stopsAfter    = 40 * time.Second // after SIGHUP the drained server stops
	observed      = 45 * time.Second // after SIGHUP
	standing      = 27               // clients that are connected before SIGHUP
	arrivalsEvery = 100 * time.Millisecond
)

// askedDeployment has brno-main's way to its list, its grace and its dearest service type.
var askedDeployment = deployment{
	services:  []serviceType{{name: "paid-lookup", effect: "free", setup: 800 * time.Millisecond, limit: 4800 * time.Millisecond}},
	discovery: "ask", drainGrace: time.Second, balancers: 1,
}

const (
	lookup      = "c=paid-lookup,d=4800"
	lookupLimit = 5500 * time.Millisecond
)

// slowDiscovery: a new configuration names another address of discovery, where each call is answered after 3 s. A server
// drains right after.
func slowDiscovery(r *rig) (verdict, error) {
	servers, first, err := startWorld(r, fleetSize)
	if err != nil {
		return failed, err
	}
	second, err := startAgent(first.catalog, r.log, func(int) (time.Duration, bool) {
		if r.trouble {
			return slowAnswer, false
		}
		return 0, false
	})
	if err != nil {
		return failed, err
	}
	d := askedDeployment
	listen := freeAddress()
	configuration := d.configuration(listen, freeAddress(), first.address, first.catalog.whole(), 512)
	b, err := r.balancer("balancer", configuration)
	if err != nil {
		return failed, err
	}
	if !r.awaitReady(b, upgradeReady) {
		return failed, fmt.Errorf("the balancer is not ready")
	}
	there := r.connectStanding(listen, servers[0])
	time.Sleep(1500 * time.Millisecond) // SIGHUP never comes in the first second
	configuration["discovery"] = second.address
	if err := writeJSON(b.path, configuration); err != nil {
		return failed, err
	}
	r.signal(b, syscall.SIGHUP)
	reloaded := time.Now()
	go func() { // as the address named before does after a new configuration
		time.Sleep(1500 * time.Millisecond)
		_ = first.server.Close()
		r.log("discovery %s closed", first.address)
	}()
	go r.readList(second)
	time.Sleep(500 * time.Millisecond)
	servers[0].drains.Store(true)
	second.catalog.set("s0", "DRAINING")
	drained := time.Now()
	r.log("s0 drains")
	told := drained.Add(toldLimit)
	if limit := reloaded.Add(reloadLimit); limit.After(told) {
		told = limit
	}
	r.log("it counts as told at %.3f at the latest, and the grace is %v", told.Sub(r.started).Seconds(), d.drainGrace)
	time.AfterFunc(time.Until(reloaded.Add(stopsAfter)), servers[0].stop)
	for i := 0; time.Since(reloaded) < observed; i++ {
		c, answer, err := open(listen, fmt.Sprintf("c%d", i), lookup, lookupLimit)
		if c == nil {
			r.log("client c%d: %q, %v", i, answer, err)
		} else {
			time.AfterFunc(2*time.Second, c.close)
		}
		time.Sleep(arrivalsEvery)
	}
	r.logStanding(there)
	return r.lateSends(servers[0], told.Add(d.drainGrace+rulesSlack)), nil
}

// connectStanding connects clients that stay, and returns those at one server.
func (r *rig) connectStanding(listen string, s *server) (there []*client) {
	for i := range standing {
		c, answer, err := open(listen, fmt.Sprintf("standing-%d", i), lookup, lookupLimit)
		if c == nil {
			r.log("standing client %d: %q, %v", i, answer, err)
			continue
		}
		go keepTalking(r, c)
		if strings.HasPrefix(answer, "UP "+s.id+"-") {
			there = append(there, c)
		}
	}
	return there
}

// logStanding records what became of the clients that stood at the server that drained. It is not judged.
func (r *rig) logStanding(there []*client) {
	moved, cut := 0, 0
	for _, c := range there {
		switch {
		case c.moved.Load():
			moved++
		case c.ended.Load():
			cut++
		}
	}
	r.log("of %d clients at s0 before it drained %d were told to move, %d were cut off when it stopped", len(there), moved, cut)
}

// readList asks for the whole list and waits for the answer, to show that discovery can be reached.
func (r *rig) readList(a *agent) {
	asked := time.Now()
	response, err := http.Get("http://" + a.address + "/discovery/hosts")
	if err != nil {
		r.log("another caller: %v", err)
		return
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	r.log("another caller of discovery got %d bytes after %.3f s", len(text), time.Since(asked).Seconds())
}

// lateSends judges the sends to a server that drains.
func (r *rig) lateSends(s *server, last time.Time) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, at := range s.times {
		if at.After(last) {
			late++
		}
	}
	r.log("%d of %d OPEN at %s came after %.3f, the end of the grace", late, len(s.times), s.id, last.Sub(r.started).Seconds())
	if late > 0 {
		return broken
	}
	return held
}
