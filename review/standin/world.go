package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	fleetSize     = 9
	upgradeReady  = 6 * time.Second // the new process says yes within this time
	upgradeEnding = 4 * time.Second // the old process has ended this long after SIGTERM
)

// usualDeployment has one service type, with the figures of the first brief.
var usualDeployment = deployment{
	services:  []serviceType{{name: "live-config", effect: "free", setup: 300 * time.Millisecond, limit: 1800 * time.Millisecond}},
	discovery: "push", drainGrace: 750 * time.Millisecond, balancers: 1,
}

// startWorld starts servers and discovery's agent.
func startWorld(r *rig, count int) ([]*server, *agent, error) {
	var servers []*server
	var members []member
	for i := range count {
		s, err := startServer(fmt.Sprintf("s%d", i), r.log)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		members = append(members, s.member())
	}
	a, err := startAgent(newCatalog(members), r.log, nil)
	return servers, a, err
}

// replace starts a second process beside the running one and, when it says yes, sends SIGTERM to the old one.
func (r *rig) replace(old *process, configuration map[string]any) (*process, error) {
	next, err := r.balancer("new", configuration)
	if err != nil {
		return nil, err
	}
	if !r.awaitReady(next, upgradeReady) {
		return nil, fmt.Errorf("the new process is not ready")
	}
	r.signal(old, syscall.SIGTERM)
	if !old.awaitEnd(upgradeEnding) {
		return nil, fmt.Errorf("the old process has not ended")
	}
	if next.call("GET", "ready") != http.StatusOK {
		return nil, fmt.Errorf("the new process is not ready any more")
	}
	return next, nil
}

// keepTalking sends a line every 2 s, as clients do, until the connection ends.
func keepTalking(r *rig, c *client) {
	defer c.ended.Store(true)
	for n := 0; ; n++ {
		if c.send("M %s %d", c.id, n) != nil {
			return
		}
		line, err := c.read(7 * time.Second)
		if err != nil || line == "MOVE" {
			c.moved.Store(line == "MOVE")
			r.log("client %s: %q, %v", c.id, line, err)
			return
		}
		time.Sleep(2 * time.Second)
	}
}
