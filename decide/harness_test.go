package decide

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

const ms, sec = time.Millisecond, time.Second

// harness is a Balancer whose actions are recorded as text. The hashes in recordedRuns depend on this text.
type harness struct {
	t          *testing.T
	balancer   *Balancer
	performed  []string                  // all actions except timers
	targets    map[FlowID]ServerID       // of the last attempt of each flow
	attemptsTo map[ServerID]int          // number of attempts
	timers     map[TimerID]time.Duration // as last set
}

func (s *harness) record(format string, a ...any) {
	s.performed = append(s.performed, fmt.Sprintf(format, a...))
}
func (s *harness) Connect(f FlowID, server ServerID, _ time.Duration) {
	s.record("connect %s %d", f, server)
	s.targets[f] = server
	s.attemptsTo[server]++
}
func (s *harness) Reject(f FlowID, _ time.Duration) { s.record("reject %s", f) }
func (s *harness) Abort(f FlowID)                   { s.record("abort %s", f) }
func (s *harness) Migrate(f FlowID)                 { s.record("move %s", f) }
func (s *harness) HealthCheck(server ServerID)      { s.record("probe %d", server) }
func (s *harness) SetTimer(m TimerID, d time.Duration) {
	if s.timers == nil {
		s.timers = map[TimerID]time.Duration{}
	}
	s.timers[m] = d
}
func (s *harness) WatchEndpoints(on bool) { s.record("watch %v", on) }

// newHarness returns a balancer with four attempts per flow, one service type and the given number of warm servers, two
// in each zone and cell. Their IDs start at 1.
func newHarness(t *testing.T, effect Effect, deduplication DeduplicationScope, servers int) *harness {
	s := &harness{t: t, targets: map[FlowID]ServerID{}, attemptsTo: map[ServerID]int{}}
	s.balancer = New(7, s)
	s.balancer.ConfigureFlows(4, 0)
	s.balancer.AddService(serviceType(effect, deduplication))
	s.balancer.ConfigureSlowStart(slowStartSettings(1))
	s.balancer.ConfigureHealthChecks(false)
	s.balancer.ConfigurePlacement(0, 0, true)
	s.balancer.ConfigureEndpoints(EndpointSettings{Zone: "z0", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 100 * ms})
	s.setTime(0)
	s.updateList(CachedUpdate, Ready, servers)
	return s
}

// serviceType returns the service type of all tests.
func serviceType(effect Effect, deduplication DeduplicationScope) ServiceType {
	return ServiceType{Effect: effect, Deduplication: deduplication, SetupTarget: 300 * ms, RetryWindow: 2 * sec, Value: 1}
}

// slowStartSettings returns the slow-start settings of most tests.
func slowStartSettings(balancers int) SlowStart {
	return SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: balancers}
}

func (s *harness) setTime(d time.Duration) { s.balancer.SetTime(d) }

func (s *harness) updateList(kind UpdateKind, readiness Readiness, servers int) {
	s.balancer.BeginEndpoints(kind)
	for i := 1; i <= servers; i++ {
		s.listServer(ServerID(i), readiness, LongAgo)
	}
	s.balancer.EndEndpoints()
}

func (s *harness) listServer(id ServerID, readiness Readiness, startedAt time.Duration) {
	place := (int(id) - 1) / 2
	s.balancer.OnEndpoint(Endpoint{
		ID:        id,
		Zone:      Zone(fmt.Sprint("z", place)),
		Cell:      CellID(place),
		Size:      1,
		Readiness: readiness,
		StartedAt: startedAt,
	})
}

// updateServer updates one server in the list.
func (s *harness) updateServer(id ServerID, readiness Readiness, startedAt time.Duration) {
	s.balancer.BeginEndpoints(DeltaUpdate)
	s.listServer(id, readiness, startedAt)
	s.balancer.EndEndpoints()
}

// request adds a new flow and returns the server of its attempt.
func (s *harness) request(id FlowID, group GroupKey, timeout time.Duration) ServerID {
	s.balancer.OnFlow(FlowRequest{ID: id, Customer: NoCustomer, Group: group, Timeout: timeout})
	return s.targets[id]
}

// adopt adds n established flows at a server.
func (s *harness) adopt(prefix string, n int, group GroupKey, server ServerID) {
	for i := range n {
		s.balancer.AdoptFlow(FlowRequest{ID: FlowID(fmt.Sprint(prefix, i)), Customer: NoCustomer, Group: group}, server)
	}
}

// adoptEach adds one established flow at each of the servers. The one at server 2 is r20.
func (s *harness) adoptEach(from, to ServerID) {
	for server := from; server <= to; server++ {
		s.adopt(fmt.Sprint("r", server), 1, "", server)
	}
}

// takeActions returns the actions since the last call.
func (s *harness) takeActions() string {
	actions := strings.Join(s.performed, ", ")
	s.performed = nil
	return actions
}

func (s *harness) expect(want string) {
	s.t.Helper()
	if got := s.takeActions(); got != want {
		s.t.Errorf("actions %q, want %q", got, want)
	}
}

func (s *harness) countActions(action string) int { return strings.Count(s.takeActions(), action) }

// TestMain fixes the seed of property tests, so that they draw the same values in each run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
