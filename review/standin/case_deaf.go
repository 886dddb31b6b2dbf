package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const rounds = 5 // of asking

// deafAfterAbortedUpgrade: a new process is started beside the running one and ended by SIGTERM; the old one serves on.
func deafAfterAbortedUpgrade(r *rig) (verdict, error) {
	_, agent, err := startWorld(r, fleetSize)
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
	if r.ask(listen, "before") != 2 {
		return failed, fmt.Errorf("no answer before the upgrade")
	}
	next, err := r.balancer("new", usualDeployment.configuration(listen, freeAddress(), agent.address, known, 512))
	if err != nil {
		return failed, err
	}
	if !r.awaitReady(next, upgradeReady) {
		return failed, fmt.Errorf("the new process is not ready")
	}
	serving := next
	if r.trouble {
		r.signal(next, syscall.SIGTERM)
		serving = old
		if !next.awaitEnd(upgradeEnding) {
			return failed, fmt.Errorf("the new process has not ended")
		}
	} else {
		r.signal(old, syscall.SIGTERM)
		if !old.awaitEnd(upgradeEnding) {
			return failed, fmt.Errorf("the old process has not ended")
		}
	}
	if !r.awaitReady(serving, 10*time.Second) {
		return broken, nil
	}
	answered := r.askOften(listen, "after")
	saysReady := serving.call("GET", "ready") == http.StatusOK
	r.log("%s says that it is ready: %v", serving.name, saysReady)
	if !r.trouble || answered > 0 || !saysReady {
		return held, nil
	}
	// Not judged: whether another upgrade helps.
	third, err := r.balancer("third", usualDeployment.configuration(listen, freeAddress(), agent.address, known, 512))
	if err == nil && r.awaitReady(third, upgradeReady) {
		r.signal(old, syscall.SIGTERM)
		old.awaitEnd(upgradeEnding)
		r.askOften(listen, "third")
	}
	return broken, nil
}

// askOften asks several times, and returns how many PINGs and OPENs were answered.
func (r *rig) askOften(listen, id string) (answered int) {
	for i := range rounds {
		answered += r.ask(listen, fmt.Sprintf("%s-%d", id, i))
	}
	r.log("%d of %d answered", answered, 2*rounds)
	return answered
}

// ask sends a PING and an OPEN on new connections, and returns how many of the two were answered.
func (r *rig) ask(listen, id string) (answered int) {
	const limit = 2 * time.Second
	c, err := dialClient(listen, id, limit)
	line := ""
	if err == nil {
		_ = c.send("PING")
		line, err = c.read(limit)
		c.close()
	}
	r.log("PING: %q, %v", line, err)
	if line != "" {
		answered++
	}
	c, line, err = open(listen, id, "c=live-config,d=1800", limit)
	r.log("OPEN %s: %q, %v", id, line, err)
	if line != "" {
		answered++
	}
	if c != nil {
		c.close()
	}
	return answered
}
