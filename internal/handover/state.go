package handover

import (
	"errors"
	"fmt"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/store"
)

// Version is the version of the messages and of the state. A process rejects a hand-over of any other version.
const Version = 1

// idHashBytes is the length of one hash in State.IDHashes.
const idHashBytes = 8

// State is what a process hands over so that its successor continues as the same balancer.
type State struct {
	Version int `json:"version"`

	OutOfService bool          `json:"out_of_service"`
	DrainingFor  time.Duration `json:"emptying"` // since the call to go out of service

	DiscoveryAddress string `json:"discovery"`
	Revision         int64  `json:"revision"`           // of the endpoint list from that address; -1: none
	IDHashKey        []byte `json:"ids_key"`            // key of the hash function for the ids
	IDHashes         []byte `json:"ids"`                // concatenated hashes of the flow ids in use
	OpenIDHashes     []byte `json:"ids_open,omitempty"` // those of IDHashes whose flows are open; earlier builds don't send them
	DescriptorsInUse int    `json:"held"`               // number of descriptors that the predecessor has in use

	Router          routing.Snapshot `json:"memory"`
	DescriptorNames []string         `json:"files"` // names of the descriptors sent with the state, in order
}

// Validate returns nil if a state can be taken over. No part of an invalid state may be used.
func (s *State) Validate() error {
	switch {
	case s.Version != Version:
		return fmt.Errorf("version %d, want %d", s.Version, Version)
	case s.DescriptorsInUse < 0 || s.DrainingFor < 0 || s.Revision < -1:
		return errors.New("negative count")
	case len(s.IDHashes)%idHashBytes != 0 || len(s.OpenIDHashes)%idHashBytes != 0 || len(s.IDHashKey) == 0:
		return errors.New("malformed connection ids")
	}
	for _, server := range s.Router.Servers {
		if err := store.ValidateServerID(server.Name); err != nil {
			return err
		}
	}
	return s.Router.Validate()
}

// Change is an operator's call that both processes must apply.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Server string     `json:"server,omitempty"` // set for Offline and Online
}

// ChangeKind is the kind of a Change. Its values are sent on the link.
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

// Hello is the first message of a hand-over: both processes must belong to the same balancer and have the same version.
type Hello struct {
	Version       int    `json:"version"`
	ListenAddress string `json:"listen"` // the address for clients, which identifies the balancer
}
