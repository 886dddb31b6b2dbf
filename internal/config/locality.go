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

// Bounds and defaults of the locality options.
const (
	defaultSpillover, maxSpillover       = 0.3, 10
	defaultSurge, maxSurge               = 0, 100
	defaultFailbackRate, maxFailbackRate = 60, 1e6 // flows a minute
	defaultRetryAfter, maxRetryAfter     = 500 * time.Millisecond, time.Minute
)

// Locality is the locality section of an options file. The same file can be used for all balancers of the fleet.
type Locality struct {
	tiers        map[string][][]decide.Zone // by the zone of the balancer
	spillover    float64
	surge        float64
	failbackRate float64 // flows a minute in the whole fleet
	retryAfter   time.Duration
	zones        []string // zones with tiers, in the order of the file
}

// ReadLocality reads the table [halls]; errors are recorded in the table.
func ReadLocality(table strict.Table) Locality {
	l := Locality{tiers: map[string][][]decide.Zone{}}
	l.spillover = table.Float(keySpilloverThreshold, defaultSpillover, 0, maxSpillover)
	l.surge = table.Float(keySurge, defaultSurge, 0, maxSurge)
	l.failbackRate = table.Float(keyFailbackRate, defaultFailbackRate, 0, maxFailbackRate)
	l.retryAfter = table.Duration(keyLocalityRetryAfter, defaultRetryAfter, maxRetryAfter)
	for _, entry := range table.Tables(tableTiers) {
		l.readTiers(entry)
	}
	return l
}

// readTiers reads the tiers for the balancers of one zone.
func (l *Locality) readTiers(entry strict.Table) {
	from := entry.String(keyTiersZone, "")
	if from == "" {
		entry.Fail(keyTiersZone, "is missing")
		return
	}
	if slices.Contains(l.zones, from) {
		entry.Fail(keyTiersZone, "%q has tiers already", from)
	}
	l.zones = append(l.zones, from)
	var seen []string
	for _, names := range entry.StringLists(keyTiers) {
		var tier []decide.Zone
		for _, name := range names {
			if slices.Contains(seen, name) {
				entry.Fail(keyTiers, "names %q twice", name)
			}
			seen = append(seen, name)
			tier = append(tier, decide.Zone(name))
		}
		l.tiers[from] = append(l.tiers[from], tier)
	}
	if len(l.tiers[from]) == 0 {
		entry.Fail(keyTiers, `is missing; want lists of halls, the nearest first, such as [["a"], ["b", "c"]]`)
	}
}

// NewPolicy returns the locality policy of a balancer with the given settings; seed seeds its random generator.
func (l Locality) NewPolicy(settings Values, seed uint64) *locality.Policy {
	return locality.New(locality.Config{
		Rules:         l.rules(settings),
		Seed:          seed,
		Zone:          decide.Zone(settings.String(keyZone, "")),
		SetupTarget:   MinSetupTarget(settings),
		MessageTarget: MessageTarget(settings),
		WarmUp:        settings.Duration(keyWarmUp),
	})
}

// Apply reconfigures a running policy.
func (l Locality) Apply(policy *locality.Policy, settings Values) {
	policy.Reconfigure(l.rules(settings))
}

// rules returns the rules for a balancer with the given settings.
func (l Locality) rules(settings Values) locality.Rules {
	return locality.Rules{
		Tiers:             l.tiers[settings.String(keyZone, "")],
		Spill:             l.spillover,
		Surge:             l.surge,
		FailbackPerMinute: l.failbackRate,
		Balancers:         balancerCount(settings),
		RetryAfter:        l.retryAfter,
	}
}

// Text returns the section in the format of an options file.
func (l Locality) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\n", tableLocality)
	fmt.Fprintf(&b, "%s = %g\n", keySpilloverThreshold, l.spillover)
	fmt.Fprintf(&b, "%s = %g\n", keySurge, l.surge)
	fmt.Fprintf(&b, "%s = %g\n", keyFailbackRate, l.failbackRate)
	fmt.Fprintf(&b, "%s = %q\n", keyLocalityRetryAfter, l.retryAfter)
	for _, from := range l.zones {
		var tiers []string
		for _, tier := range l.tiers[from] {
			tiers = append(tiers, tierText(tier))
		}
		fmt.Fprintf(&b, "[[%s.%s]]\n", tableLocality, tableTiers)
		fmt.Fprintf(&b, "%s = %q\n", keyTiersZone, from)
		fmt.Fprintf(&b, "%s = [%s]\n", keyTiers, strings.Join(tiers, ", "))
	}
	return b.String()
}

func tierText(tier []decide.Zone) string {
	var names []string
	for _, zone := range tier {
		names = append(names, strconv.Quote(string(zone)))
	}
	return "[" + strings.Join(names, ", ") + "]"
}

var _ constraints.Constraint = (*locality.Policy)(nil)
