package fleet

import (
	"slices"
	"testing"
)

// Every kind of fault and of requirement that a plan file can name is implemented.
func TestEveryKindIsHandled(t *testing.T) {
	for _, kind := range requirementKinds {
		if checks[kind] == nil || requirementTexts[kind] == nil {
			t.Errorf("requirement %s has no check or no text", kind)
		}
	}
	otherKinds := []faultKind{faultPath, faultReset, faultFalseReports, faultGarbage}
	for _, kind := range faultKinds {
		if isProcessFault := processFaults[kind] != nil; isProcessFault == slices.Contains(otherKinds, kind) {
			t.Errorf("fault %s is listed in processFaults: %v, want %v", kind, isProcessFault, !isProcessFault)
		}
	}
}
