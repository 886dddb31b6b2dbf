package scale

// byReplacements and byChanges are what the sizes of a sweep count beside the keys of its file.
const (
	byReplacements = "replacements" // of members, a day
	byChanges      = "changes"      // of configuration
	byTroubled     = "troubled"     // servers that all see in trouble
)

func init() {
	register("changes", changesSweep, input{against: []string{byChanges, byServers}, keys: []string{byServers, byBalancers}, check: enoughBalancers})
	register("cut", cutSweep, input{against: []string{byChanges}, keys: []string{byServers, byBalancers}, check: enoughBalancers})
	register("leases", leasesSweep, input{against: []string{byBalancers, byServers}, keys: []string{byServers, byBalancers}})
	register("lists", listsSweep, input{against: []string{byServers}, keys: []string{byRate}})
	register("members", membersSweep, input{against: []string{byBalancers}, keys: []string{byRate}})
	register("members-real", realSweep, input{against: []string{byBalancers}, keys: []string{byLength}, check: fewRealMembers})
	register("members-replaced", replacedSweep, input{against: []string{byReplacements}, keys: []string{byBalancers}})
	register("members-zoned", zonedSweep, input{against: []string{byBalancers}})
	register("signals", signalsSweep, input{against: []string{byBalancers, byTroubled}, keys: []string{byServers, byBalancers}, check: faultyServers})
}
