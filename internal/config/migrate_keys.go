package config

import "strings"

// disposition says how a key of a configuration is treated when its balancer is migrated to another deployment.
type disposition int

const (
	carriedOver        disposition = iota // belongs to the balancer or its service: kept, unless the shape states it
	deploymentSpecific                    // valid in one deployment only: taken from the shape, or dropped
	alwaysDropped                         // belongs to the old fleet: dropped, and rejected in a shape
)

// dispositions contains every key that a configuration may have. Any other key is unknown: it is rejected in a shape,
// and dropped from an old file.
var dispositions = indexDispositions()

// dropReasons says why keys are dropped, where there is a specific reason.
var dropReasons = map[string]string{
	"known":                        "names servers of the old fleet",
	"peers":                        "not used: membership is configured in the options file",
	"peers_all":                    "not used: membership is configured in the options file",
	"peer_listen":                  "not used: membership is configured in the options file",
	"settings.policy-limits.peers": "not used: membership is configured in the options file",
	"settings.family-info.park":    "connections are terminated at the balancer",
	"settings.reporting.how":       "the shape doesn't state whether servers report their load",
	"settings.reporting.columns":   "the shape doesn't state what servers report",
	"settings.az":                  "a zone of the old deployment",
	"settings.areas":               "zones of the old deployment",
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
		deploymentSpecific: `settings.az settings.areas settings.kinds settings.stages settings.peers-total settings.ordinal
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
