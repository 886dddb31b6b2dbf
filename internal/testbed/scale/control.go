package scale

// Quantities that the sizes of a sweep can count, in addition to those that are keys of an experiment file.
const (
	byReplacements = "replacements" // members replaced in a day
	byChanges      = "changes"      // configuration changes in a day
	byFaulty       = "troubled"     // servers that every member observes as faulty
)

func init() {
	register("changes", changesSweep, sweepInput{
		against: []string{byChanges, keyServers},
		keys:    []string{keyServers, keyBalancers},
		check:   checkBalancers,
	})
	register("cut", catchUpSweep, sweepInput{
		against: []string{byChanges},
		keys:    []string{keyServers, keyBalancers},
		check:   checkBalancers,
	})
	register("leases", leasesSweep, sweepInput{against: []string{keyBalancers, keyServers}, keys: []string{keyServers, keyBalancers}})
	register("lists", listsSweep, sweepInput{against: []string{keyServers}, keys: []string{keyRate}})
	register("members", membersSweep, sweepInput{against: []string{keyBalancers}, keys: []string{keyRate}})
	register("members-real", realMembersSweep, sweepInput{
		against: []string{keyBalancers},
		keys:    []string{keyLength},
		check:   checkRealMembers,
	})
	register("members-replaced", replacedSweep, sweepInput{against: []string{byReplacements}, keys: []string{keyBalancers}})
	register("members-zoned", zonedSweep, sweepInput{against: []string{keyBalancers}})
	register("signals", signalsSweep, sweepInput{
		against: []string{keyBalancers, byFaulty},
		keys:    []string{keyServers, keyBalancers},
		check:   checkFaultyServers,
	})
}
