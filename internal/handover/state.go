package handover

import (
	"errors"
	"fmt"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/store"
)

// Version is that of the messages and of the state. A process rejects a hand-over of another version as a whole.
const Version = 1

// idHashBytes is the length of one hash in State.IDs.
const idHashBytes = 8

// State is what a process hands over so that its successor continues as the same balancer.
type State struct {
	Version int `json:"version"`

	OutOfService bool          `json:"out_of_service"`
	DrainingFor  time.Duration `json:"emptying"` // since the call to go out of service

	DiscoveryAddress string `json:"discovery"`
	Revision         int64  `json:"revision"` // of the endpoint list, at that address; -1: none
	IDsKey           []byte `json:"ids_key"`  // of the hash
	IDs              []byte `json:"ids"`      // hashes of the connections' ids that are taken, one after the other
	DescriptorsInUse int    `json:"held"`     // descriptors that the predecessor has in use

	Router routing.Snapshot `json:"memory"`
	Files  []string         `json:"files"` // the names of the descriptors beside the state, in their order
}

// Validate reports whether a state can be taken over. Of one that can't be, nothing is used. The texts of its errors
// reach the other process.
func (s *State) Validate() error {
	switch {
	case s.Version != Version:
		return fmt.Errorf("version %d, want %d", s.Version, Version)
	case s.DescriptorsInUse < 0 || s.DrainingFor < 0 || s.Revision < -1:
		return errors.New("a count below nought")
	case len(s.IDs)%idHashBytes != 0 || len(s.IDsKey) == 0:
		return errors.New("ids that are none")
	}
	for _, server := range s.Router.Servers {
		if err := store.ValidateServerID(server.Name); err != nil {
			return err
		}
	}
	return s.Router.Validate()
}

// Change is an operator's call that both processes must make.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Server string     `json:"server,omitempty"` // of Offline and Online
}

// ChangeKind says what changes; its values are those on the link.
type ChangeKind string

const (
	// Offline disables a server.
	Offline ChangeKind = "offline"
	// Online enables it again.
	Online ChangeKind = "online"
	// OutOfService drains the balancer.
	OutOfService ChangeKind = "out-of-service"
	// InService has the balancer accept clients again.
	InService ChangeKind = "in-service"
)

// Hello begins a hand-over: both processes must be of the same balancer and of the same version.
type Hello struct {
	Version int    `json:"version"`
	Listen  string `json:"listen"` // the address for clients, which names the balancer
}
