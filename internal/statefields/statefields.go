// Package statefields checks, for tests, that each field of the state of a process is either handed over to its
// successor or listed with the reason why it needn't be.
package statefields

import (
	"fmt"
	"reflect"
	"slices"
)

// Fields says what becomes of the fields of a struct type in a hand-over.
type Fields struct {
	HandedOver []string          // names of fields
	NotHanded  map[string]string // by the name of a field: why it need not be handed over
}

// Problems returns what is wrong with a list for a struct type: fields that are in neither part, or in both, reasons that
// are missing, and names that are no fields.
func (f Fields) Problems(structType reflect.Type) (problems []string) {
	listed := map[string]int{}
	for _, name := range f.HandedOver {
		listed[name]++
	}
	for name, reason := range f.NotHanded {
		listed[name]++
		if reason == "" {
			problems = append(problems, fmt.Sprintf("%v.%s: not handed over, and no reason is given", structType, name))
		}
	}
	for i := range structType.NumField() {
		name := structType.Field(i).Name
		if listed[name] != 1 {
			problems = append(problems, fmt.Sprintf("%v.%s: listed %d times, want once: hand it over, or give the reason why it "+
				"needn't be", structType, name, listed[name]))
		}
		delete(listed, name)
	}
	for name := range listed {
		problems = append(problems, fmt.Sprintf("%v has no field %s", structType, name))
	}
	slices.Sort(problems)
	return problems
}
