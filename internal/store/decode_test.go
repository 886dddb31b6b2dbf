package store

import (
	"strings"
	"testing"

	"yardwinch/internal/routing"
)

var invalidFiles = []string{
	"",
	"{",
	`{"version":2,"out_by_hand":["a"]}`,
	`{"version":1,"out_by_hand":["a"]}x`,
	`{"version":1,"out_by_hand":[""]}`,
	`{"version":1,"more":1}`,
	`{"version":1,"out_by_hand":["` + strings.Repeat("x", routing.MaxServerNameLength+1) + `"]}`,
	`{"version":1,"out_by_hand":[1]}`,
}

func TestDecodeInvalidFile(t *testing.T) {
	for _, text := range append(invalidFiles, strings.Repeat(" ", maxFileBytes+1)) {
		if servers, err := decodeDisabled([]byte(text)); err == nil || servers != nil {
			t.Errorf("%.50q: decoded as %q, want an error", text, servers)
		}
	}
}

func FuzzDecodeDisabled(f *testing.F) {
	for _, text := range append(invalidFiles, `{"version":1,"out_by_hand":["a","b"]}`) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if servers, err := decodeDisabled(text); err != nil && servers != nil {
			t.Errorf("%q is returned with an error", servers)
		}
	})
}
