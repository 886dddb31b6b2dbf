// Package config reads, checks and defaults everything that a balancer is configured with: the configuration of
// the platform and the operators' options file. It is the edge where the names of settings and options, which are
// fixed, are mapped to the terms of the code.
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

// Values are settings as dotted paths to plain texts. A reader of a faulty value returns its default and the first
// fault is kept, so that callers check Err once, after reading everything.
type Values struct {
	byPath map[string]string
	prefix string // of every path that is read
	fault  *error // shared by all Values that Sub returned; points to nil until a fault is found
}

// FromPairs returns the values of paths that are flat already, as on the simulator's wire.
func FromPairs(byPath map[string]string) Values { return Values{byPath: byPath, fault: new(error)} }

// Sub returns the values below a path.
func (v Values) Sub(path string) Values {
	v.prefix += path + "."
	return v
}

// Each calls do with every path and value below the prefix, in order of the paths.
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

// Err is the first fault that any reader of these values found, with the path of the value.
func (v Values) Err() error { return *v.fault }

// fail keeps a fault of the value at a path, unless there was one before.
func (v Values) fail(path, format string, a ...any) {
	if *v.fault == nil {
		*v.fault = fmt.Errorf("%s%s: %s", v.prefix, path, fmt.Sprintf(format, a...))
	}
}

// String is the value at a path, or the fallback where it is absent. An empty value and "-", which the simulator's wire
// has for one that isn't stated, count as absent.
func (v Values) String(path, fallback string) string {
	if text := v.byPath[v.prefix+path]; text != "" && text != "-" {
		return text
	}
	return fallback
}

// required is a value that must be present.
func (v Values) required(path string) string {
	text := v.String(path, "")
	if text == "" {
		v.fail(path, "is missing")
	}
	return text
}

// Float is a finite number, or the fallback where it is absent or faulty.
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

// positive is a number above 0, or the fallback where it is absent or faulty.
func (v Values) positive(path string, fallback float64) float64 {
	number := v.Float(path, fallback)
	if !(number > 0) {
		v.fail(path, "must be above 0")
		return fallback
	}
	return number
}

// Duration is a time, which settings give in nanoseconds; 0 where absent.
func (v Values) Duration(path string) time.Duration { return time.Duration(v.Float(path, 0)) }

// Bool is true or false; false where absent.
func (v Values) Bool(path string) bool { return enum(v, path, booleans, false) }

var booleans = map[string]bool{"true": true, "1": true, "false": false, "0": false}

// floats is a list of numbers; an item that is not stated is 0.
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

// list is a list of texts; nil where absent.
func (v Values) list(path string) []string {
	if text := v.String(path, ""); text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// enum is the meaning of a value that must be one of the given words, or the fallback where it is absent. An unknown word
// is a fault, and gives the zero value.
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
