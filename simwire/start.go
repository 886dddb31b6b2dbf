package simwire

import (
	"strconv"
	"strings"
	"time"

	"yardwinch/decide"
)

// spawn reads the settings, path by path, and hands each part of the module its own few.
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
	h.found = given
	in.start, in.split = h.now, map[decide.TimerMark]time.Duration{}
	in.services, in.customers = map[string]decide.ServiceID{}, map[string]decide.CustomerID{}
	in.b = decide.New(uint64(seed), in)
	b := in.b

	retryAfter := time.Duration(0)
	if h.flag("policy-limits.retry-after") {
		retryAfter = h.span("policy-limits.max-retry-after")
	}
	b.StartFlows(int(h.figure("policy-limits.max-connects", 1)), retryAfter,
		given["family-info.mode"] == "pass")
	messages := h.figures("family-info.message-aim")
	shortest := time.Duration(0)
	for i := range int(h.figure("service-types.count", 0)) {
		p := "service-types." + strconv.Itoa(i) + "."
		e, ok := effects[given[p+"effect"]]
		r, ok2 := reaches[given[p+"group"]]
		if !ok || !ok2 && e == decide.Referenced {
			return h.fault("SPAWN: unknown effect or group of %s", given[p+"name"])
		}
		in.services[given[p+"name"]] = decide.ServiceID(i)
		message := h.span(p + "setup-target")
		if i < len(messages) {
			message = time.Duration(messages[i])
		} else if len(messages) == 1 {
			message = time.Duration(messages[0])
		}
		if shortest == 0 || message < shortest {
			shortest = message
		}
		b.StartService(e, r, h.span(p+"setup-target"), h.span(p+"window"), h.figure(p+"value", 1))
	}
	b.StartCold(h.figure("guarantees.cold-from", 1), h.figure("guarantees.fall-multiple", 1),
		h.span("guarantees.warm-after"), int(h.figure("peers-total", 1)))
	b.StartHealth(h.flag("policy-limits.probes") && given["reporting.how"] == "pull",
		h.flag("policy-limits.peers"))
	b.StartPick(h.figure("tariffs.cross-zone", 0), h.figure("tariffs.moves", 0)+h.figure("tariffs.handshake", 0),
		given["weights"] != "" && given["weights"] != "silent")
	quotas := h.figures("family-info.tenant-quota-connections")
	for i := range int(h.figure("tenants.count", 0)) {
		in.customers[given["tenants."+strconv.Itoa(i)+".name"]] = decide.CustomerID(i)
		q := 0.0
		if i < len(quotas) && h.figure("beyond-share-value", 1) < 1 {
			q = quotas[i]
		}
		b.StartCustomer(q)
	}
	b.StartList(decide.Zone(given["az"]), given["discovery"] == "ask", h.span("guarantees.must-ask-in"),
		h.span("guarantees.drain-grace"), shortest)
	return h.bad
}

// figure is one number of the settings, or the value that stands where it is absent.
func (h *host) figure(path string, absent float64) float64 {
	s := h.found[path]
	if s == "" || s == "-" || s == "null" {
		return absent
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && h.bad == nil {
		h.bad = h.fault("SPAWN: %s: bad number %q", path, s)
	}
	return v
}

func (h *host) span(path string) time.Duration { return time.Duration(h.figure(path, 0)) }

func (h *host) flag(path string) bool { s := h.found[path]; return s == "true" || s == "1" }

func (h *host) figures(path string) (list []float64) {
	if s := h.found[path]; s != "" && s != "-" {
		for _, p := range strings.Split(s, ",") {
			v, err := strconv.ParseFloat(p, 64)
			if p == "null" || p == "-" || p == "" {
				v, err = 0, nil // one item of the list is not stated
			}
			if err != nil && h.bad == nil {
				h.bad = h.fault("SPAWN: %s: bad number %q", path, p)
			}
			list = append(list, v)
		}
	}
	return list
}
