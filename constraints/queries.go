package constraints

import (
	"time"

	"yardwinch/decide"
)

// queries implements decide.Constraints: it queries the constraints in order, and records objections and extra costs.
type queries struct{ *ConstrainedBalancer }

func (q queries) ServerCost(id decide.FlowID, server decide.ServerID) (extra float64, ok bool) {
	for _, constraint := range q.constraints {
		cost, why := constraint.ServerCost(id, server)
		if why != "" {
			q.recordObjection(id, constraint, why)
			return 0, false
		}
		extra += cost
		if cost > 0 {
			q.recordExtraCost(id, server, constraint)
		}
	}
	return extra, true
}

func (q queries) AdmitFlow(id decide.FlowID) bool {
	return q.allAllow(id, Constraint.AdmitFlow)
}

func (q queries) RetryAfter(id decide.FlowID, preset time.Duration) time.Duration {
	if len(q.constraints) == 0 {
		return preset
	}
	after := time.Duration(0)
	for _, constraint := range q.constraints {
		after = max(after, constraint.RetryAfter(id, preset))
	}
	return after
}

func (q queries) AllowMigration(id decide.FlowID) bool {
	return q.allAllow(id, Constraint.AllowMigration)
}

// allAllow reports whether no constraint objects, and records the first that does.
func (q queries) allAllow(id decide.FlowID, query func(Constraint, decide.FlowID) Reason) bool {
	for _, constraint := range q.constraints {
		if why := query(constraint, id); why != "" {
			q.recordObjection(id, constraint, why)
			return false
		}
	}
	return true
}

func (q queries) MigrateFirst() (first []decide.FlowID) {
	for _, constraint := range q.constraints {
		first = append(first, constraint.MigrateFirst()...)
	}
	return first
}
