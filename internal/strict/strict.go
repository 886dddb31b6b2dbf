// Package strict reads TOML files. Unknown keys and values of another type or range than expected are errors, which
// name the file, the line and the key, and say what was expected.
package strict

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Table is a table of a file. A method that reads an invalid value records an error for Err and returns the default.
type Table struct {
	prefix string // of its keys: the table's full key and a dot
	values map[string]any
	file   *file
}

// file is shared by all tables of a file.
type file struct {
	name  string
	lines map[string]int  // by full key
	read  map[string]bool // full keys that were read; all others are unknown
	errs  []keyError
}

type keyError struct {
	line int
	text string
}

// Parse parses a text; name is the file's name in errors.
func Parse(name string, text []byte) (Table, error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return Table{}, syntaxError(name, err)
	}
	f := &file{name: name, read: map[string]bool{}, lines: keyLines(text)}
	return Table{values: values, file: f}, nil
}

// syntaxError adds the line to an error of the decoder, and the key if it is known.
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

// Has reports whether a key is present, without marking it as known.
func (t Table) Has(key string) bool {
	_, present := t.values[key]
	return present
}

// get returns a value and marks its key as known.
func (t Table) get(key string) (value any, present bool) {
	t.file.read[t.fullKey(key)] = true
	value, present = t.values[key]
	return value, present
}

// Fail records an error of the value of a key. The error of an absent key has the line of its table.
func (t Table) Fail(key, format string, a ...any) {
	full := t.fullKey(key)
	t.file.addError(t.file.lineOf(full), full, fmt.Sprintf(format, a...))
}

func (f *file) addError(line int, fullKey, problem string) {
	f.errs = append(f.errs, keyError{
		line: line,
		text: fmt.Sprintf("%s:%d: %s: %s", f.name, line, fullKey, problem),
	})
}

// lineOf returns the line of a key, or of its nearest parent table that has one.
func (f *file) lineOf(fullKey string) int {
	line := f.lines[fullKey]
	for parent := fullKey; line == 0 && parent != ""; {
		parent = parent[:max(strings.LastIndexByte(parent, '.'), 0)]
		line = f.lines[parent]
	}
	return line
}

// Err returns the error that is first in the file, unknown keys included. It must be called on the top-level table,
// after everything has been read.
func (t Table) Err() error {
	t.file.addUnknownKeyErrors(t.values, "")
	if len(t.file.errs) == 0 {
		return nil
	}
	first := slices.MinFunc(t.file.errs, func(a, b keyError) int { return a.line - b.line })
	if others := len(t.file.errs) - 1; others > 0 {
		return fmt.Errorf("%s (and %d more)", first.text, others)
	}
	return errors.New(first.text)
}

// addUnknownKeyErrors records an error for each key that was not read. It does not descend into unknown tables.
func (f *file) addUnknownKeyErrors(values map[string]any, prefix string) {
	for key, value := range values {
		full := prefix + key
		if !f.read[full] {
			f.addError(f.lines[full], full, "unknown key")
			continue
		}
		switch value := value.(type) {
		case map[string]any:
			f.addUnknownKeyErrors(value, full+".")
		case []any:
			for i, item := range value {
				if table, ok := item.(map[string]any); ok {
					f.addUnknownKeyErrors(table, itemPrefix(full, i))
				}
			}
		}
	}
}

// itemPrefix returns the prefix of the keys of a table in an array of tables; the tables are numbered from 0.
func itemPrefix(fullKey string, i int) string { return fmt.Sprintf("%s.%d.", fullKey, i) }

// Table returns the table of a key; an absent one is empty.
func (t Table) Table(key string) Table {
	value, present := t.get(key)
	values, ok := value.(map[string]any)
	if present && !ok {
		t.Fail(key, "want a table [%s]", t.fullKey(key))
	}
	return Table{prefix: t.fullKey(key) + ".", values: values, file: t.file}
}

// Tables returns an array of tables; nil if absent.
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
