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
	register("list", listSweep, sweepInput{against: []string{keyServers}, keys: []string{keyServers, keyZones}})
}

const (
	listBatches     = 5
	serversPerBatch = 50_000 // approximate total over the lists of a batch
	maxLists        = 100    // in a batch
)

// listSweep measures the server list: applying a full list, applying one change, and the memory of a list.
func listSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	newSeries := seriesFactory(s, "list", roleControl)
	fullListTime := newSeries(seriesKind{
		name: "whole-time", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time of one full list applied by the decisions",
	})
	change := newSeries(seriesKind{
		name: "change-time", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time of one change applied by the decisions",
	})
	objects := newSeries(seriesKind{
		name: "change-allocations", unit: unitAllocations, origin: Measured, counted: true,
		quantity: "allocations of one change applied by the decisions",
	})
	memory := newSeries(seriesKind{
		name: "memory", unit: "bytes", origin: Measured, counted: true,
		quantity: "live memory of the decisions that hold a list",
	})
	parsed := newSeries(seriesKind{
		name: "parse-time", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time of parsing and applying one full list: discovery, routing and decisions",
	})
	garbage := newSeries(seriesKind{
		name: "parse-bytes", unit: "bytes", origin: Measured, counted: true,
		quantity: "bytes allocated to parse and apply one full list",
	})
	routed := newSeries(seriesKind{
		name: "routed-memory", unit: "bytes", origin: Measured, counted: true,
		quantity: "live memory of routing and decisions that hold a list",
	})
	rejected := ""
	for i, size := range s.Sizes {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		servers := warmServers(size, s.Zones)
		before := liveMemory()
		h := newSimulatedBalancer(s.Seed, simulatedSettings{peers: defaultPeers})
		h.updateList(decide.FullUpdate, servers)
		memory.addPoint(size, float64(liveMemory()-before))
		times := min(max(serversPerBatch/size, 1), maxLists)
		fullListTime.addPoint(size, microseconds(measure(listBatches, times, func() { h.updateList(decide.FullUpdate, servers) }).processor))
		changeCost := measure(listBatches, times, func() { h.updateList(decide.DeltaUpdate, servers[:1]) })
		change.addPoint(size, microseconds(changeCost.processor))
		objects.addPoint(size, changeCost.allocations)
		runtime.KeepAlive(h)
		//nolint:contextcheck // a cached list is applied before there is a context
		if err := measureParsing(parsed, garbage, routed, s.Seed, servers); err != nil {
			rejected = fmt.Sprintf("%d servers: %v", size, err)
		}
		progress(i+1, len(s.Sizes))
	}
	check := Check{Name: "discovery takes lists of every size", Passed: rejected == "", Detail: rejected}
	return []Series{*fullListTime, *change, *objects, *memory, *parsed, *garbage, *routed}, []Check{check}, nil
}

// measureParsing measures parsing and applying a list, as discovery receives it.
func measureParsing(parsed, garbage, routed *Series, seed uint64, servers []listedServer) error {
	text, err := listText(servers)
	if err != nil {
		return err
	}
	before := liveMemory()
	discovery := protocol.NewDiscovery(newSimulatedRouter(seed), "localhost:0", seed, false)
	if err := discovery.LoadCached(text); err != nil {
		return err
	}
	routed.addPoint(len(servers), float64(liveMemory()-before))
	var failed error
	c := measure(listBatches, 1, func() {
		if err := discovery.LoadCached(text); err != nil {
			failed = err
		}
	})
	parsed.addPoint(len(servers), microseconds(c.processor))
	garbage.addPoint(len(servers), c.bytes)
	runtime.KeepAlive(discovery)
	return failed
}

// newSimulatedRouter returns a router with the settings of a simulated balancer.
func newSimulatedRouter(seed uint64) *routing.Router {
	return routing.New(routing.Config{
		Seed:                 seed,
		LatencyThreshold:     messageTarget,
		ServersReportLatency: true,
		Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			configureSimulatedBalancer(b, simulatedSettings{peers: defaultPeers})
			return map[string]decide.ServiceID{}, map[string]decide.CustomerID{}
		},
	})
}

// listText encodes a list as discovery does.
func listText(servers []listedServer) ([]byte, error) {
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
