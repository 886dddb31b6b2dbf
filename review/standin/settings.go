package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// serviceType is one service type of the settings.
type serviceType struct {
	name, effect string
	setup, limit time.Duration
}

// deployment has the figures of a small deployment.
type deployment struct {
	services   []serviceType
	discovery  string // "push" or "ask"
	drainGrace time.Duration
	balancers  int
}

func (d deployment) settings() map[string]any {
	var services []any
	for _, s := range d.services {
		services = append(services, map[string]any{
			"name": s.name, "effect": s.effect, "group": "all", "setup-target": s.setup.Nanoseconds(),
			"hard-limit": s.limit.Nanoseconds(), "late-value": 0, "stream": true, "value": 1, "window": 5_000_000_000,
		})
	}
	return map[string]any{
		"areas": "a", "az": "a", "discovery": d.discovery, "family": "conn", "kinds": "m", "ordinal": 0,
		"peers-total": d.balancers, "weights": "rough", "service-types": services,
		"client-habits": map[string]any{"marks-retry": true},
		"family-info": map[string]any{"groups": true, "mode": "proxy", "message-aim": 250_000_000,
			"tells-load": false, "tells-delay": false},
		"guarantees": map[string]any{"answer-slack": 8_000_000, "cold-from": 0.16, "drain-grace": d.drainGrace.Nanoseconds(),
			"fall": 1_500_000_000, "fall-multiple": 3, "must-ask-in": 10_000_000_000, "warm-after": 23_000_000_000},
		"policy-limits": map[string]any{"cancel": true, "connect-timeout": 200_000_000, "keepalive": 60_000_000_000,
			"max-connects": 6, "max-retry-after": 1_000_000_000, "retry-after": true, "probes": false,
			"peers": false, "second-copies": false},
		"reporting": map[string]any{"columns": "", "how": "silent"},
	}
}

// configuration is what the platform tells a balancer.
func (d deployment) configuration(listen, control, discovery string, known list, sockets int) map[string]any {
	return map[string]any{
		"name": "n0", "listen": listen, "control": control, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", rand.Uint64()), // new with each start
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"known":  known, "settings": d.settings(),
	}
}
