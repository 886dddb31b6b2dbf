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

// script is a balancer whose actions are written down; every line but timers counts.
type script struct {
	t    *testing.T
	b    *Balancer
	did  []string
	last map[FlowID]ServerID
	sent map[ServerID]int
	wait map[TimerID]time.Duration // as last asked for
}

func (s *script) note(format string, a ...any) { s.did = append(s.did, fmt.Sprintf(format, a...)) }
func (s *script) Connect(f FlowID, r ServerID, d time.Duration) {
	s.note("connect %s %d", f, r)
	s.last[f] = r
	s.sent[r]++
}
func (s *script) Cancel(f FlowID, n int)           { s.note("cancel %s %d", f, n) }
func (s *script) Reject(f FlowID, d time.Duration) { s.note("reject %s", f) }
func (s *script) Abort(f FlowID)                   { s.note("abort %s", f) }
func (s *script) Migrate(f FlowID)                 { s.note("move %s", f) }
func (s *script) HealthCheck(r ServerID)           { s.note("probe %d", r) }
func (s *script) SetTimer(m TimerID, d time.Duration) {
	if s.wait == nil {
		s.wait = map[TimerID]time.Duration{}
	}
	s.wait[m] = d
}
func (s *script) WatchEndpoints(on bool) { s.note("watch %v", on) }
func (s *script) FetchEndpoints()        { s.note("fetch") }
func (s *script) Log(l string)           { s.note("log %s", l) }

// start makes a balancer with four connects a flow, one service type and warm servers 1 to n, two a zone
// and a cell.
func start(t *testing.T, e Effect, r DeduplicationScope, n int) *script {
	s := &script{t: t, last: map[FlowID]ServerID{}, sent: map[ServerID]int{}}
	s.b = New(7, s)
	s.b.ConfigureFlows(4, 0)
	s.b.AddService(ServiceType{Effect: e, Deduplication: r, SetupTarget: 300 * ms, RetryWindow: 2 * sec, Value: 1})
	s.b.ConfigureSlowStart(SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: 1})
	s.b.ConfigureHealthChecks(false)
	s.b.ConfigurePlacement(0, 0, true)
	s.b.ConfigureEndpoints(EndpointSettings{Zone: "z0", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 100 * ms})
	s.at(0)
	s.list(CachedUpdate, Ready, n)
	return s
}

func (s *script) at(d time.Duration) { s.b.SetTime(d) }

func (s *script) list(k UpdateKind, st Readiness, n int) {
	s.b.BeginEndpoints(k)
	for i := 1; i <= n; i++ {
		s.entry(ServerID(i), st, LongAgo)
	}
	s.b.EndEndpoints()
}

func (s *script) entry(id ServerID, st Readiness, since time.Duration) {
	z := (int(id) - 1) / 2
	s.b.OnEndpoint(Endpoint{ID: id, Zone: Zone(fmt.Sprint("z", z)), Cell: CellID(z), Size: 1, Readiness: st, StartedAt: since})
}

// change brings news of one server.
func (s *script) change(id ServerID, st Readiness, since time.Duration) {
	s.b.BeginEndpoints(DeltaUpdate)
	s.entry(id, st, since)
	s.b.EndEndpoints()
}

func (s *script) flow(id FlowID, g GroupKey, left time.Duration) ServerID {
	s.b.OnFlow(FlowRequest{ID: id, Customer: NoCustomer, Group: g, Timeout: left})
	return s.last[id]
}

// held opens n connections on a server, as handed over at the start.
func (s *script) held(prefix string, n int, g GroupKey, r ServerID) {
	for i := range n {
		s.b.AdoptFlow(FlowRequest{ID: FlowID(fmt.Sprint(prefix, i)), Customer: NoCustomer, Group: g}, r)
	}
}

// rest opens one connection on each of these servers.
func (s *script) rest(from, to ServerID) {
	for r := from; r <= to; r++ {
		s.held(fmt.Sprint("r", r), 1, "", r)
	}
}

// take gives what was done since the last call, and forgets it.
func (s *script) take() string {
	d := strings.Join(s.did, ", ")
	s.did = nil
	return d
}

func (s *script) want(what string) {
	s.t.Helper()
	if got := s.take(); got != what {
		s.t.Errorf("did %q, want %q", got, what)
	}
}

func (s *script) count(word string) int { return strings.Count(s.take(), word) }

// TestMain has generated tests draw the same each time.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
