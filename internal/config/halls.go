package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/internal/strict"
	"yardwinch/locality"
)

// Locality is what an operators' file says of halls, read and checked; it makes the decider of any balancer.
type Locality struct {
	tiers       map[string][][]decide.Zone // by the hall that a balancer is in
	spill       float64
	surge       float64
	homeward    float64
	again       time.Duration
	namedInFile []string
}

// ReadLocality takes the table [halls].
func ReadLocality(t strict.Table) Locality {
	h := Locality{tiers: map[string][][]decide.Zone{}}
	h.spill = t.Float("spill", 0.3, 0, 10)
	h.surge = t.Float("surge", 0, 0, 100)
	h.homeward = t.Float("home-per-minute", 60, 0, 1e6)
	h.again = t.Duration("again", 500*time.Millisecond, time.Minute)
	for _, x := range t.Tables("from") {
		hall := x.String("hall", "")
		if hall == "" {
			x.Fail("hall", "is missing")
			continue
		}
		if slices.Contains(h.namedInFile, hall) {
			x.Fail("hall", "%q has an order already", hall)
		}
		h.namedInFile = append(h.namedInFile, hall)
		var seen []string
		for _, tier := range x.Lists("tiers") {
			var zones []decide.Zone
			for _, z := range tier {
				if slices.Contains(seen, z) {
					x.Fail("tiers", "names %q twice", z)
				}
				seen = append(seen, z)
				zones = append(zones, decide.Zone(z))
			}
			h.tiers[hall] = append(h.tiers[hall], zones)
		}
		if len(h.tiers[hall]) == 0 {
			x.Fail("tiers", `is missing; want lists of halls, the nearest first, such as [["a"], ["b", "c"]]`)
		}
	}
	return h
}

// MinSetupTarget is the set-up target that is shortest of all service types.
func MinSetupTarget(g Values) (target time.Duration) {
	for i := range int(g.Float("service-types.count", 0)) {
		if t := g.Sub("service-types." + strconv.Itoa(i)).Duration("setup-target"); target == 0 || t < target {
			target = t
		}
	}
	return target
}

// NewPolicy makes that of a balancer that is told g and draws chance from seed.
func (h Locality) NewPolicy(g Values, seed uint64) *locality.Policy {
	own := g.String("az", "")
	return locality.New(locality.Config{
		Rules:         h.rules(own, g),
		Seed:          seed,
		Zone:          decide.Zone(own),
		SetupTarget:   MinSetupTarget(g),
		MessageTarget: MessageTarget(g),
		WarmUp:        g.Duration("guarantees.warm-after"),
	})
}

// Apply brings a decider that runs to what a newer file says.
func (h Locality) Apply(d *locality.Policy, g Values) {
	d.Reconfigure(h.rules(g.String("az", ""), g))
}

func (h Locality) rules(own string, g Values) locality.Rules {
	return locality.Rules{
		Tiers:             h.tiers[own],
		Spill:             h.spill,
		Surge:             h.surge,
		FailbackPerMinute: h.homeward,
		Balancers:         int(g.Float("peers-total", 1)),
		RetryAfter:        h.again,
	}
}

// Text is the table as an operators' file says it.
func (h Locality) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[halls]\nspill = %g\nsurge = %g\nhome-per-minute = %g\nagain = %q\n", h.spill, h.surge, h.homeward, h.again)
	for _, hall := range h.namedInFile {
		var tiers []string
		for _, t := range h.tiers[hall] {
			var zones []string
			for _, z := range t {
				zones = append(zones, strconv.Quote(string(z)))
			}
			tiers = append(tiers, "["+strings.Join(zones, ", ")+"]")
		}
		fmt.Fprintf(&b, "[[halls.from]]\nhall = %q\ntiers = [%s]\n", hall, strings.Join(tiers, ", "))
	}
	return b.String()
}

var _ constraints.Constraint = (*locality.Policy)(nil)
