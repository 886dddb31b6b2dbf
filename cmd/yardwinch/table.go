package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const columnPadding = 2 // spaces

// table is the human-readable output of a command: lines of cells in aligned columns.
type table struct{ writer *tabwriter.Writer }

// line formats and writes one line, whose cells are separated by tabs.
func (t table) line(format string, values ...any) {
	_, _ = fmt.Fprintf(t.writer, format+"\n", values...) // the tabwriter buffers its output: errors are returned by Flush
}

// printResponse prints a response, as JSON with the flag --json and as a table without.
func printResponse(command *cli.Command, response any, fill func(table)) error {
	if command.Bool("json") {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(response)
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
	fill(table{writer})
	return writer.Flush()
}
