package daemon

import (
	"log/slog"

	"yardwinch/internal/admin"
	"yardwinch/internal/explain"
	"yardwinch/internal/protocol"
)

// Descriptors that the process needs for itself, each at its most. They are reserved before clients get any: a
// crowd of idle clients would otherwise take the one for the next watch or call, and nothing says when one comes
// free. Addresses are numbers, so that no name lookup needs one.
const (
	standardDescriptors = 3 // input, output, and the log
	// The poller and its wake-up, the two files that tell the share of the core, one that is opened for a moment.
	runtimeDescriptors = 5
	clientDescriptors  = 2 // their socket, and one accepted that waits for capacity
	// The watch of the endpoint list, the one before as it closes, and one to spare.
	watchDescriptors   = 3
	fileDescriptors    = 1 // the configuration during a reload
	closingDescriptors = 8 // closed, but kept until the goroutines that wait on them have woken
	gossipDescriptors  = 8 // two that listen, and streams now and then

	// The socket for a successor, two links and one more that tries to connect, two files in the directory, and
	// copies of what is transferred.
	handoverDescriptors = 6 + 2*protocol.MaxConcurrentTransfers

	minClientDescriptors = 8 // for clients and their servers, however low the limit is
)

// descriptorsForProcess is how many descriptors this process may need for itself.
func (d *Daemon) descriptorsForProcess() int {
	n := standardDescriptors + runtimeDescriptors + clientDescriptors + watchDescriptors + fileDescriptors + closingDescriptors
	if d.healthChecks {
		n += protocol.HealthCheckDescriptors
	}
	if d.adminAddress != "" {
		n += admin.Descriptors + handoverDescriptors
	}
	if d.options.ExplainSocket() != "" {
		n += explain.Descriptors
	}
	if d.gossip != nil {
		n += gossipDescriptors
	}
	return n
}

// reserveDescriptors reserves what the process needs for itself, as far as the limit allows that beside the least
// for clients.
func (d *Daemon) reserveDescriptors() {
	d.reservedDescriptors = d.descriptorsForProcess()
	if least := d.reservedDescriptors + minClientDescriptors; d.descriptorLimit < least {
		slog.Warn("descriptor limit too low", "setting", "limits.sockets", "limit", d.descriptorLimit, "needed", least)
		d.reservedDescriptors = max(0, d.descriptorLimit-minClientDescriptors)
	}
}

// connectionDescriptors is how many descriptors are left for the connections of clients and their servers.
func (d *Daemon) connectionDescriptors() int { return d.descriptorLimit - d.reservedDescriptors }

// descriptorsInUse is how many descriptors this process has in use at most.
func (d *Daemon) descriptorsInUse() int {
	return d.descriptorBudget.MaxInUse(d.connectionDescriptors()) + d.reservedDescriptors
}
