package scale

import (
	"strings"
)

// table is a Markdown table; without rows it is printed as "None.".
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

// String is the table in Markdown.
func (t *table) String() string {
	if len(t.rows) == 0 {
		return "None.\n"
	}
	var text strings.Builder
	writeRow(&text, t.header)
	separator := make([]string, len(t.header))
	for i := range separator {
		separator[i] = "---"
	}
	writeRow(&text, separator)
	for _, row := range t.rows {
		writeRow(&text, row)
	}
	return text.String()
}

func writeRow(out *strings.Builder, cells []string) {
	for _, cell := range cells {
		out.WriteString("| ")
		out.WriteString(strings.ReplaceAll(cell, "|", "\\|"))
		out.WriteString(" ")
	}
	out.WriteString("|\n")
}

// pair shows two figures in one cell as "in, out", or once if both are shown alike.
func pair(in, out figure) string {
	if in.known() == out.known() && in.String() == out.String() {
		return in.String()
	}
	return in.String() + ", " + out.String()
}
