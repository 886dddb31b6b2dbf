package scale

import (
	"strings"
)

// table is a Markdown table.
type table struct {
	head []string
	rows [][]string
}

func newTable(head ...string) *table { return &table{head: head} }

func (t *table) row(cells ...string) { t.rows = append(t.rows, cells) }

// String is the table in Markdown.
func (t *table) String() string {
	if len(t.rows) == 0 {
		return "None.\n"
	}
	var text strings.Builder
	writeRow(&text, t.head)
	rule := make([]string, len(t.head))
	for i := range rule {
		rule[i] = "---"
	}
	writeRow(&text, rule)
	for _, row := range t.rows {
		writeRow(&text, row)
	}
	return text.String()
}

func writeRow(to *strings.Builder, cells []string) {
	for _, cell := range cells {
		to.WriteString("| ")
		to.WriteString(strings.ReplaceAll(cell, "|", "\\|"))
		to.WriteString(" ")
	}
	to.WriteString("|\n")
}

// pair is two figures in one cell, "in, out".
func pair(in, out figure) string {
	if in.known() == out.known() && in.String() == out.String() {
		return in.String()
	}
	return in.String() + ", " + out.String()
}
