package statefields

import (
	"reflect"
	"slices"
	"testing"
)

type example struct {
	kept, derived int
	forgotten     int
}

func TestProblems(t *testing.T) {
	fields := Fields{
		HandedOver: []string{"kept", "removed"},
		NotHanded:  map[string]string{"derived": ""},
	}
	want := []string{
		"statefields.example has no field removed",
		"statefields.example.derived: not handed over, and no reason is given",
		"statefields.example.forgotten: listed 0 times, want once: hand it over, or give the reason why it needn't be",
	}
	got := fields.Problems(reflect.TypeOf(example{kept: 1, derived: 2, forgotten: 3}))
	if !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	complete := Fields{HandedOver: []string{"kept"}, NotHanded: map[string]string{"derived": "a", "forgotten": "b"}}
	if got := complete.Problems(reflect.TypeFor[example]()); len(got) > 0 {
		t.Errorf("%q, want no problem", got)
	}
}
