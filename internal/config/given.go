// Package config is the only place that reads, checks and defaults what a balancer is told.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Given is what was told, as dotted paths to plain values. The first fault is kept and names its key; readers go
// on with the default, so that callers look once, at the end.
type Given struct {
	at    map[string]string
	under string
	fault *error
}

// Pairs takes paths and values as the simulator's wire brings them.
func Pairs(at map[string]string) Given { return Given{at: at, fault: new(error)} }

// JSON flattens an object to the same paths: plain lists joined with commas, lists of objects as .count and .0, .1 …
func JSON(text []byte) (Given, error) {
	g, _, err := jsonWithout(text, "")
	return g, err
}

// jsonWithout flattens an object without one of its parts, which is given back as it stands: a long list taken apart would
// cost more memory than all else.
func jsonWithout(text []byte, name string) (Given, []byte, error) {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return Given{}, nil, fmt.Errorf("not a JSON object: %w", err)
	}
	left := top[name]
	delete(top, name)
	g := Pairs(map[string]string{})
	for key, part := range top {
		d := json.NewDecoder(bytes.NewReader(part))
		d.UseNumber() // a nanosecond count or a seed must not go through a float
		var v any
		if err := d.Decode(&v); err != nil {
			return Given{}, nil, fmt.Errorf("not a JSON object: %w", err)
		}
		g.flatten(key, v)
	}
	return g, left, nil
}

func (g Given) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			g.flatten(strings.TrimPrefix(path+"."+k, "."), x)
		}
	case []any:
		var plain []string
		for i, x := range v {
			switch x.(type) {
			case map[string]any, []any:
				g.flatten(path+"."+strconv.Itoa(i), x)
			default:
				plain = append(plain, plainText(x))
			}
		}
		g.at[path+".count"] = strconv.Itoa(len(v))
		g.at[path] = strings.Join(plain, ",")
	case nil:
		g.at[path] = "" // not "null": a service type or a customer may be called so
	default:
		g.at[path] = plainText(v)
	}
}

func plainText(v any) string {
	if v == nil {
		return "null"
	}
	return fmt.Sprint(v)
}

// Under reads below a path.
func (g Given) Under(path string) Given {
	g.under += path + "."
	return g
}

// Each goes through all that is told below here, by key.
func (g Given) Each(do func(key, value string)) {
	for _, k := range slices.Sorted(maps.Keys(g.at)) {
		if rest, ok := strings.CutPrefix(k, g.under); ok {
			do(rest, g.at[k])
		}
	}
}

// Fault is the first fault met, by any reader of the same whole.
func (g Given) Fault() error { return *g.fault }

func (g Given) bad(path, format string, a ...any) {
	if *g.fault == nil {
		*g.fault = fmt.Errorf("%s%s: %s", g.under, path, fmt.Sprintf(format, a...))
	}
}

// Text is one value, or the one that stands where it is absent.
func (g Given) Text(path, absent string) string {
	if s := g.at[g.under+path]; s != "" && s != "-" {
		return s
	}
	return absent
}

func (g Given) need(path string) string {
	s := g.Text(path, "")
	if s == "" {
		g.bad(path, "is missing")
	}
	return s
}

// Figure is one number.
func (g Given) Figure(path string, absent float64) float64 {
	s := g.Text(path, "")
	if s == "" {
		return absent
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		g.bad(path, "bad number %q", s)
		return absent
	}
	return v
}

// Span is a time in nanoseconds; 0 where absent.
func (g Given) Span(path string) time.Duration { return time.Duration(g.Figure(path, 0)) }

// Flag is true or false; false where absent.
func (g Given) Flag(path string) bool { return word(g, path, flags, false) }

var flags = map[string]bool{"true": true, "1": true, "false": false, "0": false}

// Figures is a plain list of numbers; an item that is not stated is 0.
func (g Given) Figures(path string) (list []float64) {
	s := g.Text(path, "")
	if s == "" {
		return nil
	}
	for _, p := range strings.Split(s, ",") {
		v, err := strconv.ParseFloat(p, 64)
		if p == "null" || p == "-" || p == "" {
			v, err = 0, nil
		}
		if err != nil {
			g.bad(path, "bad number %q", p)
		}
		list = append(list, v)
	}
	return list
}

func (g Given) texts(path string) []string {
	if s := g.Text(path, ""); s != "" {
		return strings.Split(s, ",")
	}
	return nil
}

// word looks a value up in the words that it may be; absent stands where it is missing.
func word[T any](g Given, path string, words map[string]T, absent T) T {
	s := g.Text(path, "")
	if s == "" {
		return absent
	}
	v, ok := words[s]
	if !ok {
		g.bad(path, "unknown word %q", s)
	}
	return v
}
