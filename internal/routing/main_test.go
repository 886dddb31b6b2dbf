package routing

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that they draw the same values in each run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
