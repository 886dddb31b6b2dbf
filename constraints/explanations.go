package constraints

import (
	"slices"

	"yardwinch/decide"
)

const (
	maxExplanations      = 4096 // flows, the most recent ones
	maxExplainedAttempts = 8    // per flow
	maxExplainedCosts    = 8    // per flow
)

// The values of Explanation.Answer.
const (
	answeredEstablished = "established"
	answeredRejected    = "rejected"
	answeredAborted     = "aborted"
	answeredClientLeft  = "the client left"
	answeredBeforeStart = "stood before the start"
)

// reasonExtraCost is the reason under which extra costs are counted.
const reasonExtraCost Reason = "dearer"

// Explanation records why a flow was placed at its server, or rejected or aborted.
type Explanation struct {
	Flow       decide.FlowID   `json:"flow"`
	Name       string          `json:"name,omitempty"` // given by its client
	ArrivedAt  float64         `json:"came_s"`
	Group      decide.GroupKey `json:"group,omitempty"`
	Attempts   []Attempt       `json:"connects"`
	Answer     string          `json:"answer"`
	Migrated   bool            `json:"moved,omitempty"`
	ExtraCosts []ExtraCost     `json:"dearer,omitempty"`
	Excluded   map[string]int  `json:"barred,omitempty"` // reasons, with the number of objections for each
}

// Attempt is one attempt of a flow.
type Attempt struct {
	Server  decide.ServerID `json:"server"`
	Name    string          `json:"name,omitempty"` // of the server
	Zone    decide.Zone     `json:"zone"`
	At      float64         `json:"at_s"`
	Outcome string          `json:"ended,omitempty"`
}

// ExtraCost is a server to which a constraint gave an extra cost.
type ExtraCost struct {
	Server decide.ServerID `json:"server"`
	Name   string          `json:"name,omitempty"` // of the server
	Reason string          `json:"why"`
}

// Explainer is a constraint that can say why it adds an extra cost. It is asked at most once per flow and
// server.
type Explainer interface{ ExplainCost(decide.ServerID) string }

func (e *Explanation) addAttempt(attempt Attempt) {
	if len(e.Attempts) < maxExplainedAttempts {
		e.Attempts = append(e.Attempts, attempt)
	}
}

func (e *Explanation) endAttempt(outcome decide.Outcome) {
	if n := len(e.Attempts); n > 0 {
		e.Attempts[n-1].Outcome = outcome.String()
	}
}

func (e *Explanation) addExclusion(constraint string, why Reason) {
	if e.Excluded == nil {
		e.Excluded = map[string]int{}
	}
	e.Excluded[constraint+": "+string(why)]++
}

func (e *Explanation) hasExtraCost(server decide.ServerID) bool {
	return slices.ContainsFunc(e.ExtraCosts, func(cost ExtraCost) bool { return cost.Server == server })
}

// explanationRing holds the explanations of the most recent flows.
type explanationRing struct {
	entries []*Explanation
	oldest  int // index of the oldest entry, once the ring is full
}

func (r *explanationRing) add(explanation *Explanation) {
	if len(r.entries) < maxExplanations {
		r.entries = append(r.entries, explanation)
		return
	}
	r.entries[r.oldest] = explanation
	r.oldest = (r.oldest + 1) % maxExplanations
}

// find returns the newest explanation of a flow with this ID or name.
func (r *explanationRing) find(idOrName string) *Explanation {
	for i := range r.entries {
		explanation := r.entries[(r.oldest+len(r.entries)-1-i)%len(r.entries)]
		if explanation.Name == idOrName || string(explanation.Flow) == idOrName {
			return explanation
		}
	}
	return nil
}

// recordExtraCost records that a constraint added a cost to a server for a flow that is not placed yet.
func (b *ConstrainedBalancer) recordExtraCost(id decide.FlowID, server decide.ServerID, constraint Constraint) {
	explainer, ok := constraint.(Explainer)
	flow := b.flows[id]
	if !ok || flow == nil || flow.isOutstanding {
		return
	}
	explanation := flow.explanation
	if len(explanation.ExtraCosts) >= maxExplainedCosts || explanation.hasExtraCost(server) {
		return
	}
	b.interventions[interventionKey{constraint.Name(), reasonExtraCost}]++
	explanation.ExtraCosts = append(explanation.ExtraCosts,
		ExtraCost{Server: server, Reason: constraint.Name() + ": " + explainer.ExplainCost(server)})
}

// recordObjection records that a constraint objected.
func (b *ConstrainedBalancer) recordObjection(id decide.FlowID, constraint Constraint, why Reason) {
	b.interventions[interventionKey{constraint.Name(), why}]++
	if flow := b.flows[id]; flow != nil && !flow.isEstablished {
		flow.explanation.addExclusion(constraint.Name(), why)
	}
}

// recordAnswer records the final answer of a flow.
func (b *ConstrainedBalancer) recordAnswer(id decide.FlowID, answer string) {
	flow := b.flows[id]
	if flow == nil {
		return
	}
	flow.explanation.Answer = answer
	if !flow.isOutstanding {
		b.remove(id)
	}
}

// Interventions returns how often each constraint intervened, by its name and reason.
func (b *ConstrainedBalancer) Interventions() map[string]int {
	all := map[string]int{}
	for key, n := range b.interventions {
		all[key.constraint+": "+string(key.reason)] += n
	}
	return all
}

// States returns the states of the constraints by their names, as operators are shown them.
func (b *ConstrainedBalancer) States() map[string]any {
	all := map[string]any{}
	for _, constraint := range b.constraints {
		all[constraint.Name()] = constraint.State()
	}
	return all
}

// Explain returns the explanation of a flow, by its ID or the name given by its client; the newest if several match.
func (b *ConstrainedBalancer) Explain(idOrName string) (Explanation, bool) {
	found := b.explanations.find(idOrName)
	if found == nil {
		return Explanation{}, false
	}
	explanation := *found
	explanation.Attempts = slices.Clone(found.Attempts)
	explanation.ExtraCosts = slices.Clone(found.ExtraCosts)
	return explanation, true
}
