// Package strict reads TOML files in which every key must be known and every value must be as expected. An error
// names the file, the line and the key, and says what was expected.
package strict

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Table is one table of a file. A reader of a faulty value keeps the fault for Err and returns the default.
type Table struct {
	prefix string // of its keys: the table's own key and a dot
	values map[string]any
	file   *file
}

// file is shared by all tables of a file.
type file struct {
	name   string
	lines  map[string]int  // by full key
	read   map[string]bool // full keys that were read; any other is unknown
	faults []fault
}

type fault struct {
	line int
	text string
}

// Parse reads a text; name is the file's name in errors.
func Parse(name string, text []byte) (Table, error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return Table{}, syntaxError(name, err)
	}
	f := &file{name: name, read: map[string]bool{}, lines: keyLines(text)}
	return Table{values: values, file: f}, nil
}

// syntaxError names the line, and the key where it is known.
func syntaxError(name string, err error) error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return fmt.Errorf("%s: %w", name, err)
	}
	line, _ := decodeError.Position()
	key := strings.Join(decodeError.Key(), ".")
	if key != "" {
		key += ": "
	}
	return fmt.Errorf("%s:%d: %s%s", name, line, key, strings.TrimPrefix(decodeError.Error(), "toml: "))
}

func (t Table) fullKey(key string) string { return t.prefix + key }

// Has reports whether a key is present, without reading it.
func (t Table) Has(key string) bool {
	_, present := t.values[key]
	return present
}

// get reads a value, so that its key counts as known.
func (t Table) get(key string) (value any, present bool) {
	t.file.read[t.fullKey(key)] = true
	value, present = t.values[key]
	return value, present
}

// Fail keeps a fault of the value of a key. The fault of an absent key has the line of its table.
func (t Table) Fail(key, format string, a ...any) {
	full := t.fullKey(key)
	t.file.fail(t.file.lineOf(full), full, fmt.Sprintf(format, a...))
}

func (f *file) fail(line int, fullKey, problem string) {
	f.faults = append(f.faults, fault{
		line: line,
		text: fmt.Sprintf("%s:%d: %s: %s", f.name, line, fullKey, problem),
	})
}

// lineOf is the line of a key, or of the nearest table above it that has one.
func (f *file) lineOf(fullKey string) int {
	line := f.lines[fullKey]
	for above := fullKey; line == 0 && above != ""; {
		above = above[:max(strings.LastIndexByte(above, '.'), 0)]
		line = f.lines[above]
	}
	return line
}

// Err is the fault that comes first in the file, unknown keys included; call it on the top table when everything
// has been read.
func (t Table) Err() error {
	t.file.failUnknown(t.values, "")
	if len(t.file.faults) == 0 {
		return nil
	}
	first := slices.MinFunc(t.file.faults, func(a, b fault) int { return a.line - b.line })
	if others := len(t.file.faults) - 1; others > 0 {
		return fmt.Errorf("%s (and %d more)", first.text, others)
	}
	return errors.New(first.text)
}

// failUnknown keeps a fault for each key that was not read. The content of an unknown table is not looked into.
func (f *file) failUnknown(values map[string]any, prefix string) {
	for key, value := range values {
		full := prefix + key
		if !f.read[full] {
			f.fail(f.lines[full], full, "unknown key")
			continue
		}
		switch value := value.(type) {
		case map[string]any:
			f.failUnknown(value, full+".")
		case []any:
			for i, item := range value {
				if table, ok := item.(map[string]any); ok {
					f.failUnknown(table, itemPrefix(full, i))
				}
			}
		}
	}
}

// itemPrefix is the prefix of the keys of a table in a list; tables are numbered from 0.
func itemPrefix(fullKey string, i int) string { return fmt.Sprintf("%s.%d.", fullKey, i) }

// Table is the table of a key; an absent one is empty.
func (t Table) Table(key string) Table {
	value, present := t.get(key)
	values, ok := value.(map[string]any)
	if present && !ok {
		t.Fail(key, "want a table [%s]", t.fullKey(key))
	}
	return Table{prefix: t.fullKey(key) + ".", values: values, file: t.file}
}

// Tables is a list of tables; nil where absent.
func (t Table) Tables(key string) (tables []Table) {
	value, present := t.get(key)
	if !present {
		return nil
	}
	list, ok := value.([]any)
	for i, item := range list {
		values, isTable := item.(map[string]any)
		if !isTable {
			ok = false
			break
		}
		tables = append(tables, Table{prefix: itemPrefix(t.fullKey(key), i), values: values, file: t.file})
	}
	if !ok {
		t.Fail(key, "want tables [[%s]]", t.fullKey(key))
		return nil
	}
	return tables
}
