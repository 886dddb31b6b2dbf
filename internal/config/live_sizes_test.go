package config

import (
	"fmt"
	"testing"
	"time"

	"yardwinch/decide"
)

// attemptCounter counts the attempts at each server.
type attemptCounter struct {
	noopActions
	attempts map[decide.ServerID]int
}

func (c attemptCounter) Connect(_ decide.FlowID, server decide.ServerID, _ time.Duration) {
	c.attempts[server]++
}
func (attemptCounter) Reject(decide.FlowID, time.Duration) {}
func (attemptCounter) Migrate(decide.FlowID)               {}

// Guards against a server that restarts and is pushed over because the list shows it many times larger than the servers
// in use: a live size is the capacity divided by 1 + flows per core.
func TestLiveSizesAreNoCapacities(t *testing.T) {
	const (
		servers        = 12
		restarted      = decide.ServerID(servers)
		flowsPerServer = 76
		// The budget of the restarted server in 1.5 s, in which its capacity share rises from 0.16 to 0.215: a random
		// part of one attempt, and 3 * 76 * (0.215 * 0.215 - 0.16 * 0.16) / 1.68 = 2.8.
		coldAttempts = 3
	)
	for _, weights := range []string{weightsLive, weightsUnstated} {
		t.Run(weights, func(t *testing.T) {
			settings, err := fromJSON(fmt.Appendf(nil, `{"az":"z","weights":%q,"peers-total":3,
				"guarantees":{"cold-from":0.16,"fall-multiple":3.0,"warm-after":23000000000},
				"policy-limits":{"max-connects":4},
				"service-types":[{"name":"a","effect":"free","setup-target":300000000}]}`, weights))
			if err != nil {
				t.Fatal(err)
			}
			counter := attemptCounter{attempts: map[decide.ServerID]int{}}
			balancer := decide.New(1, counter)
			ConfigureBalancer(settings, balancer)
			list := func(id decide.ServerID, size float64, startedAt time.Duration) {
				balancer.OnEndpoint(decide.Endpoint{ID: id, Zone: "z", Size: size, StartedAt: startedAt})
			}
			balancer.BeginEndpoints(decide.FullUpdate)
			for id := decide.ServerID(1); id <= servers; id++ {
				list(id, 0.1, decide.LongAgo)
			}
			balancer.EndEndpoints()
			for id := decide.ServerID(1); id < restarted; id++ {
				for i := range flowsPerServer {
					request := decide.FlowRequest{ID: decide.FlowID(fmt.Sprint("held", id, "-", i)), Customer: decide.NoCustomer}
					balancer.AdoptFlow(request, id)
				}
			}
			balancer.BeginEndpoints(decide.DeltaUpdate)
			list(restarted, 2.4, 0)
			balancer.EndEndpoints()
			for i := range 30 {
				balancer.SetTime(time.Duration(i) * 50 * time.Millisecond)
				id := decide.FlowID(fmt.Sprint("new", i))
				balancer.OnFlow(decide.FlowRequest{ID: id, Customer: decide.NoCustomer, Timeout: time.Second})
				balancer.OnEstablished(id, time.Millisecond)
			}
			if got := counter.attempts[restarted]; got > coldAttempts {
				t.Errorf("%d attempts at the restarted server in 1.5 s, want at most %d", got, coldAttempts)
			}
		})
	}
}
