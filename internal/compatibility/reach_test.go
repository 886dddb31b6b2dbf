package compatibility

import (
	"encoding/json"
	"errors"
	"fmt"

	"yardwinch/fleet/signals"
	"yardwinch/internal/handover"
	"yardwinch/internal/testbed/fleet"
)

// All of the module's own names that these tests use are in this file: a renaming touches it and nothing else of
// the package.

// reencodeState reads a state as a successor does, and writes it as a predecessor does.
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

// reencodeRecord decodes a record and encodes it again; decoded is its content without names.
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
	all, err := signals.DecodeFullState(message)
	if err != nil {
		return nil, 0, err
	}
	encoded, err = signals.EncodeFullState(all)
	return encoded, len(all), err
}

// soakPlan is the text of the timeline that a seed draws.
func soakPlan(seed uint64) string { return fleet.SoakPlan(seed) }

// readPlan reads a plan of a fleet.
func readPlan(path string, text []byte) error {
	_, err := fleet.Read(path, text)
	return err
}
