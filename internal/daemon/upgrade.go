package daemon

import (
	"net"
	"os"
	"sync"
	"time"

	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
	"yardwinch/internal/transport"
)

const (
	// The socket where others find this process, two links and one more that knocks, two opened in the folder, and copies of what is passed on.
	handoverDescriptors = 6 + 2*protocol.MaxConcurrentTransfers
	takeOverTimeout     = 5500 * time.Millisecond // for all that passes with the predecessor until this process serves: a new one has 6 s
	retryInterval       = 50 * time.Millisecond   // while the predecessor can't hand over yet
	findTimeout         = time.Second             // for a folder that can't be read for a moment, before this process counts as alone
	requestTimeout      = 2 * time.Second         // for one answer of the other process
	claimTimeout        = 200 * time.Millisecond  // for an answer on which a client waits
	usageInterval       = 100 * time.Millisecond  // between looks at how many descriptors are in use
	resendInterval      = 100 * time.Millisecond  // for connections that came to stand meanwhile
)

// Names of the descriptors that go beside the state.
const (
	clientsSocket = "clients"
	explainSocket = "explain"
)

// Kinds of messages between two processes. Versions of this program that run side by side have them in common.
const (
	messageHello           = "hello" // from the successor: may it take over
	messageGetState        = "give"  // from the successor: it asks for the state and the sockets
	messageServing         = "have"  // from the successor: it serves
	messageApplyChange     = "set"   // from the successor: it made a change
	messageRequestChange   = "ask"   // from the predecessor: a change that was called for there
	messageClaimID         = "claim" // from the predecessor: may it use an id
	messageTransfer        = "carry" // from the predecessor: a standing connection
	messageDescriptorUsage = "held"  // from the predecessor: how many descriptors it has in use
)

// Processes that share the limit of memory.
const (
	oneProcess    = 1
	bothProcesses = 2
)

// handoverLinks is what a process has of its predecessor, from which it takes over, and of its successor, which takes over from it.
type handoverLinks struct {
	directory           *handover.Directory // nil: this process is alone
	disabled            *disabledStore      // nil with the folder
	reservedDescriptors int                 // kept from clients
	startedOnce         sync.Once           // closes up

	changing    sync.Mutex     // one change after another, and none while the state is passed on
	predecessor *handover.Link // nil: none lives
	successor   *handover.Link // nil: none has taken over
	relisten    chan struct{}  // the socket where others find this process is another's by now
}

// inherited is what the predecessor handed over; nothing where there is none.
type inherited struct {
	listener  *transport.PausableListener
	explainer net.Listener
	files     []*os.File
}

// closeFiles gives back the descriptors that came, of which each user has its own copy by now.
func (i *inherited) closeFiles() {
	for _, file := range i.files {
		_ = file.Close()
	}
}

// closeSockets closes what this process would have served with; the predecessor's stay open.
func (i *inherited) closeSockets() {
	if i.listener != nil {
		_ = i.listener.Close()
	}
	if i.explainer != nil {
		_ = i.explainer.Close()
	}
}

// usedDescriptors is how many descriptors this process has in use.
func (p *Daemon) usedDescriptors() int {
	return p.descriptorBudget.MaxInUse(p.descriptorLimit-p.reservedDescriptors) + p.reservedDescriptors
}

// outOfService tells whether this balancer was told to go out of service.
func (p *Daemon) outOfService() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.drainingSince.IsZero()
}

// phaseWithoutSuccessor is the phase of a process that serves, or that serves again.
func (p *Daemon) phaseWithoutSuccessor() phase {
	if p.outOfService() {
		return draining
	}
	return serving
}
