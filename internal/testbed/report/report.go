// Package report writes the results of a run: as JSON for programs, and as a self-contained HTML page with plots.
package report

import (
	"encoding/json"
	"io"

	"yardwinch/internal/testbed/count"
)

// JSON writes all results. The same results always give the same bytes. The only possible error is the writer's.
func JSON(w io.Writer, name, about string, results []*count.Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(struct {
		Name    string          `json:"name"`
		About   string          `json:"about"`
		Results []*count.Result `json:"results"`
	}{name, about, results})
}
