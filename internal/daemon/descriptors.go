package daemon

import (
	"log/slog"

	"yardwinch/internal/admin"
	"yardwinch/internal/explain"
	"yardwinch/internal/protocol"
)

// Maximum numbers of descriptors that the process needs for itself. They are reserved before clients get any: idle
// clients would otherwise take the descriptor that the next watch or admin call needs, and nothing signals when one
// is closed. Addresses are numeric, so that no descriptor is needed for name lookups.
const (
	standardDescriptors = 3 // stdin, stdout, stderr
	// The network poller and its event descriptor, the two files from which the CPU quota is read, and one that is open
	// briefly.
	runtimeDescriptors = 5
	clientDescriptors  = 2 // the listener, and one accepted connection that waits for capacity
	// The watch of the endpoint list, the previous watch while it closes, and one spare.
	watchDescriptors   = 3
	fileDescriptors    = 1 // the configuration during a reload
	closingDescriptors = 8 // closed, but not released before the goroutines that block on them have returned
	gossipDescriptors  = 8 // two listeners, and occasional streams

	// The hand-over socket, two links and one more process that tries to connect, two files in the directory, and
	// duplicates of the connections that are being transferred.
	handoverDescriptors = 6 + 2*protocol.MaxConcurrentTransfers

	minClientDescriptors = 8 // for connections to clients and servers, however low the limit is
)

const (
	// processMemory is what a process needs without any connection.
	processMemory = 16 << 20
	// memoryPerDescriptor is what a connection needs if its client or server stops within a long line: a full buffer, the
	// stack of its goroutine, and garbage that has not been collected.
	memoryPerDescriptor = 14 << 10
)

// descriptorsForProcess returns how many descriptors this process needs for itself at most.
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

// reserveDescriptors reserves the descriptors that the process needs for itself, or fewer if the limit would leave
// clients less than minClientDescriptors.
func (d *Daemon) reserveDescriptors() {
	d.reservedDescriptors = d.descriptorsForProcess()
	if least := d.reservedDescriptors + minClientDescriptors; d.descriptorLimit < least {
		slog.Warn("descriptor limit too low", "setting", "limits.sockets", "limit", d.descriptorLimit, "needed", least)
		d.reservedDescriptors = max(0, d.descriptorLimit-minClientDescriptors)
	}
}

// limitDescriptorsByMemory lowers the limit on descriptors to the number of connections that fit into the memory limit:
// a process that exceeds the latter is killed, with all its connections.
func (d *Daemon) limitDescriptorsByMemory() {
	forConnections := int(max(0, d.memoryLimit-processMemory) / memoryPerDescriptor)
	if most := d.reservedDescriptors + max(forConnections, minClientDescriptors); most < d.descriptorLimit {
		slog.Warn("memory limit allows fewer connections than the descriptor limit", "setting", "limits.memory_mb",
			"descriptors", d.descriptorLimit, "used", most)
		d.descriptorLimit = most
	}
}

// connectionDescriptors returns how many descriptors are left for connections to clients and servers.
func (d *Daemon) connectionDescriptors() int { return d.descriptorLimit - d.reservedDescriptors }

// descriptorsInUse returns an upper bound on the descriptors that this process has in use.
func (d *Daemon) descriptorsInUse() int {
	return d.descriptorBudget.MaxInUse(d.connectionDescriptors()) + d.reservedDescriptors
}
