package baseline

import (
	"cmp"
	"slices"

	"yardwinch/decide"
)

// server returns the entry of a server, and creates it where there is none.
func (p *Policy) server(id decide.ServerID) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{id: id, readiness: decide.Gone}
		p.servers[id] = s
	}
	return s
}

// BeginEndpoints begins an update of the server list.
func (p *Policy) BeginEndpoints(kind decide.UpdateKind) {
	p.update = kind
	for _, s := range p.servers {
		s.listed = false
	}
}

// OnEndpoint adds one server to the update.
func (p *Policy) OnEndpoint(endpoint decide.Endpoint) {
	s := p.server(endpoint.ID)
	s.readiness, s.listed = endpoint.Readiness, true
}

// EndEndpoints applies the update.
func (p *Policy) EndEndpoints() {
	p.ready = p.ready[:0]
	for _, s := range p.servers {
		if !s.listed && p.update == decide.FullUpdate {
			s.readiness = decide.Gone
		}
		if s.readiness == decide.Ready {
			p.ready = append(p.ready, s)
		}
	}
	slices.SortFunc(p.ready, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
}
