// Package report writes what a run came to: as JSON for programs, and as one HTML page with plots that needs no other file.
package report

import (
	"encoding/json"
	"io"

	"yardwinch/internal/testbed/count"
)

// JSON writes all results. The bytes depend on the results alone. Its error is the writer's.
func JSON(w io.Writer, name, about string, results []*count.Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(struct {
		Name    string          `json:"name"`
		About   string          `json:"about"`
		Results []*count.Result `json:"results"`
	}{name, about, results})
}
