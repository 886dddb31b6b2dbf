package explain

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/internal/routing"
)

// closed is a constraint that rejects all flows.
type closed struct{ constraints.Unconstrained }

func (closed) Name() string                               { return "closed" }
func (closed) AdmitFlow(decide.FlowID) constraints.Reason { return "after hours" }

func newClosedRouter() *routing.Router {
	return routing.New(routing.Config{
		Seed:             1,
		LatencyThreshold: time.Second,
		Constraints:      []constraints.Constraint{closed{}},
		Configure: func(balancer *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			balancer.ConfigureFlows(1, time.Second)
			balancer.AddService(decide.ServiceType{
				Effect:        decide.Idempotent,
				Deduplication: decide.DeduplicatedByFleet,
				SetupTarget:   time.Second,
				RetryWindow:   time.Second,
				Value:         1,
			})
			balancer.ConfigureSlowStart(decide.SlowStart{InitialCapacity: 1, OverloadMultiple: 1, Balancers: 1})
			return map[string]decide.ServiceID{"x": 0}, nil
		},
	})
}

// serveAt serves a socket until the test ends.
func serveAt(t *testing.T, path string, server Server) {
	t.Helper()
	listener, err := Listen(t.Context(), path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		server.Serve(ctx, listener)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestExplainRunningBalancer(t *testing.T) {
	const reason = "closed: after hours"
	router := newClosedRouter()
	path := filepath.Join(t.TempDir(), "s")
	serveAt(t, path, Server{Router: router, Process: func() ProcessState { return ProcessState{Phase: "serving", OtherProcess: "two"} }})
	if _, err := Listen(t.Context(), path); err == nil {
		t.Error("a second balancer replaced the socket of a running one")
	}
	if _, err := router.OpenFlow(routing.FlowRequest{ClientID: "abc", Service: "x", Group: "g", Timeout: time.Second}); err != nil {
		t.Fatal(err)
	}
	var explanation constraints.Explanation
	err := Flow(t.Context(), path, "abc", &explanation)
	if err != nil || explanation.Answer != "rejected" || explanation.Excluded[reason] != 1 {
		t.Errorf("explanation %+v, error %v; want the answer rejected, due to %q", explanation, err, reason)
	}
	var state routing.State
	if err := State(t.Context(), path, &state); err != nil || state.Interventions[reason] != 1 || state.OtherProcess != "two" {
		t.Errorf("state %+v, error %v; want one intervention %q, and the other process two", state, err, reason)
	}
}

func TestErrorResponses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	serveAt(t, path, Server{Router: newClosedRouter(), Process: func() ProcessState { return ProcessState{} }})
	for request, want := range map[string]string{
		"why nobody": errorUnknownFlow,
		"members":    errorNoMembers,
		"reboot":     errorBadRequest,
	} {
		var response any
		if err := query(t.Context(), path, request, &response); err == nil || err.Error() != want {
			t.Errorf("%s: error %v, want %s", request, err, want)
		}
	}
}

func TestSocketPathIsRegularFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(t.Context(), path); err == nil || !strings.Contains(err.Error(), "not a socket") {
		t.Errorf("error %v, want one that says that the path is not a socket", err)
	}
}
