package simulator

import (
	"time"

	"yardwinch/decide"
)

const maxListCapacity = 4096 // entries for which memory is allocated before they are read

// listEntry is one entry of a numbered list.
type listEntry struct {
	endpoint  decide.Endpoint // without StartedAt
	startedAt int64           // in nanoseconds; 0: not given
}

// readList reads a numbered list.
func (h *host) readList() error {
	number := h.requiredInteger(listField)
	count := h.requiredInteger(listCountField)
	if h.err != nil {
		return h.err
	}
	if number < 0 || number >= int64(len(h.lists)) || count < 0 {
		return h.errorf("DIRECTORY: no such list or count: %d, %d", number, count)
	}
	list := make([]listEntry, 0, min(count, maxListCapacity))
	for ; count > 0; count-- {
		ok, err := h.next()
		if err != nil {
			return err
		}
		if !ok || h.messageType() != msgListEntry {
			return h.errorf("DIRECTORY: %d entries fewer than stated", count)
		}
		list = append(list, h.readListEntry())
		if h.err != nil {
			return h.err
		}
	}
	h.lists[number] = list
	return nil
}

func (h *host) readListEntry() listEntry {
	entry := listEntry{endpoint: decide.Endpoint{Size: 1}}
	endpoint := &entry.endpoint
	endpoint.Zone = decide.Zone(h.text(entryZoneField))
	endpoint.ID = h.server(entryServerField)
	if h.text(entrySizeField) != "" {
		endpoint.Size = h.float(entrySizeField)
	}
	endpoint.Readiness = oneOf(&h.decoder, readiness, entryReadinessField)
	endpoint.Cell = decide.CellID(h.integer(entryCellField))
	entry.startedAt = h.integer(entryStartField)
	return entry
}

// relativeTo returns the endpoint of an entry, with its start time relative to the start of an instance.
func (e listEntry) relativeTo(start int64) decide.Endpoint {
	endpoint := e.endpoint
	endpoint.StartedAt = decide.LongAgo
	if e.startedAt != 0 {
		endpoint.StartedAt = time.Duration(e.startedAt - start)
	}
	return endpoint
}

// handleUpdate passes a numbered list to the balancer.
func (in *instance) handleUpdate() {
	h := in.host
	kind := oneOf(&h.decoder, updateKinds, updateKindField)
	if h.err != nil {
		return
	}
	in.balancer.BeginEndpoints(kind)
	if kind == decide.FailedUpdate {
		return
	}
	number := h.requiredInteger(updateListField)
	if h.err != nil {
		return
	}
	if number < 0 || number >= int64(len(h.lists)) || h.lists[number] == nil {
		h.err = h.errorf("UPDATE: list %d was never sent", number)
		return
	}
	for _, entry := range h.lists[number] {
		in.balancer.OnEndpoint(entry.relativeTo(in.start))
	}
	in.balancer.EndEndpoints()
}
