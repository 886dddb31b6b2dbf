package decide

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// changingFleet is a balancer whose endpoint list changes, with the flows in the states that the test expects.
type changingFleet struct {
	*harness
	servers     int
	now         time.Duration
	flows       int
	connecting  []FlowID
	established []FlowID
}

func newChangingFleet(t *testing.T, servers int, healthChecks bool, balancers int, crossing float64) *changingFleet {
	c := &changingFleet{harness: newHarness(t, Idempotent, DeduplicatedByFleet, servers), servers: servers}
	c.balancer.ConfigureSlowStart(slowStartSettings(balancers))
	c.balancer.ConfigureHealthChecks(healthChecks)
	c.balancer.ConfigurePlacement(crossing, 0.02, true)
	c.updateList(FullUpdate, Ready, servers)
	return c
}

// step returns a step of a property test: time passes, then f is called with a random server.
func (c *changingFleet) step(f func(id ServerID)) func(*rapid.T) {
	return func(rt *rapid.T) {
		c.now += rapid.SampledFrom([]time.Duration{0, ms, 100 * ms, 3 * sec, 25 * sec}).Draw(rt, "later")
		c.setTime(c.now)
		f(ServerID(rapid.IntRange(1, c.servers).Draw(rt, "server")))
	}
}

// arrive adds one to five new flows, most of them in one of a few groups.
func (c *changingFleet) arrive(id ServerID) {
	for range 1 + id%5 {
		c.flows++
		f := FlowID(strconv.Itoa(c.flows))
		group := GroupKey("")
		if c.flows%4 > 0 {
			group = GroupKey(strconv.Itoa(c.flows * c.flows % 11))
		}
		c.targets = map[FlowID]ServerID{}
		if c.request(f, group, sec) != 0 {
			c.connecting = append(c.connecting, f)
		}
	}
}

// takeFrom removes and returns the flow of the list that draw selects.
func takeFrom(list *[]FlowID, draw ServerID) (FlowID, bool) {
	if len(*list) == 0 {
		return "", false
	}
	i := int(draw) % len(*list)
	f := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return f, true
}

func (c *changingFleet) establish(id ServerID) {
	if f, ok := takeFrom(&c.connecting, id); ok {
		c.balancer.OnEstablished(f, 10*ms)
		c.established = append(c.established, f)
	}
}

// arriveMany adds many new flows and establishes most of them.
func (c *changingFleet) arriveMany(id ServerID) {
	for range 8 {
		c.arrive(id)
	}
	for len(c.connecting) > 5 {
		c.establish(id)
	}
}

func (c *changingFleet) failAttempt(id ServerID) {
	if f, ok := takeFrom(&c.connecting, id); ok {
		c.targets = map[FlowID]ServerID{}
		c.balancer.OnEnded(f, []Outcome{Error, Full, TimedOut, Unreachable}[int(id)%4], 10*ms, false)
		if c.targets[f] != 0 {
			c.connecting = append(c.connecting, f)
		}
	}
}

func (c *changingFleet) endConnection(id ServerID) {
	if f, ok := takeFrom(&c.established, id); ok {
		c.balancer.OnEnded(f, []Outcome{OK, OK, Reset}[int(id)%3], sec, true)
	}
}

func (c *changingFleet) sampleLatency(id ServerID) {
	if len(c.established) > 0 {
		c.balancer.OnLatencySample(c.established[int(id)%len(c.established)], time.Duration(id%4)*200*ms)
	}
}

// listWithout sends a full update that omits one server.
func (c *changingFleet) listWithout(without ServerID) {
	c.balancer.BeginEndpoints(FullUpdate)
	for id := ServerID(1); id <= ServerID(c.servers); id++ {
		if id != without {
			c.listServer(id, Ready, LongAgo)
		}
	}
	c.balancer.EndEndpoints()
}

func (c *changingFleet) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"client arrives":    c.step(c.arrive),
		"mass arrival":      c.step(c.arriveMany),
		"set up one":        c.step(c.establish),
		"set up many":       c.step(func(id ServerID) { c.establish(id); c.establish(id); c.establish(id) }),
		"fails":             c.step(c.failAttempt),
		"ends":              c.step(c.endConnection),
		"late":              c.step(c.sampleLatency),
		"drains":            c.step(func(id ServerID) { c.updateServer(id, Draining, LongAgo) }),
		"goes":              c.step(func(id ServerID) { c.updateServer(id, Gone, LongAgo) }),
		"restarts":          c.step(func(id ServerID) { c.updateServer(id, Ready, c.now) }),
		"returns":           c.step(func(id ServerID) { c.updateServer(id, Ready, LongAgo) }),
		"becomes disabled":  c.step(func(id ServerID) { c.balancer.SetDisabled(id, true) }),
		"unset disabled":    c.step(func(id ServerID) { c.balancer.SetDisabled(id, false) }),
		"update whole list": c.step(c.listWithout),
		"two lists in one tick": c.step(func(id ServerID) {
			c.listWithout(id)
			c.listWithout(1 + id%ServerID(c.servers))
		}),
		"reports": c.step(func(id ServerID) { c.balancer.OnLoadReport(id, float64(id%7)/5) }),
		"tick":    c.step(func(ServerID) { c.balancer.OnTimer(tickTimer); c.endMigrating() }),
		"all warming up": c.step(func(ServerID) {
			c.balancer.BeginEndpoints(FullUpdate)
			for id := 1; id <= c.servers; id++ {
				c.listServer(ServerID(id), Ready, c.now)
			}
			c.balancer.EndEndpoints()
		}),
	}
}

// endMigrating ends the flows whose clients were asked to reconnect.
func (c *changingFleet) endMigrating() {
	for _, line := range c.performed {
		var f FlowID
		if n, _ := fmt.Sscanf(line, "move %s", &f); n == 1 {
			c.established = slices.DeleteFunc(c.established, func(other FlowID) bool { return other == f })
			c.balancer.OnEnded(f, OK, sec, true)
		}
	}
	c.performed = c.performed[:0]
}

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// checkAccounting compares the balancer's sums and indexes with a recount.
func (c *changingFleet) checkAccounting(rt fataler) {
	c.checkTallies(rt)
	c.checkFlowLists(rt)
}

func (c *changingFleet) checkTallies(rt fataler) {
	open, held := 0.0, 0
	for _, server := range c.balancer.list.all {
		if server.readiness == Ready {
			open += float64(server.openFlows)
		}
		for group, n := range server.groupTallies {
			if held++; n <= 0 || !slices.Contains(c.balancer.tallies.holders[group], server) {
				rt.Fatalf("server %d: tally of %d for group %q; want it above 0 and the server among the group's holders", server.id, n, group)
			}
		}
	}
	holders := 0
	for _, list := range c.balancer.tallies.holders {
		holders += len(list)
	}
	if held != holders || held != c.balancer.tallies.pairs {
		rt.Fatalf("%d tallies at servers, %d entries in holders, pairs is %d; want three equal numbers", held, holders, c.balancer.tallies.pairs)
	}
	if c.balancer.list.totals.openFlows != open {
		rt.Fatalf("%g flows at ready servers, the total is %g", open, c.balancer.list.totals.openFlows)
	}
}

func (c *changingFleet) checkFlowLists(rt fataler) {
	flows := &c.balancer.flows
	states := map[state]int{}
	for _, f := range flows.byID {
		states[f.state]++
		if f.state == connecting && flows.connecting[f.listIndex] != f || f.state == established && flows.established[f.listIndex] != f {
			rt.Fatalf("flow %s is not at its index in the list of its state", f.id)
		}
		if f.state == established && f.server.established[f.serverIndex] != f {
			rt.Fatalf("flow %s is not at its index in the list of its server", f.id)
		}
	}
	atServers := 0
	for _, server := range c.balancer.list.all {
		atServers += len(server.established)
	}
	if n := states[established]; n != len(flows.established) || n != atServers {
		rt.Fatalf("%d flows established, %d in the list, %d at servers; want three equal numbers", n, len(flows.established), atServers)
	}
	if n := states[connecting]; n != len(flows.connecting) {
		rt.Fatalf("%d flows connecting, %d in the list", n, len(flows.connecting))
	}
}

// checkSkippedRechecks checks that no skipped recheck could have migrated its flow: it compares the flow's cost with that
// at every server, as if the group preferred that server.
func (c *changingFleet) checkSkippedRechecks(rt fataler) (skipped, made int) {
	c.balancer.updateTotals()
	minSaving := migrationMargin + transferCostWeight*c.balancer.placement.migration
	for _, f := range c.balancer.flows.established {
		if f.server.readiness != Ready {
			continue
		}
		if !c.balancer.cannotImprove(f, minSaving) {
			made++
			continue
		}
		skipped++
		view := c.balancer.viewFor(f, c.balancer.list.ready)
		here := c.balancer.cost(f, f.server, view)
		for _, server := range c.balancer.list.ready {
			hypothetical := view
			hypothetical.preferred = server
			if server == f.server || !c.balancer.isUsable(f, server, hypothetical) || c.balancer.rank(f, server) != 0 {
				continue
			}
			if there := c.balancer.cost(f, server, hypothetical); there < here-minSaving {
				rt.Fatalf("flow %s at server %d is skipped, but costs %g less at server %d, want at most %g less",
					f.id, f.server.id, here-there, server.id, minSaving)
			}
		}
	}
	return skipped, made
}

// With short and long lists, the accounting matches a recount after any sequence of events, and a skipped recheck could
// not have migrated its flow.
func TestAccountingMatchesRecount(t *testing.T) {
	skipped, made := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		servers := rapid.SampledFrom([]int{1, 3, 20, fullScanServers + 30}).Draw(rt, "servers")
		c := newChangingFleet(t, servers, rapid.Bool().Draw(rt, "reports"), rapid.SampledFrom([]int{1, 300}).Draw(rt, "balancers"),
			rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "crossing"))
		actions := c.steps()
		actions[""] = func(rt *rapid.T) {
			c.checkAccounting(rt)
			s, m := c.checkSkippedRechecks(rt)
			skipped += s
			made += m
		}
		rt.Repeat(actions)
	})
	if skipped < 1000 || made < 1000 {
		t.Errorf("%d rechecks skipped, %d made, want at least 1000 of both", skipped, made)
	}
	t.Logf("%d rechecks skipped, %d made", skipped, made)
}

// Skipped rechecks are checked for many distributions of flows over three servers, where all flows are of one group, none
// has a group, or each has a group of its own.
func TestSkippedRechecksAtEveryLoad(t *testing.T) {
	for _, balancers := range []int{1, 300} {
		for _, grouped := range []string{"g", "", "alone"} {
			for first := range 40 {
				for second := range 12 {
					c := newChangingFleet(t, 3, false, balancers, 0)
					for i, n := range []int{first, second} {
						for k := range n {
							group := GroupKey(grouped)
							if grouped == "alone" {
								group = GroupKey(fmt.Sprint(i, k))
							}
							c.adopt(fmt.Sprint(i, "-", k, "-"), 1, group, ServerID(i+1))
						}
					}
					c.checkSkippedRechecks(t)
				}
			}
		}
	}
}
