package compatibility

import (
	"encoding/json"
	"errors"
	"fmt"

	"yardwinch/fleet/signals"
	"yardwinch/internal/handover"
	"yardwinch/internal/testbed/fleet"
)

// This file contains all uses of the module's own packages in these tests, so that a rename changes no other file of the
// package.

// reencodeState decodes and validates a state as a successor does, and encodes it as a predecessor does.
func reencodeState(text []byte) ([]byte, error) {
	var s handover.State
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// reencodeRecord decodes a record and encodes it again. The text decoded is the record's content without field names.
func reencodeRecord(message []byte) (encoded []byte, decoded string, err error) {
	r, err := signals.Decode(message)
	if err != nil {
		var advice interface{ Advice() string }
		if errors.As(err, &advice) {
			err = fmt.Errorf("%w; what helps: %s", err, advice.Advice())
		}
		return nil, "", err
	}
	encoded, err = signals.Encode(r)
	return encoded, fmt.Sprintf("%v", r), err
}

// reencodeFullState decodes a member's full state and encodes it again.
func reencodeFullState(message []byte) (encoded []byte, parts int, err error) {
	records, err := signals.DecodeFullState(message)
	if err != nil {
		return nil, 0, err
	}
	encoded, err = signals.EncodeFullState(records)
	return encoded, len(records), err
}

// soakPlan returns the text of the plan that the soak test draws from a seed.
func soakPlan(seed uint64) string { return fleet.SoakPlan(seed) }

// readPlan parses the plan of a fleet test.
func readPlan(path string, text []byte) error {
	_, err := fleet.Read(path, text)
	return err
}
