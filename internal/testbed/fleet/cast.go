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

// Ends that are no names of single ones.
var groups = []string{"all", "any", "others", "servers", "any-server", "struck", "healthy", string(sockets.Discovery), string(sockets.Operator)}

func known(name string) bool {
	if slices.Contains(groups, name) {
		return true
	}
	if _, _, ok := numbers(name); ok {
		return true
	}
	word, n, ok := strings.Cut(name, ":")
	if ok && (word == "any" || word == "any-server") {
		_, err := strconv.Atoi(n)
		return err == nil
	}
	if rest, ok := strings.CutPrefix(name, "s-"); ok {
		_, err := strconv.Atoi(rest)
		return err == nil
	}
	return false
}

// numbers takes b3 and b3..5 apart.
func numbers(name string) (from, to int, ok bool) {
	rest, ok := strings.CutPrefix(name, "b")
	if !ok {
		return 0, 0, false
	}
	a, b, many := strings.Cut(rest, "..")
	if !many {
		b = a
	}
	from, err1 := strconv.Atoi(a)
	to, err2 := strconv.Atoi(b)
	return from, to, err1 == nil && err2 == nil && from >= 0 && from <= to
}

func (p *Plan) checkNames(t strict.Table, key string, list []string, names map[string]bool) {
	for _, n := range list {
		if !known(n) && !names[n] {
			t.Fail(key, "nobody is called %q", n)
		}
	}
}

// cast draws who is meant by names, for one run: the balancers and servers of a day.
type cast struct {
	r         *rand.Rand
	balancers int
	servers   int
	struck    func() []int // servers in trouble now
	named     map[string][]string
}

// ends resolves names to ends of ways. others are all balancers but those given.
func (c *cast) ends(names []string, but []string) (list []string) {
	add := func(n string) {
		if !slices.Contains(list, n) {
			list = append(list, n)
		}
	}
	balancer := func(i int) string { return string(sockets.BalancerName(simulation.BalancerID(i))) }
	server := func(i int) string { return string(sockets.ServerName(simulation.ServerID(i))) }
	for _, n := range names {
		word, count, _ := strings.Cut(n, ":")
		k, _ := strconv.Atoi(count)
		from, to, isBalancer := numbers(n)
		switch {
		case isBalancer:
			for i := from; i <= min(to, c.balancers-1); i++ {
				add(balancer(i))
			}
		case word == "all" || word == "others":
			for i := range c.balancers {
				if word == "all" || !slices.Contains(but, balancer(i)) {
					add(balancer(i))
				}
			}
		case word == "any":
			for _, i := range c.r.Perm(c.balancers)[:min(max(k, 1), c.balancers)] {
				add(balancer(i))
			}
		case word == "servers":
			for i := range c.servers {
				add(server(i))
			}
		case word == "any-server":
			for _, i := range c.r.Perm(c.servers)[:min(max(k, 1), c.servers)] {
				add(server(i))
			}
		case word == "struck":
			for _, i := range c.struck() {
				add(server(i))
			}
		case word == "healthy":
			hit := c.struck()
			for i := range c.servers {
				if !slices.Contains(hit, i) {
					add(server(i))
				}
			}
		case c.named[n] != nil:
			for _, m := range c.named[n] {
				add(m)
			}
		default:
			add(n)
		}
	}
	return list
}

func balancerOf(end string) (simulation.BalancerID, bool) {
	from, to, ok := numbers(end)
	return simulation.BalancerID(from), ok && from == to
}

func serverOf(end string) (simulation.ServerID, bool) {
	rest, ok := strings.CutPrefix(end, "s-")
	n, err := strconv.Atoi(rest)
	return simulation.ServerID(n), ok && err == nil
}
