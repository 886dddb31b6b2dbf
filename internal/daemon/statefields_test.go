package daemon

import (
	"reflect"
	"testing"

	"yardwinch/internal/statefields"
)

// Guards against state that is forgotten in a hand-over: a new field must be handed over, or be listed with a reason.
func TestHandedOverFields(t *testing.T) {
	const (
		setting = "a setting, which the successor reads itself"
		synced  = "how goroutines of this process are synchronised"
		shared  = "shared through the directory"
		roles   = "says which process is which"
	)
	for structType, fields := range map[reflect.Type]statefields.Fields{
		reflect.TypeFor[Daemon](): {
			HandedOver: []string{"router", "frontend", "discovery", "descriptorBudget", "listener", "explainListener", "lifecycle"},
			NotHanded: map[string]string{
				"configuration":       "the successor reads its own files, which may be newer",
				"gossip":              "the successor joins as a member of its own, and learns from the others",
				"directory":           shared,
				"socket":              shared,
				"disabled":            "the disabled servers are handed over by the router",
				"reservedDescriptors": setting,
				"goroutines":          synced,
				"relisten":            synced,
				"changeMu":            synced,
				"predecessor":         roles,
				"successor":           roles,
				"sharesListener":      roles,
			},
		},
		reflect.TypeFor[lifecycle](): {
			HandedOver: []string{"outOfServiceAt"},
			NotHanded: map[string]string{
				"clients":     "hands over its own state",
				"work":        synced,
				"started":     synced,
				"startedOnce": synced,
				"mu":          synced,
				"phase":       "follows from outOfServiceAt",
				"endPhase":    synced,
			},
		},
		reflect.TypeFor[disabledStore](): {
			NotHanded: map[string]string{
				"directory":         shared,
				"currentlyDisabled": "the router",
				"wake":              synced,
				"mu":                synced,
				"isLoaded":          "the successor has the servers from its predecessor",
				"changedBeforeLoad": "applied before a hand-over",
				"changes":           "the successor saves all that it was handed",
				"settledChanges":    "the successor saves all that it was handed",
				"isWriting":         synced,
				"attemptEnded":      synced,
				"failingSince":      "the successor tries itself",
			},
		},
	} {
		for _, problem := range fields.Problems(structType) {
			t.Error(problem)
		}
	}
}
