package handover

import (
	"errors"
	"fmt"
	"time"

	"yardwinch/internal/routing"
)

// State is what makes two processes one balancer.
type State struct {
	Version int `json:"version"`

	OutOfService bool          `json:"out_of_service"`
	DrainingFor  time.Duration `json:"emptying"` // for how long it has been told to go out of service

	DiscoveryAddress string `json:"discovery"` // of which the revision is
	Revision         int64  `json:"revision"`
	IDsKey           []byte `json:"ids_key"`
	IDs              []byte `json:"ids"` // hashes, eight bytes each
	Connections      int    `json:"held"`

	Router routing.Snapshot `json:"memory"`
	Files  []string         `json:"files"` // what the descriptors beside it are
}

// Validate tells whether a state can be taken over. Nothing of one that can't is.
func (s *State) Validate() error {
	switch {
	case s.Version != Version:
		return fmt.Errorf("version %d, want %d", s.Version, Version)
	case s.Connections < 0 || s.DrainingFor < 0 || s.Revision < -1:
		return errors.New("a count below nought")
	case len(s.IDs)%8 != 0 || len(s.IDsKey) == 0:
		return errors.New("ids that are none")
	}
	for _, x := range s.Router.Servers {
		if err := sound(x.Name); err != nil {
			return err
		}
	}
	return s.Router.Validate()
}

// Change is what staff ask for that both processes must do.
type Change struct {
	Kind   string `json:"kind"`
	Server string `json:"server,omitempty"`
}

// Kinds of changes.
const (
	Offline      = "offline"
	Online       = "online"
	OutOfService = "out-of-service"
	InService    = "in-service"
)

// Hello begins a hand-over: both must be processes of one balancer and speak alike.
type Hello struct {
	Version int    `json:"version"`
	Listen  string `json:"listen"`
}
