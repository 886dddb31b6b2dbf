package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/internal/config"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/baseline"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/virtual"
)

const maxAddedServers = 4096 // servers that a day may add, which sizes the table of server IDs

// effects maps values in settings to the effects of a second run.
var effects = map[string]decide.Effect{"free": decide.Idempotent, "guarded": decide.IdempotentByKey, "single_shot": decide.NotIdempotent}

// NewDeciders returns the function that creates a policy's deciders for a day. It fails for an unknown policy.
func NewDeciders(d *experiment.Day, policy string) (virtual.NewDecider, error) {
	switch policy {
	case experiment.Ours:
		return newOwnDeciders(d), nil
	case experiment.OursWithLocalities:
		return newLocalityDeciders(d), nil
	case experiment.OursWithSignals:
		return newSignalDeciders(d), nil
	}
	rule := baseline.Rules[policy]
	if rule == nil {
		return nil, fmt.Errorf("unknown policy %q; want one of %s", policy, strings.Join(experiment.Policies, ", "))
	}
	return newBaselineDeciders(d, rule, policy == experiment.Omniscient), nil
}

func newOwnDeciders(d *experiment.Day) virtual.NewDecider {
	return func(seed uint64, b simulation.BalancerID, act decide.Actions) virtual.Decider {
		decider := decide.New(seed, act)
		config.ConfigureBalancer(config.FromPairs(d.Settings(b)), decider)
		return decider
	}
}

func newLocalityDeciders(d *experiment.Day) virtual.NewDecider {
	return func(seed uint64, b simulation.BalancerID, act decide.Actions) virtual.Decider {
		settings := config.FromPairs(d.Settings(b))
		return newConstrainedDecider(seed, act, d.Experiment.Locality.NewPolicy(settings, seed), settings)
	}
}

func newConstrainedDecider(seed uint64, act decide.Actions, constraint constraints.Constraint, settings config.Values) virtual.Decider {
	configure := func(decider *decide.Balancer) { config.ConfigureBalancer(settings, decider) }
	return constraints.New(seed, act, []constraints.Constraint{constraint}, configure)
}

func newBaselineDeciders(d *experiment.Day, rule baseline.Rule, isOmniscient bool) virtual.NewDecider {
	ids := virtual.ServerIDs(len(d.World.Servers) + maxAddedServers)
	c := baseline.Config{Rule: rule, MaxConnects: d.Experiment.Limits().MaxConnects, RetryAfter: d.Experiment.RetryAfter(),
		ServerOf: func(id decide.ServerID) *simulation.Server { return d.World.Servers[ids[id]] }, GroupOf: groupOf}
	for _, s := range d.World.Services {
		c.Effects = append(c.Effects, effects[s.Effect])
	}
	if isOmniscient {
		c.World = d.World
	}
	return func(seed uint64, _ simulation.BalancerID, act decide.Actions) virtual.Decider {
		return baseline.New(c, seed, act)
	}
}

// groupOf returns the group for a key made by experiment.GroupName.
func groupOf(key decide.GroupKey) simulation.GroupID {
	number, err := strconv.Atoi(strings.TrimPrefix(string(key), "g-"))
	if err != nil {
		return simulation.NoGroup
	}
	return simulation.GroupID(number)
}
