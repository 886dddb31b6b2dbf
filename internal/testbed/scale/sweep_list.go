package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"

	"yardwinch/decide"
	"yardwinch/internal/protocol"
	"yardwinch/internal/routing"
)

func init() {
	register("list", listSweep, input{against: []string{byServers}, keys: []string{byServers, byZones}})
}

const (
	listBatches = 5
	listWork    = 50_000 // servers of all lists of a batch, about
	mostLists   = 100
)

// listSweep measures what the server list costs: to take it whole, to take one change, and to hold it.
func listSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	form := seriesOf(s, "list", roleControl)
	whole := form("whole-time", "processor time of one whole list taken by the decisions", unitMicroseconds, Measured, false)
	change := form("change-time", "processor time of one change taken by the decisions", unitMicroseconds, Measured, false)
	objects := form("change-allocations", "allocations of one change taken by the decisions", unitAllocations, Measured, true)
	memory := form("memory", "live memory of the decisions that hold a list", "bytes", Measured, true)
	parsed := form("parse-time", "processor time of one whole list from its text on: discovery, routing and decisions", unitMicroseconds, Measured, false)
	garbage := form("parse-bytes", "bytes allocated to take one whole list from its text on", "bytes", Measured, true)
	routed := form("routed-memory", "live memory of routing and decisions that hold a list", "bytes", Measured, true)
	refused := ""
	for i, size := range s.Sizes {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		servers := warmServers(size, s.Zones)
		before := liveMemory()
		h := newHollow(s.Seed, terms{peers: peers})
		h.list(decide.FullUpdate, servers)
		memory.add(size, float64(liveMemory()-before))
		times := min(max(listWork/size, 1), mostLists)
		whole.add(size, microseconds(measure(listBatches, times, func() { h.list(decide.FullUpdate, servers) }).processor))
		one := measure(listBatches, times, func() { h.list(decide.DeltaUpdate, servers[:1]) })
		change.add(size, microseconds(one.processor))
		objects.add(size, one.allocations)
		runtime.KeepAlive(h)
		if err := addParsed(parsed, garbage, routed, s.Seed, servers); err != nil { //nolint:contextcheck // it parses a text, and waits for nothing
			refused = fmt.Sprintf("%d servers: %v", size, err)
		}
		progress(i+1, len(s.Sizes))
	}
	check := Check{Name: "discovery takes lists of every size", Held: refused == "", Detail: refused}
	return []Series{*whole, *change, *objects, *memory, *parsed, *garbage, *routed}, []Check{check}, nil
}

// addParsed measures a list from its text on.
func addParsed(parsed, garbage, routed *Series, seed uint64, servers []server) error {
	text, err := listText(servers)
	if err != nil {
		return err
	}
	before := liveMemory()
	discovery := protocol.NewDiscovery(hollowRouter(seed), "localhost:0", seed, false)
	if err := discovery.LoadCached(text); err != nil {
		return err
	}
	routed.add(len(servers), float64(liveMemory()-before))
	var failed error
	c := measure(listBatches, 1, func() {
		if err := discovery.LoadCached(text); err != nil {
			failed = err
		}
	})
	parsed.add(len(servers), microseconds(c.processor))
	garbage.add(len(servers), c.bytes)
	runtime.KeepAlive(discovery)
	return failed
}

// hollowRouter has the same terms as a hollow balancer.
func hollowRouter(seed uint64) *routing.Router {
	return routing.New(routing.Config{Seed: seed, LatencyThreshold: messageTarget, ServersReportLatency: true,
		Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			startHollow(b, terms{peers: peers})
			return map[string]decide.ServiceID{}, map[string]decide.CustomerID{}
		}})
}

// listText is a list as discovery tells it.
func listText(servers []server) ([]byte, error) {
	type member struct {
		ID       string  `json:"id"`
		Address  string  `json:"host_port"`
		Locality string  `json:"locality"`
		Cell     int     `json:"cell"`
		Size     float64 `json:"size"`
		Phase    string  `json:"phase"`
	}
	list := struct {
		Revision int      `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []member `json:"members"`
	}{Revision: 1, Complete: true}
	for i, s := range servers {
		list.Members = append(list.Members, member{
			ID:       fmt.Sprintf("server-%05d", i),
			Address:  fmt.Sprintf("10.%d.%d.%d:9001", i>>16&255, i>>8&255, i&255),
			Locality: string(zoneName(s.zone)),
			Cell:     s.zone,
			Size:     1,
			Phase:    "SERVING",
		})
	}
	return json.Marshal(list)
}
