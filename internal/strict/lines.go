package strict

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineFinder records the line of each key; the tables of an array of tables are numbered from 0.
type lineFinder struct {
	parser unstable.Parser
	lines  map[string]int // by full key
	prefix string         // of the keys in the current table
	tables map[string]int // number of tables so far, by the key of their array
}

// keyLines returns the line of each key in a text, which must be valid TOML.
func keyLines(text []byte) map[string]int {
	f := lineFinder{lines: map[string]int{}, tables: map[string]int{}}
	f.parser.Reset(text)
	for f.parser.NextExpression() {
		f.add(f.parser.Expression())
	}
	return f.lines
}

func (f *lineFinder) add(expression *unstable.Node) {
	key, line := f.key(expression.Key())
	switch expression.Kind {
	case unstable.Table:
		f.prefix = key + "."
		f.lines[key] = line
	case unstable.ArrayTable:
		f.prefix = itemPrefix(key, f.tables[key])
		f.tables[key]++
		f.lines[strings.TrimSuffix(f.prefix, ".")] = line
		if f.lines[key] == 0 {
			f.lines[key] = line
		}
	case unstable.KeyValue:
		f.lines[f.prefix+key] = line
	}
}

// key joins the parts of a dotted key, and returns the line of the first part.
func (f *lineFinder) key(parts unstable.Iterator) (key string, line int) {
	var names []string
	for parts.Next() {
		if line == 0 {
			line = f.parser.Shape(parts.Node().Raw).Start.Line
		}
		names = append(names, string(parts.Node().Data))
	}
	return strings.Join(names, "."), line
}
