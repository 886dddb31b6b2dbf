package simulator

import (
	"strings"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/config"
)

// spawn starts an instance with its settings, path by path.
func (in *instance) spawn() error {
	h := in.h
	seed := h.needWhole(1)
	given := make(map[string]string, len(h.f))
	for _, p := range h.f[min(2, len(h.f)):] {
		if path, v, ok := strings.Cut(p, "="); ok {
			given[path] = v
		} else if p != "-" {
			return h.fault("SPAWN: no path=value pair: %q", p)
		}
	}
	in.start, in.split = h.now, map[decide.TimerID]time.Duration{}
	in.b = decide.New(uint64(seed), in)
	g := config.FromPairs(given)
	in.services, in.customers = config.ConfigureBalancer(g, in.b)
	if err := g.Err(); err != nil && h.bad == nil {
		h.bad = h.fault("SPAWN: %v", err)
	}
	return h.bad
}
