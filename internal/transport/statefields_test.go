package transport

import (
	"reflect"
	"testing"

	"yardwinch/internal/statefields"
)

// Guards against state that is forgotten in a hand-over: a new field must be handed over, or be listed with a reason.
func TestHandedOverFields(t *testing.T) {
	const (
		counted  = "counted anew by the successor's budget"
		notMoved = "a connection that is to be stopped is not handed over"
		asBuffer = "the unread part of buf is handed over"
		synced   = "how goroutines of this process are synchronised"
	)
	for structType, fields := range map[reflect.Type]statefields.Fields{
		reflect.TypeFor[Conn](): {
			HandedOver: []string{"raw", "buf", "relayed", "isMidLine"},
			NotHanded: map[string]string{
				"unreadFrom":         asBuffer,
				"unreadTo":           asBuffer,
				"stopRequested":      notMoved,
				"parkRequested":      "set to hand the connection over",
				"dropsUnreadOnReset": "set for each client's connection",
				"isBufferFull":       "the next read says so again",
				"closeOnce":          synced,
				"budget":             counted,
				"descriptors":        counted,
				"isUnfinished":       counted,
				"idleElement":        counted,
				"idleSince":          counted,
			},
		},
		reflect.TypeFor[DescriptorBudget](): {
			HandedOver: []string{"free"},
			NotHanded: map[string]string{
				"closingReply":       "a constant",
				"reservedForClients": "follows from the size of the budget",
				"freed":              synced,
				"mu":                 synced,
				"lent":               "what the other process uses",
				"unfinished":         counted,
				"idle":               counted,
			},
		},
		reflect.TypeFor[PausableListener](): {
			HandedOver: []string{"TCPListener"},
			NotHanded: map[string]string{
				"finishOnce":    synced,
				"finishing":     "a process that shuts down hands nothing over",
				"mu":            synced,
				"resumed":       "the successor accepts",
				"queueDeadline": "a process that shuts down hands nothing over",
			},
		},
	} {
		for _, problem := range fields.Problems(structType) {
			t.Error(problem)
		}
	}
}
