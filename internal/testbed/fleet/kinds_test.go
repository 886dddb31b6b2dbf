package fleet

import (
	"slices"
	"testing"
)

// What a plan file may name is handled: each kind of fault, and each kind of requirement.
func TestEveryKindIsHandled(t *testing.T) {
	for _, kind := range requirementKinds {
		if checks[kind] == nil || requirementTexts[kind] == nil {
			t.Errorf("requirement %s has no check or no text", kind)
		}
	}
	ofNoProcess := []faultKind{faultPath, faultReset, faultFalseReports, faultGarbage}
	for _, kind := range faultKinds {
		if isOfProcess := processFaults[kind] != nil; isOfProcess == slices.Contains(ofNoProcess, kind) {
			t.Errorf("fault %s is of a process: %v", kind, isOfProcess)
		}
	}
}
