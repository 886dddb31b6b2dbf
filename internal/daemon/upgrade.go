package daemon

import (
	"net"
	"os"
	"time"

	"yardwinch/internal/transport"
)

const (
	// For all that passes with the predecessor until this process serves: operators allow 6 s.
	takeOverTimeout = 5500 * time.Millisecond
	retryInterval   = 50 * time.Millisecond // while the predecessor can't hand over yet
	// For a directory that can't be read at the moment, before this process counts as alone.
	findTimeout           = time.Second
	requestTimeout        = 2 * time.Second        // for one reply of the other process
	claimTimeout          = 200 * time.Millisecond // for a reply for which a client waits
	usageInterval         = 100 * time.Millisecond // between reports of how many descriptors are in use
	transferRetryInterval = 100 * time.Millisecond // for connections that were established meanwhile
)

// Names of the descriptors beside the state, as they pass on the link.
const (
	clientsSocket = "clients"
	explainSocket = "explain"
)

// Kinds of messages on the link between a predecessor and its successor. All versions that run side by side have
// them in common.
const (
	messageHello           = "hello" // from the successor: may it take over
	messageGetState        = "give"  // from the successor: it requests the state and the sockets
	messageServing         = "have"  // from the successor: it serves
	messageApplyChange     = "set"   // from the successor: it decided on a change
	messageRequestChange   = "ask"   // from the predecessor: an operator called for a change there
	messageClaimID         = "claim" // from the predecessor: is an id taken
	messageTransfer        = "carry" // from the predecessor: an established connection
	messageDescriptorUsage = "held"  // from the predecessor: how many descriptors it has in use
)

// inheritance is what a predecessor handed over; empty where there is none.
type inheritance struct {
	listener        *transport.PausableListener // for clients
	explainListener net.Listener                // nil: none came, or none is configured here
	files           []*os.File                  // the descriptors as they came
}

// closeFiles closes the descriptors that came, of which each user has a copy by now.
func (i *inheritance) closeFiles() {
	for _, file := range i.files {
		_ = file.Close()
	}
}

// closeSockets closes the sockets with which this process would have served; the predecessor's stay open.
func (i *inheritance) closeSockets() {
	if i.listener != nil {
		_ = i.listener.Close()
	}
	if i.explainListener != nil {
		_ = i.explainListener.Close()
	}
}
