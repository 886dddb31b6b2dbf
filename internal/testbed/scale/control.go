package scale

// Quantities that the sizes of a sweep can count besides the keys of its file.
const (
	byReplacements = "replacements" // members replaced in a day
	byChanges      = "changes"      // configuration changes in a day
	byFaulty       = "troubled"     // servers that every member observes as faulty
)

func init() {
	register("changes", changesSweep, sweepInput{
		against: []string{byChanges, byServers},
		keys:    []string{byServers, byBalancers},
		check:   checkBalancers,
	})
	register("cut", catchUpSweep, sweepInput{
		against: []string{byChanges},
		keys:    []string{byServers, byBalancers},
		check:   checkBalancers,
	})
	register("leases", leasesSweep, sweepInput{against: []string{byBalancers, byServers}, keys: []string{byServers, byBalancers}})
	register("lists", listsSweep, sweepInput{against: []string{byServers}, keys: []string{byRate}})
	register("members", membersSweep, sweepInput{against: []string{byBalancers}, keys: []string{byRate}})
	register("members-real", realSweep, sweepInput{
		against: []string{byBalancers},
		keys:    []string{byLength},
		check:   checkRealMembers,
	})
	register("members-replaced", replacedSweep, sweepInput{against: []string{byReplacements}, keys: []string{byBalancers}})
	register("members-zoned", zonedSweep, sweepInput{against: []string{byBalancers}})
	register("signals", signalsSweep, sweepInput{
		against: []string{byBalancers, byFaulty},
		keys:    []string{byServers, byBalancers},
		check:   checkFaultyServers,
	})
}
