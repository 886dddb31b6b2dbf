package fleet

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"yardwinch/internal/simulation"
	"yardwinch/internal/strict"
	"yardwinch/internal/testbed/sockets"
)

// Names of groups of endpoints, in the words of plan files.
const (
	allBalancers   = "all"
	anyBalancers   = "any" // any:3 is three of them
	otherBalancers = "others"
	allServers     = "servers"
	anyServers     = "any-server" // any-server:3 is three of them
	faultyServers  = "struck"
	healthyServers = "healthy"
)

var groupNames = []string{allBalancers, anyBalancers, otherBalancers, allServers, anyServers, faultyServers, healthyServers,
	string(sockets.Discovery), string(sockets.Operator)}

// isKnownName tells whether a name means somebody in every plan.
func isKnownName(name string) bool {
	if _, _, ok := balancerRange(name); ok || slices.Contains(groupNames, name) {
		return true
	}
	if group, count, ok := strings.Cut(name, ":"); ok && (group == anyBalancers || group == anyServers) {
		_, err := strconv.Atoi(count)
		return err == nil
	}
	_, isServer := serverOf(name)
	return isServer
}

// balancerRange takes b3 and b3..5 apart.
func balancerRange(name string) (from, to int, ok bool) {
	numbers, ok := strings.CutPrefix(name, "b")
	if !ok {
		return 0, 0, false
	}
	first, last, isRange := strings.Cut(numbers, "..")
	if !isRange {
		last = first
	}
	from, firstErr := strconv.Atoi(first)
	to, lastErr := strconv.Atoi(last)
	return from, to, firstErr == nil && lastErr == nil && from >= 0 && from <= to
}

func (p *Plan) checkNames(t strict.Table, key string, list []string, names map[string]bool) {
	for _, name := range list {
		if !isKnownName(name) && !names[name] {
			t.Fail(key, "nobody is called %q", name)
		}
	}
}

// nameResolver draws who is meant by names, for one run.
type nameResolver struct {
	random        *rand.Rand
	balancers     int
	servers       int
	faultyServers func() []int // servers with faults now
	faultNames    map[string][]string
}

func balancerName(i int) string { return string(sockets.BalancerName(simulation.BalancerID(i))) }

func serverName(i int) string { return string(sockets.ServerName(simulation.ServerID(i))) }

// resolve turns names into endpoints, each once. The others of a group are all balancers but those given.
func (n *nameResolver) resolve(names, but []string) (endpoints []string) {
	for _, name := range names {
		for _, endpoint := range n.resolveOne(name, but) {
			if !slices.Contains(endpoints, endpoint) {
				endpoints = append(endpoints, endpoint)
			}
		}
	}
	return endpoints
}

func (n *nameResolver) resolveOne(name string, but []string) []string {
	if from, to, isRange := balancerRange(name); isRange {
		return namesFrom(from, min(to, n.balancers-1), balancerName)
	}
	group, text, _ := strings.Cut(name, ":")
	count, _ := strconv.Atoi(text) // without a number it is one
	switch group {
	case allBalancers:
		return namesFrom(0, n.balancers-1, balancerName)
	case otherBalancers:
		return slices.DeleteFunc(namesFrom(0, n.balancers-1, balancerName), func(b string) bool { return slices.Contains(but, b) })
	case anyBalancers:
		return n.draw(n.balancers, count, balancerName)
	case allServers:
		return namesFrom(0, n.servers-1, serverName)
	case anyServers:
		return n.draw(n.servers, count, serverName)
	case faultyServers:
		return namesOf(n.faultyServers(), serverName)
	case healthyServers:
		faulty := namesOf(n.faultyServers(), serverName)
		return slices.DeleteFunc(namesFrom(0, n.servers-1, serverName), func(s string) bool { return slices.Contains(faulty, s) })
	}
	if endpoints := n.faultNames[name]; endpoints != nil {
		return endpoints
	}
	return []string{name}
}

// draw draws so many of all, one at the least.
func (n *nameResolver) draw(all, count int, nameOf func(int) string) []string {
	return namesOf(n.random.Perm(all)[:min(max(count, 1), all)], nameOf)
}

func namesFrom(first, last int, nameOf func(int) string) (names []string) {
	for i := first; i <= last; i++ {
		names = append(names, nameOf(i))
	}
	return names
}

func namesOf(numbers []int, nameOf func(int) string) (names []string) {
	for _, i := range numbers {
		names = append(names, nameOf(i))
	}
	return names
}

func balancerOf(endpoint string) (simulation.BalancerID, bool) {
	from, to, ok := balancerRange(endpoint)
	return simulation.BalancerID(from), ok && from == to
}

func serverOf(endpoint string) (simulation.ServerID, bool) {
	text, ok := strings.CutPrefix(endpoint, "s-")
	number, err := strconv.Atoi(text)
	return simulation.ServerID(number), ok && err == nil
}
