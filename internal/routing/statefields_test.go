package routing

import (
	"reflect"
	"testing"

	"yardwinch/internal/statefields"
)

const (
	setting    = "a setting, which the successor reads itself"
	byFlows    = "follows from the flows, which are handed over with their connections"
	byServers  = "follows from the servers that are handed over"
	ownNumber  = "a number for use in this process alone"
	unanswered = "of flows that are not established; they stay with the process that accepted them"
	synced     = "how goroutines of this process are synchronised"
	measured   = "round trips are measured anew within roundTripMaxAge; for how long a line waits is handed over"
	classified = "a series of samples is recognised anew by its second sample, a second later"
)

// handedOverFields says what becomes of each field of the state in a hand-over.
var handedOverFields = map[reflect.Type]statefields.Fields{
	reflect.TypeFor[Router](): {
		HandedOver: []string{"balancer", "startedAt", "servers", "hasEndpoints", "latency"},
		NotHanded: map[string]string{
			"checkPending":      synced,
			"earlierTimer":      synced,
			"mu":                synced,
			"constrained":       "the same balancer",
			"timers":            "set anew by the successor's balancer",
			"services":          setting,
			"customers":         setting,
			"flows":             byFlows,
			"lastFlowID":        ownNumber,
			"serverIDs":         byServers,
			"serverOrder":       byServers,
			"lastContact":       "the hand-over counts as one, so that a start that is listed later counts as no earlier than that",
			"pendingChecks":     "requested again, as the balancer has no result",
			"healthCheckFilter": "belongs to this process's membership",
		},
	},
	reflect.TypeFor[server](): {
		HandedOver: []string{"name", "addr", "reportedStart", "startedAt", "isListedReady", "isDisabled"},
		NotHanded: map[string]string{
			"index":          ownNumber,
			"checkIsPending": "see Router.pendingChecks",
			"isLateSuspect":  measured,
			"roundTrips":     measured,
			"metrics":        classified,
			"established":    byFlows,
		},
	},
	reflect.TypeFor[Flow](): {
		HandedOver: []string{"server", "awaitingSince", "lastRequestAt"},
		NotHanded: map[string]string{
			"router":           "the successor's own",
			"id":               ownNumber,
			"decisions":        unanswered,
			"attemptStartedAt": unanswered,
			"adopted":          "was applied to awaitingSince and lastRequestAt",
			"adopt":            unanswered,
			"isMigrating":      "a flow whose client was asked to reconnect is not handed over",
			"onMigrate":        "set anew with the connection",
			"isAnswered":       "true for an established flow",
			"isEstablished":    "true for a flow that is handed over",
			"links":            "its places in lists of this process",
			"serverIndex":      ownNumber,
		},
	},
	reflect.TypeFor[latencyTracker](): {
		HandedOver: []string{"recentLoads"},
		NotHanded: map[string]string{
			"threshold":            setting,
			"nextCheck":            "a check is due within 250 ms",
			"serversReportLoad":    setting,
			"serversReportLatency": setting,
			"awaitingReply":        byFlows,
			"byLastRequest":        byFlows,
			"adopted":              byFlows,
			"suspects":             measured,
		},
	},
}

// Guards against state that is forgotten in a hand-over: a new field must be handed over, or be listed with a reason.
func TestHandedOverFields(t *testing.T) {
	for structType, fields := range handedOverFields {
		for _, problem := range fields.Problems(structType) {
			t.Error(problem)
		}
	}
}
