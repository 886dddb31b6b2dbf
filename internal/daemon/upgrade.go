package daemon

import (
	"net"
	"os"
	"time"

	"yardwinch/internal/transport"
)

const (
	// takeOverTimeout is the time to find the predecessor, wait until it is ready, and receive its state. Operators allow
	// 6 s for the hand-over, until this process serves.
	takeOverTimeout       = 5500 * time.Millisecond
	takeOverRetryInterval = 50 * time.Millisecond // between attempts to take over
	// How long to retry transient system errors in the search for a predecessor, before this process starts alone.
	findTimeout           = time.Second
	requestTimeout        = 2 * time.Second        // for a reply of the other process
	claimTimeout          = 200 * time.Millisecond // for a reply that a client is waiting for
	sentReportTimeout     = 20 * time.Millisecond  // for reporting a flow that is about to be sent
	usageInterval         = 100 * time.Millisecond // between checks of how many descriptors are in use
	transferRetryInterval = 100 * time.Millisecond // between rounds of transfers; later rounds transfer the connections established meanwhile
)

// Names of the descriptors that are sent with the state.
const (
	clientsSocket = "clients"
	explainSocket = "explain"
)

// Kinds of messages on the link between a predecessor and its successor. They are part of the protocol between
// different versions.
const (
	messageHello           = "hello" // from the successor: asks whether it may take over
	messageGetState        = "give"  // from the successor: requests the state and the sockets
	messageServing         = "have"  // from the successor: it has begun to serve
	messageApplyChange     = "set"   // from the successor: a change that it decided on
	messageRequestChange   = "ask"   // from the predecessor: a change that an operator requested there
	messageClaimID         = "claim" // from the predecessor: claims a flow id
	messageSent            = "sent"  // from the successor: a flow id that it sends to a server
	messageTransfer        = "carry" // from the predecessor: transfers an established connection
	messageDescriptorUsage = "held"  // from the predecessor: number of descriptors that it has in use
)

// receivedSockets are the sockets that a predecessor handed over; empty if there is none.
type receivedSockets struct {
	listener        *transport.PausableListener // for clients
	explainListener net.Listener                // nil: none was received, or none is configured here
	files           []*os.File                  // the received descriptors
}

// closeFiles closes the received descriptors. The listeners have their own duplicates.
func (s *receivedSockets) closeFiles() {
	for _, file := range s.files {
		_ = file.Close()
	}
}

// closeSockets closes this process's duplicates of the sockets; the predecessor's stay open.
func (s *receivedSockets) closeSockets() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	if s.explainListener != nil {
		_ = s.explainListener.Close()
	}
}
