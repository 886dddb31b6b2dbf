// Package config reads a balancer's configuration, which the platform provides, and the operators' options file. It
// validates values, applies defaults, and maps the names of settings and options, which are fixed, to the terms of the
// code.
package config

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Values are settings as texts by dotted path. A method that reads an invalid value returns the default and records the
// error if it is the first, so that callers check Err once, after reading everything.
type Values struct {
	byPath   map[string]string
	prefix   string // prepended to every path that is read
	firstErr *error // shared by all Values that Sub returned; points to nil until an error is found
}

// FromPairs returns values from flat pairs, as the simulator sends them.
func FromPairs(byPath map[string]string) Values { return Values{byPath: byPath, firstErr: new(error)} }

// Sub returns the values below a path.
func (v Values) Sub(path string) Values {
	v.prefix += path + "."
	return v
}

// Each calls do with every path below the prefix and its value, in path order.
func (v Values) Each(do func(path, value string)) {
	for _, path := range slices.Sorted(maps.Keys(v.byPath)) {
		if relative, ok := strings.CutPrefix(path, v.prefix); ok {
			do(relative, v.byPath[path])
		}
	}
}

// items iterates over a list of objects.
func (v Values) items(path string) iter.Seq2[int, Values] {
	return func(yield func(int, Values) bool) {
		for i := range v.itemCount(path) {
			if !yield(i, v.Sub(path+"."+strconv.Itoa(i))) {
				return
			}
		}
	}
}

func (v Values) itemCount(path string) int { return int(v.Float(path+countSuffix, 0)) }

// Err returns the first error that was found while reading the values, with the path of the value.
func (v Values) Err() error { return *v.firstErr }

// fail records an error of the value at a path, unless there is an earlier one.
func (v Values) fail(path, format string, a ...any) {
	if *v.firstErr == nil {
		*v.firstErr = fmt.Errorf("%s%s: %s", v.prefix, path, fmt.Sprintf(format, a...))
	}
}

// String returns the value at a path, or the fallback if it is absent. An empty value counts as absent, as does "-",
// which the simulator sends for a value that is not stated.
func (v Values) String(path, fallback string) string {
	if text := v.byPath[v.prefix+path]; text != "" && text != "-" {
		return text
	}
	return fallback
}

// required returns the value at a path, which must be present.
func (v Values) required(path string) string {
	text := v.String(path, "")
	if text == "" {
		v.fail(path, "is missing")
	}
	return text
}

// Float returns a finite number, or the fallback if it is absent or invalid.
func (v Values) Float(path string, fallback float64) float64 {
	text := v.String(path, "")
	if text == "" {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		v.fail(path, "bad number %q", text)
		return fallback
	}
	return number
}

// positive returns a number above 0, or the fallback if it is absent or invalid.
func (v Values) positive(path string, fallback float64) float64 {
	number := v.Float(path, fallback)
	if !(number > 0) {
		v.fail(path, "must be above 0")
		return fallback
	}
	return number
}

// Duration returns a duration, which settings state in nanoseconds; 0 if absent.
func (v Values) Duration(path string) time.Duration { return time.Duration(v.Float(path, 0)) }

// Bool returns a boolean; false if absent.
func (v Values) Bool(path string) bool { return enum(v, path, booleans, false) }

var booleans = map[string]bool{"true": true, "1": true, "false": false, "0": false}

// floats returns a list of numbers; an item that is not stated is 0.
func (v Values) floats(path string) (numbers []float64) {
	for _, text := range v.list(path) {
		if text == "null" || text == "-" || text == "" {
			numbers = append(numbers, 0)
			continue
		}
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			v.fail(path, "bad number %q", text)
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// list returns a list of texts; nil if absent.
func (v Values) list(path string) []string {
	if text := v.String(path, ""); text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// enum returns the meaning of a value, which must be one of the given words, or the fallback if it is absent. An
// unknown word is an error, and results in the zero value.
func enum[T any](v Values, path string, meanings map[string]T, fallback T) T {
	text := v.String(path, "")
	if text == "" {
		return fallback
	}
	meaning, ok := meanings[text]
	if !ok {
		v.fail(path, "unknown word %q", text)
	}
	return meaning
}
