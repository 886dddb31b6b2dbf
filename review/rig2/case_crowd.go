package main

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["crowd"] = caseCrowd }

const (
	callTimeout  = 2 * time.Second // timeout_ms of bilbao-main.toml: a call that has waited so long fails
	toldAfterHup = 4 * time.Second // LATER.md: what discovery has to tell counts as told 4 s after SIGHUP
	bilbaoGrace  = time.Second     // drain_grace_ms of bilbao-main.toml
	failingCalls = 2
)

// reconfigure replaces the configuration file of a process by one with another address of discovery, and sends SIGHUP.
func (p *process) reconfigure(discovery string) {
	text, err := os.ReadFile(p.configPath)
	var config map[string]any
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	if err != nil {
		p.w.fail("%v", err)
	}
	config["discovery"] = discovery
	if text, err = json.Marshal(config); err == nil {
		if err = os.WriteFile(p.configPath+".new", text, 0o600); err == nil {
			err = os.Rename(p.configPath+".new", p.configPath)
		}
	}
	if err != nil {
		p.w.fail("%v", err)
	}
	p.signal(syscall.SIGHUP)
}

// caseCrowd moves discovery by a new configuration, to an address that is crowded: its first calls fail.
func caseCrowd(w *world) {
	servers, members := w.newFleet("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	d := w.newDiscovery(members)
	s := settings(bilbao, map[string]any{
		"discovery": "ask",
		"reporting": map[string]any{"how": "pull", "columns": []any{"errors_per_s", "backlog", "recent_ms", "x0"}},
	})
	s["guarantees"].(map[string]any)["drain-grace"] = bilbaoGrace.Nanoseconds()
	s["policy-limits"].(map[string]any)["max-connects"] = 6
	s["policy-limits"].(map[string]any)["probes"] = true
	b := w.newBalancer("n1", d.addr(), s)
	p := b.start()
	p.awaitReady(10 * time.Second)
	group := w.groupAt(b, servers[1], "estado-facturas", 3200*time.Millisecond)
	time.Sleep(1500 * time.Millisecond) // never in the process's first second
	moved := w.newDiscovery(append([]member(nil), members...))
	if w.trouble {
		moved.failing.Store(failingCalls)
		moved.failAfter = callTimeout
	}
	draining := members[1]
	draining.Phase = "DRAINING"
	moved.set(draining)
	signalled := time.Now()
	p.reconfigure(moved.addr())
	time.AfterFunc(1500*time.Millisecond, d.close) // closes the open watches
	for time.Since(signalled) < 9*time.Second {
		w.open(b.listen, "estado-facturas", 3200*time.Millisecond, ",g="+group)
		time.Sleep(100 * time.Millisecond)
	}
	limit := toldAfterHup + bilbaoGrace + timeSlack
	servers[1].mu.Lock()
	defer servers[1].mu.Unlock()
	for i, line := range servers[1].opens {
		if after := servers[1].openedAt[i].Sub(signalled); after > limit {
			w.breach("server s2, listed as draining before the SIGHUP, got %q %.3f s after it",
				strings.Join(strings.Fields(line)[:2], " "), after.Seconds())
		}
	}
}

// turnAway fails a call to a crowded discovery and reports whether it did.
func (d *discovery) turnAway(out http.ResponseWriter) bool {
	if d.failing.Add(-1) < 0 {
		return false
	}
	time.Sleep(d.failAfter)
	d.w.note("discovery turns the call away")
	out.WriteHeader(http.StatusServiceUnavailable)
	return true
}
