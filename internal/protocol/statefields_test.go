package protocol

import (
	"reflect"
	"testing"

	"yardwinch/internal/statefields"
)

const (
	setting     = "a setting, which the successor reads itself"
	synced      = "how goroutines of this process are synchronised"
	established = "the same for all established connections that are handed over"
	inPhase     = "follows from the phase of the process"
	ownNumber   = "a number for use in this process alone"
	newWatch    = "the successor opens a watch of its own at once"
)

// handedOverFields says what becomes of each field of the state in a hand-over.
var handedOverFields = map[reflect.Type]statefields.Fields{
	reflect.TypeFor[session](): {
		HandedOver: []string{"client", "server", "info", "flow"},
		NotHanded: map[string]string{
			"frontend":             "the successor's own",
			"openLine":             "was forwarded",
			"lastLineKind":         "a connection whose server announced its end is not handed over; nothing else depends on it",
			"settled":              synced,
			"clientDone":           synced,
			"clientEnded":          "a connection whose client has ended its side is not handed over",
			"clientMaySend":        established,
			"serverStoppedReading": "the relay from the client has ended then, and the connection is not handed over",
			"state":                established,
			"mayHaveRun":           "concerns retries; the flow is established",
			"isParked":             established,
			"establishedIndex":     ownNumber,
			"transferEnded":        synced,
		},
	},
	reflect.TypeFor[Frontend](): {
		HandedOver: []string{"ids", "established"},
		NotHanded: map[string]string{
			"router":             "hands over its own state",
			"dialer":             "has no state",
			"connectTimeout":     setting,
			"retryAfter":         setting,
			"stopping":           inPhase,
			"stop":               inPhase,
			"outOfService":       inPhase,
			"rejectsAll":         inPhase,
			"mu":                 synced,
			"opening":            inPhase,
			"cancelOpening":      inPhase,
			"connectionCount":    "counts connections of this process",
			"transferConnection": "how connections are handed over",
		},
	},
	reflect.TypeFor[flowIDs](): {
		HandedOver: []string{"key", "open", "elsewhere", "served", "unserved"},
		NotHanded: map[string]string{
			"mu":             synced,
			"claimElsewhere": "set for the hand-over",
			"onSent":         "set for the hand-over",
		},
	},
	reflect.TypeFor[Discovery](): {
		HandedOver: []string{"revision", "url"},
		NotHanded: map[string]string{
			"router":          "hands over its own state",
			"client":          newWatch,
			"isDirect":        setting,
			"silenceTimeout":  setting,
			"responseTimeout": setting,
			"random":          "each process has its own seed",
			"watchIsLost":     newWatch,
			"hadContact":      newWatch,
			"mu":              synced,
			"cancelFollow":    newWatch,
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
