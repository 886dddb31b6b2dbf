package simulator

import (
	"time"

	"yardwinch/decide"
)

func (h *host) directory() error {
	ref, n := h.needWhole(1), h.needWhole(2)
	if h.bad != nil {
		return h.bad
	}
	if ref < 0 || ref >= int64(len(h.lists)) || n < 0 {
		return h.fault("DIRECTORY: no such list or count: %d, %d", ref, n)
	}
	list := make([]entry, 0, min(n, 4096))
	for ; n > 0; n-- {
		ok, err := h.read()
		if err != nil {
			return err
		}
		if !ok || h.f[0] != "SERVER" {
			return h.fault("DIRECTORY: %d entries fewer than stated", n)
		}
		size, zone, server := 1.0, decide.Zone(h.str(2)), h.server(3)
		if h.str(1) != "" {
			size = h.real(1)
		}
		st, cell, since := word(h, readiness, 4), decide.CellID(h.whole(6)), h.whole(7)
		if h.bad != nil {
			return h.bad
		}
		list = append(list, func(in *instance) {
			age := decide.LongAgo
			if since != 0 {
				age = time.Duration(since - in.start)
			}
			in.b.OnEndpoint(decide.Endpoint{ID: server, Zone: zone, Cell: cell, Size: size, Readiness: st, StartedAt: age})
		})
	}
	h.lists[ref] = list
	return nil
}

func (in *instance) update() error {
	h := in.h
	k := word(h, listKinds, 1)
	if h.bad != nil {
		return h.bad
	}
	in.b.BeginEndpoints(k)
	if k == decide.FailedUpdate {
		return nil
	}
	ref := h.needWhole(3)
	if h.bad != nil {
		return h.bad
	}
	if ref < 0 || ref >= int64(len(h.lists)) || h.lists[ref] == nil {
		return h.fault("UPDATE: list %d was never sent", ref)
	}
	for _, e := range h.lists[ref] {
		e(in)
	}
	in.b.EndEndpoints()
	return nil
}
