package constraints

import (
	"time"

	"yardwinch/decide"
)

// listing is the last entry of a server in the endpoint list, and whether operators have disabled it.
type listing struct {
	size      float64
	readiness decide.Readiness
	startedAt time.Duration
	disabled  bool
}

// BeginEndpoints begins an update of the endpoint list. OnEndpoint adds its entries, and EndEndpoints ends it.
func (b *ConstrainedBalancer) BeginEndpoints(kind decide.UpdateKind) { b.balancer.BeginEndpoints(kind) }

// OnEndpoint handles one entry of an update.
func (b *ConstrainedBalancer) OnEndpoint(endpoint decide.Endpoint) {
	b.zones[endpoint.ID] = endpoint.Zone
	b.listed[endpoint.ID] = listing{
		size:      endpoint.Size,
		readiness: endpoint.Readiness,
		startedAt: endpoint.StartedAt,
		disabled:  b.listed[endpoint.ID].disabled,
	}
	b.notifyEndpoint(endpoint.ID)
	b.balancer.OnEndpoint(endpoint)
}

// notifyEndpoint passes the entry of a server to the constraints as decide sees it: a disabled server is never ready, and
// its size is its capacity.
func (b *ConstrainedBalancer) notifyEndpoint(server decide.ServerID) {
	entry := b.listed[server]
	if entry.disabled {
		entry.readiness = max(entry.readiness, decide.Draining)
	}
	endpoint := decide.Endpoint{
		ID:        server,
		Zone:      b.zones[server],
		Size:      b.balancer.CapacitySize(entry.size),
		Readiness: entry.readiness,
		StartedAt: entry.startedAt,
	}
	for _, constraint := range b.constraints {
		constraint.OnEndpoint(endpoint)
	}
}

// notifyEndpointsUpdated notifies the constraints of the end of an update.
func (b *ConstrainedBalancer) notifyEndpointsUpdated() {
	for _, constraint := range b.constraints {
		constraint.OnEndpointsUpdated()
	}
}

// SetDisabled disables a server administratively or enables it again, whatever the endpoint list says.
func (b *ConstrainedBalancer) SetDisabled(server decide.ServerID, disabled bool) {
	if entry, ok := b.listed[server]; ok && entry.disabled != disabled {
		entry.disabled = disabled
		if !disabled {
			entry.startedAt = b.now // so that the server returns with slow start
		}
		b.listed[server] = entry
		b.notifyEndpoint(server)
		b.notifyEndpointsUpdated()
	}
	b.balancer.SetDisabled(server, disabled)
}

// EndEndpoints ends an update of the endpoint list.
func (b *ConstrainedBalancer) EndEndpoints() {
	b.notifyEndpointsUpdated()
	b.balancer.EndEndpoints()
}

// Snapshot returns the state of the wrapped decide.Balancer.
func (b *ConstrainedBalancer) Snapshot() decide.Snapshot { return b.balancer.Snapshot() }

// Restore continues from the snapshot of another instance. The constraints are given the endpoint list of the
// snapshot, and learn everything else from new events.
func (b *ConstrainedBalancer) Restore(snapshot decide.Snapshot) {
	for _, known := range snapshot.Servers {
		b.zones[known.ID] = known.Zone
		b.listed[known.ID] = listing{
			size:      known.Size,
			readiness: known.Readiness,
			startedAt: known.StartedAt,
			disabled:  known.Disabled,
		}
		b.notifyEndpoint(known.ID)
	}
	b.notifyEndpointsUpdated()
	b.balancer.Restore(snapshot)
}
