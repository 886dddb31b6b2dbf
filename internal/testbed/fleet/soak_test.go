package fleet

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
)

// A seed draws the same plan in every build, so that a failed soak can be repeated by its seed.
func TestSoakPlansAreStable(t *testing.T) {
	const want = "9443f67ce32ba4192d2404f22208abbcbb89c0b0d584a2a2e8ba95c5b7914f77"
	var plans strings.Builder
	for seed := range uint64(1000) {
		plans.WriteString(SoakPlan(seed))
	}
	if got := fmt.Sprintf("%x", sha256.Sum256([]byte(plans.String()))); got != want {
		t.Errorf("the plans have the hash %s, want %s", got, want)
	}
}
