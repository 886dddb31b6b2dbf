package scale

import (
	"path/filepath"
	"testing"
)

func TestShippedExperimentsAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "..", "experiments", "scale", "*.toml"))
	if err != nil || len(files) < 15 {
		t.Fatalf("%d experiment files found, error %v, want at least 15", len(files), err)
	}
	for _, file := range files {
		e, err := Open(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if sweeps[e.Settings.Sweep] == nil || len(e.Settings.Sizes) < 1 {
			t.Errorf("%s: sweep %q over %d sizes, want a known sweep and at least one size", file, e.Settings.Sweep, len(e.Settings.Sizes))
		}
	}
}
