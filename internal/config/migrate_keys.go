package config

import "strings"

// disposition is what becomes of a key of a configuration when its balancer moves to a deployment of another shape.
type disposition int

const (
	carriedOver   disposition = iota // of this balancer or its service: kept, unless the shape states it
	ofOnePlace                       // true of one place alone: from the shape, or dropped
	alwaysDropped                    // of the old fleet: dropped, and refused in a shape
)

// dispositions has every key that a configuration may hold. Any other key is unknown: refused in a shape, dropped
// from an old file.
var dispositions = indexDispositions()

// reasons says why a key is dropped.
var reasons = map[string]string{
	"known":                        "names servers of the old fleet",
	"peers":                        "balancers send each other nothing any more",
	"peers_all":                    "balancers send each other nothing any more",
	"peer_listen":                  "balancers send each other nothing any more",
	"settings.policy-limits.peers": "balancers send each other nothing any more",
	"settings.family-info.park":    "connections end at the balancer",
	"settings.reporting.how":       "the shape doesn't say whether servers report their load there",
	"settings.reporting.columns":   "the shape doesn't say what servers report there",
	"settings.az":                  "a zone of the old place",
	"settings.areas":               "zones of the old place",
}

func indexDispositions() map[string]disposition {
	byKey := map[string]disposition{}
	for d, keys := range map[disposition]string{
		carriedOver: `name listen discovery control seed limits.cores limits.memory_mb limits.sockets
			settings.service-types settings.service-types[].name settings.service-types[].effect
			settings.service-types[].group settings.service-types[].hard-limit settings.service-types[].setup-target
			settings.service-types[].aim-stretch settings.service-types[].late-value settings.service-types[].stream
			settings.service-types[].window settings.service-types[].value settings.tenants settings.tenants[].name
			settings.tenants[].quota-per-s settings.tenants[].share settings.beyond-share-value settings.value-per settings.family
			settings.client-habits.marks-retry settings.family-info.groups settings.family-info.hint settings.family-info.notes
			settings.family-info.message-aim settings.family-info.mode settings.period settings.tier
			settings.policy-limits.cancel settings.policy-limits.connect-timeout settings.policy-limits.cpu-us-per-request
			settings.policy-limits.cpu-us-per-s settings.policy-limits.keepalive settings.policy-limits.max-connects
			settings.policy-limits.max-open settings.policy-limits.max-retry-after settings.policy-limits.max-streams
			settings.policy-limits.probes settings.policy-limits.retry-after settings.policy-limits.second-copies
			settings.guarantees.answer-slack settings.guarantees.cold-from settings.guarantees.drain-grace
			settings.guarantees.fall settings.guarantees.fall-multiple settings.guarantees.must-ask-in
			settings.guarantees.warm-after settings.goal.whole settings.goal.worst-class settings.goal.worst-tenant
			settings.goal.worst-window settings.goal.nines-part settings.goal.top-nines
			settings.tariffs.connection settings.tariffs.cross-zone settings.tariffs.discovery settings.tariffs.handshake
			settings.tariffs.late-fail settings.tariffs.moves settings.tariffs.origin settings.tariffs.peer
			settings.tariffs.probe settings.tariffs.waste settings.tariffs.fleet`,
		ofOnePlace: `settings.az settings.areas settings.kinds settings.stages settings.peers-total settings.ordinal
			settings.discovery settings.weights settings.reporting.how settings.reporting.columns
			settings.family-info.report-x0 settings.family-info.report-x1 settings.family-info.tells-load
			settings.family-info.tells-delay settings.family-info.tenant-quota-connections`,
		alwaysDropped: `known peers peers_all peer_listen settings.policy-limits.peers settings.family-info.park`,
	} {
		for _, key := range strings.Fields(keys) {
			byKey[key] = d
		}
	}
	return byKey
}
