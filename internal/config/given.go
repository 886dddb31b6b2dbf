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

// Values is what was told, as dotted paths to plain values. The first fault is kept and names its key; readers go
// on with the default, so that callers look once, at the end.
type Values struct {
	at    map[string]string
	under string
	fault *error
}

// FromPairs takes paths and values as the simulator's wire brings them.
func FromPairs(at map[string]string) Values { return Values{at: at, fault: new(error)} }

// FromJSON flattens an object to the same paths: plain lists joined with commas, lists of objects as .count and .0, .1 …
func FromJSON(text []byte) (Values, error) {
	g, _, err := jsonWithout(text, "")
	return g, err
}

// jsonWithout flattens an object without one of its parts, which is given back as it stands: a long list taken apart would
// cost more memory than all else.
func jsonWithout(text []byte, name string) (Values, []byte, error) {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return Values{}, nil, fmt.Errorf("not a JSON object: %w", err)
	}
	left := top[name]
	delete(top, name)
	g := FromPairs(map[string]string{})
	for key, part := range top {
		d := json.NewDecoder(bytes.NewReader(part))
		d.UseNumber() // a nanosecond count or a seed must not go through a float
		var v any
		if err := d.Decode(&v); err != nil {
			return Values{}, nil, fmt.Errorf("not a JSON object: %w", err)
		}
		g.flatten(key, v)
	}
	return g, left, nil
}

func (g Values) flatten(path string, v any) {
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

// Sub reads below a path.
func (g Values) Sub(path string) Values {
	g.under += path + "."
	return g
}

// Each goes through all that is told below here, by key.
func (g Values) Each(do func(key, value string)) {
	for _, k := range slices.Sorted(maps.Keys(g.at)) {
		if rest, ok := strings.CutPrefix(k, g.under); ok {
			do(rest, g.at[k])
		}
	}
}

// Err is the first fault met, by any reader of the same whole.
func (g Values) Err() error { return *g.fault }

func (g Values) bad(path, format string, a ...any) {
	if *g.fault == nil {
		*g.fault = fmt.Errorf("%s%s: %s", g.under, path, fmt.Sprintf(format, a...))
	}
}

// String is one value, or the one that stands where it is absent.
func (g Values) String(path, absent string) string {
	if s := g.at[g.under+path]; s != "" && s != "-" {
		return s
	}
	return absent
}

func (g Values) need(path string) string {
	s := g.String(path, "")
	if s == "" {
		g.bad(path, "is missing")
	}
	return s
}

// Float is one number.
func (g Values) Float(path string, absent float64) float64 {
	s := g.String(path, "")
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

// Duration is a time in nanoseconds; 0 where absent.
func (g Values) Duration(path string) time.Duration { return time.Duration(g.Float(path, 0)) }

// Bool is true or false; false where absent.
func (g Values) Bool(path string) bool { return word(g, path, flags, false) }

var flags = map[string]bool{"true": true, "1": true, "false": false, "0": false}

// Floats is a plain list of numbers; an item that is not stated is 0.
func (g Values) Floats(path string) (list []float64) {
	s := g.String(path, "")
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

func (g Values) texts(path string) []string {
	if s := g.String(path, ""); s != "" {
		return strings.Split(s, ",")
	}
	return nil
}

// word looks a value up in the words that it may be; absent stands where it is missing.
func word[T any](g Values, path string, words map[string]T, absent T) T {
	s := g.String(path, "")
	if s == "" {
		return absent
	}
	v, ok := words[s]
	if !ok {
		g.bad(path, "unknown word %q", s)
	}
	return v
}
