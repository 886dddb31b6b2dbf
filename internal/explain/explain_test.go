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

type closed struct{ constraints.Unconstrained }

func (closed) Name() string                               { return "closed" }
func (closed) AdmitFlow(decide.FlowID) constraints.Reason { return "after hours" }

func TestAskARunningBalancer(t *testing.T) {
	r := routing.New(routing.Config{Seed: 1, LatencyThreshold: time.Second, Constraints: []constraints.Constraint{closed{}}, Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
		b.ConfigureFlows(1, time.Second)
		b.AddService(decide.ServiceType{Effect: decide.Idempotent, Deduplication: decide.DeduplicatedByFleet, SetupTarget: time.Second, RetryWindow: time.Second, Value: 1})
		b.ConfigureSlowStart(decide.SlowStart{InitialCapacity: 1, OverloadMultiple: 1, Balancers: 1})
		return map[string]decide.ServiceID{"x": 0}, nil
	}})
	path := filepath.Join(t.TempDir(), "s")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path); err == nil {
		t.Error("a second balancer took the socket over")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		Serve(ctx, l, r, func() Process { return Process{Phase: "serving", Processes: "two"} }, nil)
		close(done)
	}()
	defer func() { cancel(); <-done }()
	if _, err := r.OpenFlow(routing.FlowRequest{ClientID: "abc", Service: "x", Group: "g", Timeout: time.Second}); err != nil {
		t.Fatal(err)
	}
	var n constraints.Explanation
	if err := Ask(path, "why abc", &n); err != nil || n.Answer != "rejected" || n.Excluded["closed: after hours"] != 1 {
		t.Errorf("%+v, %v", n, err)
	}
	var s routing.State
	if err := Ask(path, "state", &s); err != nil || s.Interventions["closed: after hours"] != 1 {
		t.Errorf("%+v, %v", s, err)
	}
	for question, want := range map[string]string{"why nobody": "nothing is known", "reboot": "want state"} {
		if err := Ask(path, question, &n); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", question, err)
		}
	}
}

func TestWhatStandsInTheWayOfASocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("%v: a file must not be removed", err)
	}
}
