package scale

import "strings"

// A report keeps the wording of the program version that wrote it, while docs/CAPACITY.md uses current terms, to which
// this file maps the stored ones. Quantities of new reports need no entry here, as the sweeps write current terms.

// inCurrentTerms returns the series with quantity, unit and subject in current terms; its name, points and origin stay as
// stored.
func (s Series) inCurrentTerms() Series {
	s.Quantity = quantityTerms.Replace(s.Quantity)
	s.Unit = currentTerm(unitTerms, s.Unit)
	s.Against = currentTerm(subjectTerms, s.Against)
	return s
}

// currentTerm returns the current term for a stored one; a stored term without an entry is current.
func currentTerm[T ~string](terms map[T]string, stored T) string {
	if current, ok := terms[stored]; ok {
		return current
	}
	return string(stored)
}

var (
	originTerms  = map[Origin]string{Calculated: "calculated"}
	unitTerms    = map[string]string{unitEvaluations: "evaluations", "sights": "observations", "tries": "attempts"}
	subjectTerms = map[string]string{byFaulty: "faulty servers"} // what sizes count
)

// quantityTerms replaces phrases of stored quantities by current ones. Of several that match at the same place, the first
// one listed is replaced.
var quantityTerms = strings.NewReplacer(
	// Changes of the list.
	"of the time a control machine sends", "share of time that a control machine is sending",
	"changes alone are told", "only changes are sent",
	"whole lists are told", "full lists are sent",
	"until all whose control machine is lost are sent what they lack by another, which each asks and tells what it has",
	"until every balancer of a lost control machine has been sent what it lacks by another that it polls with the revision held",
	"until all whose control machine is lost are sent what they lack by another, which each asks",
	"until every balancer of a lost control machine has been sent what it lacks by another that it polls",
	"and each balancer of those asks another and tells what it has", "and their balancers polling another with the revision held",
	"and each balancer of those asks another", "and their balancers polling another",
	"each told alone to the real one and twenty together to the hollow one",
	"sent one by one to the real process and in batches of twenty to the hollow balancer",
	"of twenty told together", "in a batch of twenty",
	"of a whole list, told again", "of a full list that is sent again",
	"told one by one", "sent one by one",
	"told as one object with the last word on each server", "sent as one object with the last state of each server",
	"told as a whole list", "sent as a full list",
	"a balancer that takes them", "a balancer that applies them",
	"each change told as one", "each change sent by itself",
	"reads a whole list, of 10 KB a second", "reads a full list at 10 KB a second",
	"of taking a whole list", "of applying a full list",
	"of taking one change", "of applying one change",
	"of one whole list taken by the decisions", "of one full list applied by the decisions",
	"of one change taken by the decisions", "of one change applied by the decisions",
	"of one whole list from its text on", "of parsing and applying one full list",
	"to take one whole list from its text on", "to parse and apply one full list",
	"from the telling of a change", "from sending a change",
	"from the telling of a whole list", "from sending a full list",
	"after its list was told whole several times", "after its full list was sent several times",
	"whole list", "full list",
	// Clients and flows.
	"the clients that were cut stood again", "the disconnected clients were established again",
	"clients cut off, by each balancer that is left", "clients disconnected, for each surviving balancer",
	"clients cut off", "clients disconnected",
	"the longest set-up of all that came to stand", "longest setup of an established flow",
	"connections asked to move", "connections asked to migrate",
	"tries that were rejected or aborted, by each client that was cut",
	"attempts rejected or aborted, for each disconnected client",
	"99 in 100 of them did", "99 in 100 of them were",
	"of a core in the busiest second, by each balancer, with the model round it: at most that",
	"share of a core in the busiest second, at each balancer, with the model included: an upper bound",
	"model and referee included", "model and invariant checker included",
	"where connections stand anywhere, those asked to move placed anew",
	"with connections on random servers, those asked to migrate placed again",
	"processor time at rest that held idle connections add", "processor time that held idle connections add",
	"at rest", "while idle",
	"looked at for one flow, with another decider asked", "evaluated for one flow, with another decider present",
	"looked at in one tick at rest, with another decider asked", "evaluated in one idle tick, with another decider present",
	"connections of the fullest server over the mean", "connections of the most loaded server relative to the mean",
	"its fullest server holds", "its most loaded server holds",
	"from its coming to its end", "from accept to close",
	"in pages of no file", "in anonymous pages",
	// Leases.
	"held for the duties", "memory of the leases",
	"scores reckoned once the members changed", "scores calculated after a membership change",
	"of seeing whose all duties are, once the members changed", "of determining all lease holders after a membership change",
	"the busiest member probes for all", "the busiest member checks on behalf of all",
	"a member probes for all", "a member checks on behalf of all",
	"members that probe one server for all at a time", "members that check one server on behalf of all at a time",
	"the loads that were probed for all", "the loads checked on behalf of all",
	"of the loads that a member probed for all, told by its record",
	"share of the loads that a member checked on behalf of all that its record publishes",
	"of a load when it is told again, at the least", "of a load when it is published again, at least",
	// Membership engine and gossip.
	"as probes and answers, with what travels on them", "as pings and acks, with piggybacked messages",
	"were gossip cut down: gossip, probes and exchanges", "with reduced gossip: gossip, pings and exchanges",
	"gossip, probes and exchanges", "gossip, pings and exchanges",
	"in exchanges of all members", "in full state exchanges",
	"to those that join, in exchanges of all", "to those that join, in full state exchanges",
	"takes a living member as gone", "declares a live member dead",
	"a real engine and its stand-in", "a real engine and the stand-in for its balancer",
	"news of members gone or alive, heard by a member, repeats too",
	"messages about dead or live members received by a member, duplicates included",
	"heard by a member that were news", "received by a member that were new",
	"heard by a member", "received by a member",
	"every member that it heard of", "every member that it learned of",
	"of the others have a record within 5 s of its telling", "share of the others that have a record within 5 s of its publication",
	"of the others in the group have a record within 5 s of its telling",
	"share of the others in the group that have a record within 5 s of its publication",
	"once it has joined, with what it has to pass on", "once it has joined, with the messages to be passed on",
	"for telling the deciders who is alive", "for passing the live members to the deciders",
	"that a member hears", "that a member receives",
	// Signals.
	"of a record as it is told", "size of a published record",
	"held of what a balancer itself sees", "memory of a balancer's own observations",
	"held of what others tell", "memory of what others publish",
	"records of others that are kept", "retained records of others",
	"sights walked each time that what all say is brought together", "observations visited by each merge of all records",
	"of bringing together what all say", "of merging all records",
	"the same as often as it may be, 20 times a second", "the same at the highest rate, 20 times a second",
	"of seeing what is to be told, 4 times a second", "of determining what to publish, 4 times a second",
	"of writing all for a member that asks, each 2 s", "of writing all records for a member that asks, every 2 s",
	"of the servers in trouble that a balancer without", "share of the faulty servers that a balancer without",
	"of a record heard", "of a received record",
	" sights", " observations",
)
