package handover

import (
	"encoding/json"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
)

func validState() State {
	return State{Version: Version, IDHashKey: []byte{1}, IDHashes: make([]byte, 2*idHashBytes), Revision: 3, Router: routing.Snapshot{
		Servers:   []routing.EndpointSnapshot{{Name: "a"}},
		Decisions: decide.Snapshot{Now: time.Second, Servers: []decide.ServerSnapshot{{Size: 1}}},
	}}
}

func TestValidateState(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*State)
		valid  bool
	}{
		{"valid", func(*State) {}, true},
		{"a later version", func(s *State) { s.Version++ }, false},
		{"truncated ids", func(s *State) { s.IDHashes = s.IDHashes[:idHashBytes+1] }, false},
		{"no key", func(s *State) { s.IDHashKey = nil }, false},
		{"negative descriptors", func(s *State) { s.DescriptorsInUse = -1 }, false},
		{"a server without a name", func(s *State) { s.Router.Servers[0].Name = "" }, false},
		{"missing servers", func(s *State) { s.Router.Servers = nil }, false},
		{"an unknown endpoint state", func(s *State) { s.Router.Decisions.Servers[0].Readiness = 7 }, false},
		{"a negative count", func(s *State) { s.Router.Decisions.Servers[0].BudgetSpent = -1 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := validState()
			c.change(&s)
			if err := s.Validate(); (err == nil) != c.valid {
				t.Errorf("Validate: %v", err)
			}
		})
	}
}

func FuzzState(f *testing.F) {
	text, err := json.Marshal(validState())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var s State
		if json.Unmarshal(text, &s) == nil && s.Validate() == nil {
			configure := func(*decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) { return nil, nil }
			router := routing.New(routing.Config{Seed: 1, LatencyThreshold: time.Second, Configure: configure})
			router.Restore(s.Router) // must not panic for a valid state
		}
	})
}
