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

// Names of groups of endpoints in plan files.
const (
	allBalancers   = "all"
	anyBalancers   = "any" // any:3 stands for three random balancers
	otherBalancers = "others"
	allServers     = "servers"
	anyServers     = "any-server" // any-server:3 stands for three random servers
	faultyServers  = "struck"
	healthyServers = "healthy"
)

var groupNames = []string{allBalancers, anyBalancers, otherBalancers, allServers, anyServers, faultyServers, healthyServers,
	string(sockets.DiscoveryEndpoint), string(sockets.OperatorEndpoint)}

// isKnownName reports whether a name is valid in every plan, unlike names of faults.
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

// balancerRange parses b3 and b3..5.
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
			t.Fail(key, "no endpoint or fault is named %q", name)
		}
	}
}

// nameResolver resolves names of plan files into endpoints, for one run. Members of random groups are drawn at each use.
type nameResolver struct {
	random        *rand.Rand
	balancers     int
	servers       int
	faultyServers func() []int        // servers with faults now
	faultNames    map[string][]string // targets of named faults
}

func balancerName(i int) string { return string(sockets.BalancerEndpoint(simulation.BalancerID(i))) }

func serverName(i int) string { return string(sockets.ServerEndpoint(simulation.ServerID(i))) }

// resolve returns the endpoints that names stand for, each once. The name others stands for all balancers but the excluded ones.
func (n *nameResolver) resolve(names, excluded []string) (endpoints []string) {
	for _, name := range names {
		for _, endpoint := range n.resolveOne(name, excluded) {
			if !slices.Contains(endpoints, endpoint) {
				endpoints = append(endpoints, endpoint)
			}
		}
	}
	return endpoints
}

func (n *nameResolver) resolveOne(name string, excluded []string) []string {
	if from, to, isRange := balancerRange(name); isRange {
		return namesFrom(from, min(to, n.balancers-1), balancerName)
	}
	group, countText, _ := strings.Cut(name, ":")
	count, _ := strconv.Atoi(countText) // 0 if there is no number; drawNames then draws one
	switch group {
	case allBalancers:
		return namesFrom(0, n.balancers-1, balancerName)
	case otherBalancers:
		return slices.DeleteFunc(namesFrom(0, n.balancers-1, balancerName), func(b string) bool { return slices.Contains(excluded, b) })
	case anyBalancers:
		return n.drawNames(n.balancers, count, balancerName)
	case allServers:
		return namesFrom(0, n.servers-1, serverName)
	case anyServers:
		return n.drawNames(n.servers, count, serverName)
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

// drawNames draws count of total endpoints, at least one.
func (n *nameResolver) drawNames(total, count int, nameOf func(int) string) []string {
	return namesOf(n.random.Perm(total)[:min(max(count, 1), total)], nameOf)
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
