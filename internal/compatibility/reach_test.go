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

// throughState takes a state over as a successor does, and gives it as a predecessor would.
func throughState(text []byte) ([]byte, error) {
	var s handover.State
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// throughRecord reads a record of a balancer and writes it anew; told is what was read, without names.
func throughRecord(message []byte) (anew []byte, told string, err error) {
	r, err := signals.Decode(message)
	if err != nil {
		var advice interface{ Advice() string }
		if errors.As(err, &advice) {
			err = fmt.Errorf("%w; what helps: %s", err, advice.Advice())
		}
		return nil, "", err
	}
	anew, err = signals.Encode(r)
	return anew, fmt.Sprintf("%v", r), err
}

// throughWhole takes apart what a member knows, and puts it together anew.
func throughWhole(message []byte) (anew []byte, parts int, err error) {
	all, err := signals.DecodeAll(message)
	if err != nil {
		return nil, 0, err
	}
	anew, err = signals.EncodeAll(all)
	return anew, len(all), err
}

// soakPlan is the text of the timeline that a seed draws.
func soakPlan(seed uint64) string { return fleet.SoakPlan(seed) }

// readPlan reads a plan of a fleet.
func readPlan(path string, text []byte) error {
	_, err := fleet.Read(path, text)
	return err
}
