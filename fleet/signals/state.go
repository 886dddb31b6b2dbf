package signals

import (
	"maps"
	"slices"
	"time"

	"yardwinch/decide"
)

const maxFullState = 100 // records for a member that asks for the full state

// State is what an operator is shown: servers that others find in trouble, with who says so, and how many origins are known.
func (s *Exchange) State() any {
	s.gather()
	type server struct {
		Server    decide.ServerID `json:"id"`
		Trouble   string          `json:"what"`
		Troubled  int             `json:"say_so"`
		Healthy   int             `json:"say_well"`
		Held      int             `json:"held_by_all"`
		Penalised bool            `json:"dearer_here"`
		Origins   []Origin        `json:"origins"`
	}
	var list []server
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		c := s.servers[id]
		penalised := s.now < c.penalisedUntil
		if c.troubled == 0 && !penalised {
			continue
		}
		list = append(list, server{
			Server:    id,
			Trouble:   c.worst.String(),
			Troubled:  c.troubled,
			Healthy:   c.healthy,
			Held:      c.held,
			Penalised: penalised,
			Origins:   slices.Clone(c.origins),
		})
	}
	return map[string]any{"on": s.enabled, "servers": list, "origins": len(s.store.records)}
}

// Records is what each origin last published, and its age.
func (s *Exchange) Records() ([]Record, []time.Duration) { return s.store.All(s.now) }

// FullState is what another member that asks is sent: this balancer's own record and others', as old as they are now; of a large fleet
// those that report trouble first and a part of the rest, another one each time, so that it costs the same in any fleet.
func (s *Exchange) FullState() []Record {
	list, ages := s.store.All(s.now)
	if len(list) > maxFullState {
		list, ages = s.selection(list, ages)
	}
	if s.own.Sequence > 0 {
		list = append(list, s.own)
		ages = append(ages, s.now-s.publishedAt)
	}
	for i := range list {
		list[i].grow(ages[i])
	}
	return list
}

// grow makes the reports of a record older; the record has them for itself afterwards.
func (r *Record) grow(age time.Duration) {
	r.Reports = slices.Clone(r.Reports)
	for i := range r.Reports {
		r.Reports[i].Age += age
	}
	r.LoadReports = slices.Clone(r.LoadReports)
	for i := range r.LoadReports {
		r.LoadReports[i].Age += age
	}
}

// troubled tells whether a record reports trouble on any server.
func (r *Record) troubled() bool {
	return slices.ContainsFunc(r.Reports, func(report Report) bool { return report.Fault != Healthy })
}

// selection takes so many records as a full state may have: up to a half of them with trouble, the others from another place each time.
func (s *Exchange) selection(all []Record, allAges []time.Duration) (list []Record, ages []time.Duration) {
	s.fullStates++
	first := s.fullStates * maxFullState / 2 % len(all)
	take := func(i int) {
		list = append(list, all[i])
		ages = append(ages, allAges[i])
	}
	for i := range all {
		if all[i].troubled() && len(list) < maxFullState/2 {
			take(i)
		}
	}
	for i := range all {
		k := (first + i) % len(all)
		if !all[k].troubled() && len(list) < maxFullState {
			take(k)
		}
	}
	return list, ages
}
