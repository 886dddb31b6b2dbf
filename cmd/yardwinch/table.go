package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const columnPadding = 2 // spaces

// table is what a command prints for people: lines of cells in aligned columns.
type table struct{ writer *tabwriter.Writer }

// line formats one line; its cells end with tabs.
func (t table) line(format string, values ...any) {
	_, _ = fmt.Fprintf(t.writer, format+"\n", values...) // the writer keeps an error until it is flushed
}

// show prints an answer, as JSON where the command asks for it, else as a table.
func show(command *cli.Command, answer any, fill func(table)) error {
	if command.Bool("json") {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
	fill(table{writer})
	return writer.Flush()
}
