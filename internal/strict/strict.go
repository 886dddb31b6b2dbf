// Package strict reads TOML of which every key must be known and every value as expected; a fault names the file, the
// line and the key, and says what was expected.
package strict

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Table is one table of a file. The first fault by line is kept for the end; readers go on with what stands for an
// absent value.
type Table struct {
	path string
	at   map[string]any
	file *file
}

type file struct {
	name   string
	lines  map[string]int
	used   map[string]bool
	faults []fault
}

type fault struct {
	line int
	text string
}

// Parse reads a text; name stands in faults.
func Parse(name string, text []byte) (Table, error) {
	at := map[string]any{}
	if err := toml.Unmarshal(text, &at); err != nil {
		var d *toml.DecodeError
		if errors.As(err, &d) {
			line, _ := d.Position()
			key := strings.Join(d.Key(), ".")
			if key != "" {
				key += ": "
			}
			return Table{}, fmt.Errorf("%s:%d: %s%s", name, line, key, strings.TrimPrefix(d.Error(), "toml: "))
		}
		return Table{}, fmt.Errorf("%s: %w", name, err)
	}
	f := &file{name: name, used: map[string]bool{}, lines: lines(text)}
	return Table{at: at, file: f}, nil
}

// lines finds on which line each key stands. Tables of a list are numbered from 0.
func lines(text []byte) map[string]int {
	at := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	prefix, count := "", map[string]int{}
	join := func(it unstable.Iterator) (key string, line int) {
		var parts []string
		for it.Next() {
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
			parts = append(parts, string(it.Node().Data))
		}
		return strings.Join(parts, "."), line
	}
	for p.NextExpression() {
		e := p.Expression()
		key, line := join(e.Key())
		switch e.Kind {
		case unstable.Table:
			prefix = key + "."
			at[key] = line
		case unstable.ArrayTable:
			one := fmt.Sprintf("%s.%d", key, count[key])
			count[key]++
			prefix = one + "."
			at[one] = line
			if at[key] == 0 {
				at[key] = line
			}
		case unstable.KeyValue:
			at[prefix+key] = line
		}
	}
	return at
}

func (t Table) key(k string) string { return t.path + k }

// Fail notes a fault of a key's value.
func (t Table) Fail(k, format string, a ...any) {
	key := t.key(k)
	line := t.file.lines[key]
	for above := key; line == 0 && above != ""; { // an absent key is faulted at its table
		i := strings.LastIndexByte(above, '.')
		above = above[:max(i, 0)]
		line = t.file.lines[above]
	}
	t.file.faults = append(t.file.faults, fault{line, fmt.Sprintf("%s:%d: %s: %s", t.file.name, line, key, fmt.Sprintf(format, a...))})
}

func (t Table) get(k string) (any, bool) {
	t.file.used[t.key(k)] = true
	v, ok := t.at[k]
	return v, ok
}

// Has tells whether a key stands there.
func (t Table) Has(k string) bool { _, ok := t.at[k]; return ok }

// Err is the first fault by line, unknown keys among them; call it when all has been read.
func (t Table) Err() error {
	t.unknown(t.at, "")
	if len(t.file.faults) == 0 {
		return nil
	}
	first := slices.MinFunc(t.file.faults, func(a, b fault) int { return a.line - b.line })
	if n := len(t.file.faults) - 1; n > 0 {
		return fmt.Errorf("%s (and %d more)", first.text, n)
	}
	return errors.New(first.text)
}

func (t Table) unknown(at map[string]any, path string) {
	for k, v := range at {
		key := path + k
		if !t.file.used[key] {
			t.file.faults = append(t.file.faults, fault{t.file.lines[key],
				fmt.Sprintf("%s:%d: %s: unknown key", t.file.name, t.file.lines[key], key)})
			continue
		}
		switch v := v.(type) {
		case map[string]any:
			t.unknown(v, key+".")
		case []any:
			for i, x := range v {
				if m, ok := x.(map[string]any); ok {
					t.unknown(m, fmt.Sprintf("%s.%d.", key, i))
				}
			}
		}
	}
}

func number(v any) (float64, bool) {
	switch v := v.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, true
	}
	return 0, false
}

// Float is one number from least to most.
func (t Table) Float(k string, absent, least, most float64) float64 {
	v, ok := t.get(k)
	if !ok {
		return absent
	}
	x, ok := number(v)
	if !ok || !(x >= least && x <= most) {
		t.Fail(k, "want a number from %g to %g, got %v", least, most, v)
		return absent
	}
	return x
}

// Int is one whole number from least to most.
func (t Table) Int(k string, absent, least, most int) int {
	v, ok := t.get(k)
	if !ok {
		return absent
	}
	x, ok := v.(int64)
	if !ok || x < int64(least) || x > int64(most) {
		t.Fail(k, "want a whole number from %d to %d, got %v", least, most, v)
		return absent
	}
	return int(x)
}

// IncreasingInts is a list of whole numbers from least to most, each above the one before it.
func (t Table) IncreasingInts(k string, least, most int) (numbers []int) {
	v, ok := t.get(k)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	for _, x := range list {
		n, whole := x.(int64)
		ok = ok && whole && n >= int64(least) && n <= int64(most)
		ok = ok && (len(numbers) == 0 || int(n) > numbers[len(numbers)-1])
		numbers = append(numbers, int(n))
	}
	if !ok || len(numbers) == 0 {
		t.Fail(k, "want a list of whole numbers from %d to %d, each above the one before it, got %v", least, most, v)
		return nil
	}
	return numbers
}

// Range is a number, or a list of the two that it lies between.
func (t Table) Range(k string, lo, hi, least, most float64) (float64, float64) {
	v, ok := t.get(k)
	if !ok {
		return lo, hi
	}
	if x, ok := number(v); ok && x >= least && x <= most {
		return x, x
	}
	if list, ok := v.([]any); ok && len(list) == 2 {
		a, okA := number(list[0])
		b, okB := number(list[1])
		if okA && okB && a <= b && a >= least && b <= most {
			return a, b
		}
	}
	t.Fail(k, "want a number from %g to %g, or two such, the smaller first, got %v", least, most, v)
	return lo, hi
}

func span(v any) (time.Duration, bool) {
	s, ok := v.(string)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(s)
	return d, err == nil && d >= 0
}

// Duration is a time such as "250ms".
func (t Table) Duration(k string, absent, most time.Duration) time.Duration {
	lo, _ := t.DurationRange(k, absent, absent, most)
	return lo
}

// DurationRange is a time such as "250ms", or a list of the two that it lies between.
func (t Table) DurationRange(k string, lo, hi, most time.Duration) (time.Duration, time.Duration) {
	v, ok := t.get(k)
	if !ok {
		return lo, hi
	}
	if d, ok := span(v); ok && d <= most {
		return d, d
	}
	if list, ok := v.([]any); ok && len(list) == 2 {
		a, okA := span(list[0])
		b, okB := span(list[1])
		if okA && okB && a <= b && b <= most {
			return a, b
		}
	}
	t.Fail(k, `want a time of at most %v such as "250ms", or two such, the shorter first, got %v`, most, v)
	return lo, hi
}

// String is any text; with words, one of them.
func (t Table) String(k, absent string, words ...string) string {
	v, ok := t.get(k)
	if !ok {
		return absent
	}
	s, ok := v.(string)
	if !ok || len(words) > 0 && !slices.Contains(words, s) {
		if len(words) > 0 {
			t.Fail(k, "want one of %s, got %v", strings.Join(words, ", "), v)
		} else {
			t.Fail(k, "want a text, got %v", v)
		}
		return absent
	}
	return s
}

// Strings is a list of texts, each one of the words where there are any.
func (t Table) Strings(k string, absent []string, words ...string) []string {
	v, ok := t.get(k)
	if !ok {
		return absent
	}
	list, ok := v.([]any)
	var texts []string
	for _, x := range list {
		s, isText := x.(string)
		if !isText || len(words) > 0 && !slices.Contains(words, s) {
			ok = false
		}
		texts = append(texts, s)
	}
	if !ok || len(texts) == 0 {
		want := "a list of texts"
		if len(words) > 0 {
			want = "a list of " + strings.Join(words, ", ")
		}
		t.Fail(k, "want %s, got %v", want, v)
		return absent
	}
	return texts
}

// Bool is true or false.
func (t Table) Bool(k string, absent bool) bool {
	v, ok := t.get(k)
	if !ok {
		return absent
	}
	b, ok := v.(bool)
	if !ok {
		t.Fail(k, "want true or false, got %v", v)
		return absent
	}
	return b
}

// Table is a table below; an absent one is empty.
func (t Table) Table(k string) Table {
	v, ok := t.get(k)
	m, isTable := v.(map[string]any)
	if ok && !isTable {
		t.Fail(k, "want a table [%s]", t.key(k))
	}
	return Table{path: t.key(k) + ".", at: m, file: t.file}
}

// Tables is a list of tables.
func (t Table) Tables(k string) (tables []Table) {
	v, ok := t.get(k)
	if !ok {
		return nil
	}
	list, isList := v.([]any)
	for i, x := range list {
		m, isTable := x.(map[string]any)
		if !isTable {
			isList = false
			break
		}
		tables = append(tables, Table{path: fmt.Sprintf("%s.%d.", t.key(k), i), at: m, file: t.file})
	}
	if !isList {
		t.Fail(k, "want tables [[%s]]", t.key(k))
		return nil
	}
	return tables
}

// Lists is a list of lists of texts, none of them empty.
func (t Table) Lists(k string) (lists [][]string) {
	v, ok := t.get(k)
	if !ok {
		return nil
	}
	all, ok := v.([]any)
	for _, x := range all {
		inner, isList := x.([]any)
		var texts []string
		for _, y := range inner {
			s, isText := y.(string)
			isList = isList && isText && s != ""
			texts = append(texts, s)
		}
		ok = ok && isList && len(inner) > 0
		lists = append(lists, texts)
	}
	if !ok || len(lists) == 0 {
		t.Fail(k, `want lists of texts such as [["a"], ["b", "c"]], got %v`, v)
		return nil
	}
	return lists
}
