package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	usualClients = 10
	badClients   = 8
	badLines     = 5000 // sent by all bad clients together
	badDuration  = 60 * time.Second
)

// idAfterUpgrade: the process is replaced while clients' requests are open. Then bad clients send classes that don't
// exist, and one sends the id of another client's open request.
func idAfterUpgrade(r *rig) (verdict, error) {
	servers, agent, err := startWorld(r, fleetSize)
	if err != nil {
		return failed, err
	}
	listen := freeAddress()
	known := agent.catalog.whole()
	old, err := r.balancer("old", usualDeployment.configuration(listen, freeAddress(), agent.address, known, 512))
	if err != nil {
		return failed, err
	}
	if !r.awaitReady(old, upgradeReady) {
		return failed, fmt.Errorf("the balancer is not ready")
	}
	var usual []*client
	for i := range usualClients {
		id := fmt.Sprintf("usual-%02d", i)
		c, answer, err := open(listen, id, "c=live-config,d=1800", 2500*time.Millisecond)
		if c == nil {
			return failed, fmt.Errorf("usual client %s: %q, %v", id, answer, err)
		}
		r.log("client %s: %s", id, answer)
		usual = append(usual, c)
		go keepTalking(r, c)
	}
	if r.trouble {
		if _, err := r.replace(old, usualDeployment.configuration(listen, freeAddress(), agent.address, known, 512)); err != nil {
			return failed, err
		}
	}
	r.sendUnknownClasses(listen)
	result := held
	for _, c := range usual {
		if c.ended.Load() {
			r.log("client %s is no longer connected, and not judged", c.id)
			continue
		}
		before := timesRun(servers, c.id)
		copied, answer, err := open(listen, c.id, "c=live-config,d=1800", 2500*time.Millisecond)
		r.log("bad client with the id %s of an open request: answered %q, %v; run %d times before and %d times now", c.id, answer, err,
			before, timesRun(servers, c.id))
		if copied != nil {
			copied.close()
			result = broken
		}
	}
	return result, nil
}

// sendUnknownClasses has bad clients send classes that don't exist, each again as soon as it is turned away.
func (r *rig) sendUnknownClasses(listen string) {
	var sent, answered atomic.Int64
	end := time.Now().Add(badDuration)
	var clients sync.WaitGroup
	for n := range badClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				i := sent.Add(1)
				if i > badLines {
					return
				}
				_, answer, _ := open(listen, fmt.Sprintf("bad-%d-%d", n, i), "c=none,d=1800", 3*time.Second)
				if strings.HasPrefix(answer, "ERR") || strings.HasPrefix(answer, "BUSY") {
					answered.Add(1)
				}
			}
		})
	}
	clients.Wait()
	r.log("bad clients: %d lines with a class that doesn't exist, %d answered ERR or BUSY", min(sent.Load(), badLines), answered.Load())
}

// timesRun returns how often the servers have received an id.
func timesRun(servers []*server, id string) (n int) {
	for _, s := range servers {
		s.mu.Lock()
		n += s.ids[id]
		s.mu.Unlock()
	}
	return n
}
