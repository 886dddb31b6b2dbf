package daemon

import (
	"time"

	"yardwinch/fleet/lease"
	"yardwinch/fleet/signals"
	"yardwinch/internal/membership"
)

// MemberView is what this balancer knows about one member of the group.
type MemberView struct {
	membership.Member
	Build         string  `json:"build,omitempty"`
	Settings      string  `json:"settings,omitempty"` // a digest
	Incarnation   uint64  `json:"incarnation,omitempty"`
	RecordAge     float64 `json:"told_s_ago"` // seconds since its last record was published; negative: none was received
	FlowRate      float64 `json:"flows_a_second"`
	FaultyServers int     `json:"servers_in_trouble"`
}

// MembersView is what this balancer knows about all members of the group.
type MembersView struct {
	Name    string         `json:"name"`
	Members []MemberView   `json:"members"`
	Leases  []lease.Status `json:"duties,omitempty"`
	Dropped map[string]int `json:"passed_over,omitempty"` // messages, by reason
}

// membersView returns the function with which explain answers a query for the members; nil if there is no exchange
// between balancers.
func (g *gossip) membersView() func() any {
	if g == nil {
		return nil
	}
	return func() any { return g.viewMembers() }
}

// publishedRecord is the last record of a balancer, and its age.
type publishedRecord struct {
	signals.Record
	age time.Duration
}

func (g *gossip) viewMembers() MembersView {
	view := MembersView{Name: g.name}
	published := map[string]publishedRecord{}
	g.router.WithLock(func() {
		if g.leases != nil {
			view.Leases = g.leases.Statuses()
		}
		published[g.name] = publishedRecord{Record: g.signals.OwnRecord()}
		records, ages := g.signals.Records()
		for i, record := range records {
			published[string(record.Origin)] = publishedRecord{Record: record, age: ages[i]}
		}
	})
	view.Dropped = g.group.Dropped()
	for _, member := range g.group.Members() {
		m := MemberView{Member: member, RecordAge: -1}
		if record, ok := published[string(member.Name)]; ok {
			m.setRecord(record)
		}
		view.Members = append(view.Members, m)
	}
	return view
}

func (m *MemberView) setRecord(record publishedRecord) {
	m.RecordAge = record.age.Seconds()
	m.Build = record.Build
	m.Settings = record.Settings
	m.Incarnation = uint64(record.Incarnation)
	m.FlowRate = record.Rate
	for _, report := range record.Reports {
		if report.Fault != signals.Healthy {
			m.FaultyServers++
		}
	}
}
