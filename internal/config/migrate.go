package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// fate is what becomes of a key of a configuration when its balancer moves to a deployment of another shape.
type fate int

const (
	own   fate = iota // of this balancer or its service: carried over, unless the shape states it anew
	place             // true of one place alone: from the shape, or left behind
	never             // of the old fleet: left behind whatever the shape says
)

// fates has every key that a configuration may hold. A key that is in none of them is unknown: refused in a shape, left
// behind of an old file. Reasons stand for keys that are left behind.
var fates = map[string]fate{}

var reasons = map[string]string{
	"known":                        "names servers of the old fleet",
	"peers":                        "balancers send each other nothing any more",
	"peers_all":                    "balancers send each other nothing any more",
	"peer_listen":                  "balancers send each other nothing any more",
	"settings.policy-limits.peers": "balancers send each other nothing any more",
	"settings.family-info.park":    "connections end at the balancer",
	"settings.reporting.how":       "the shape doesn't say whether servers report their load there",
	"settings.reporting.columns":   "the shape doesn't say what servers report there",
	"settings.az":                  "a zone of the old place",
	"settings.areas":               "zones of the old place",
}

func init() {
	for f, text := range map[fate]string{
		own: `name listen discovery control seed limits.cores limits.memory_mb limits.sockets
			settings.service-types settings.service-types[].name settings.service-types[].effect
			settings.service-types[].group settings.service-types[].hard-limit settings.service-types[].setup-target
			settings.service-types[].aim-stretch settings.service-types[].late-value settings.service-types[].stream
			settings.service-types[].window settings.service-types[].value settings.tenants settings.tenants[].name
			settings.tenants[].quota-per-s settings.tenants[].share settings.beyond-share-value settings.value-per settings.family
			settings.client-habits.marks-retry settings.family-info.groups settings.family-info.hint settings.family-info.notes
			settings.family-info.message-aim settings.family-info.mode settings.period settings.tier
			settings.policy-limits.cancel settings.policy-limits.connect-timeout settings.policy-limits.cpu-us-per-request
			settings.policy-limits.cpu-us-per-s settings.policy-limits.keepalive settings.policy-limits.max-connects
			settings.policy-limits.max-open settings.policy-limits.max-retry-after settings.policy-limits.max-streams
			settings.policy-limits.probes settings.policy-limits.retry-after settings.policy-limits.second-copies
			settings.guarantees.answer-slack settings.guarantees.cold-from settings.guarantees.drain-grace
			settings.guarantees.fall settings.guarantees.fall-multiple settings.guarantees.must-ask-in
			settings.guarantees.warm-after settings.goal.whole settings.goal.worst-class settings.goal.worst-tenant
			settings.goal.worst-window settings.goal.nines-part settings.goal.top-nines
			settings.tariffs.connection settings.tariffs.cross-zone settings.tariffs.discovery settings.tariffs.handshake
			settings.tariffs.late-fail settings.tariffs.moves settings.tariffs.origin settings.tariffs.peer
			settings.tariffs.probe settings.tariffs.waste settings.tariffs.fleet`,
		place: `settings.az settings.areas settings.kinds settings.stages settings.peers-total settings.ordinal
			settings.discovery settings.weights settings.reporting.how settings.reporting.columns
			settings.family-info.report-x0 settings.family-info.report-x1 settings.family-info.tells-load
			settings.family-info.tells-delay settings.family-info.tenant-quota-connections`,
		never: `known peers peers_all peer_listen settings.policy-limits.peers settings.family-info.park`,
	} {
		for _, key := range strings.Fields(text) {
			fates[key] = f
		}
	}
}

// Migrate makes the counterpart of an old configuration for a place that the shape, a part of a configuration, tells of.
// What becomes of each key is said in lines of key and reason, sorted. Nothing is invented: what neither file states is
// not stated. A file that is of the new shape already comes out byte for byte alike.
func Migrate(oldName, shapeName string, old, shape []byte) (text []byte, lines []string, same bool, err error) {
	from, err := leaves(old)
	if err != nil {
		return nil, nil, false, fmt.Errorf("%s: %w", oldName, err)
	}
	to, err := leaves(shape)
	if err != nil {
		return nil, nil, false, fmt.Errorf("%s: %w", shapeName, err)
	}
	for _, key := range sorted(to) {
		if f, ok := fates[key]; !ok {
			return nil, nil, false, fmt.Errorf("%s: %s: unknown key", shapeName, key)
		} else if f == never {
			return nil, nil, false, fmt.Errorf("%s: %s: can't be taken over, %s", shapeName, key, reasons[key])
		}
	}
	for _, key := range []string{"settings.service-types", "settings.tenants"} {
		list, _ := to[key].([]any)
		for i, x := range list {
			item, _ := x.(map[string]any)
			for _, name := range sorted(item) {
				if _, ok := fates[key+"[]."+name]; !ok {
					return nil, nil, false, fmt.Errorf("%s: %s.%d.%s: unknown key", shapeName, key, i, name)
				}
			}
		}
	}
	out := map[string]any{}
	for key, v := range from {
		f, known := fates[key]
		_, anew := to[key]
		switch {
		case !known:
			lines = append(lines, key+": left behind, unknown key")
		case anew:
			lines = append(lines, key+": taken from the shape")
		case f == own:
			lines = append(lines, key+": carried over")
			out[key] = v
		default:
			why := reasons[key]
			if why == "" {
				why = "true of the old place alone, and the shape doesn't state it"
			}
			lines = append(lines, key+": left behind, "+why)
		}
	}
	for key, v := range to {
		out[key] = v
		if _, before := from[key]; !before {
			lines = append(lines, key+": taken from the shape, not in the old file")
		}
	}
	slices.Sort(lines)
	if reflect.DeepEqual(out, from) {
		return old, lines, true, nil
	}
	text, err = json.MarshalIndent(tree(out), "", "  ")
	return append(text, '\n'), lines, false, err
}

func sorted(of map[string]any) (keys []string) {
	for key := range of {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// leaves reads an object into its values by dotted key; a list is one value. Unlike the usual decoding it refuses a key
// that stands twice, as one of both would be lost.
func leaves(text []byte) (map[string]any, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, errors.New("is empty")
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	v, err := value(d, "")
	if err != nil {
		return nil, err
	}
	top, ok := v.(map[string]any)
	if !ok {
		return nil, errors.New("want an object")
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.New("more follows after the object")
	}
	out := map[string]any{}
	flat(top, "", out)
	return out, nil
}

func flat(in map[string]any, under string, out map[string]any) {
	for name, v := range in {
		key := under + name
		if inner, ok := v.(map[string]any); ok && len(inner) > 0 && fates[key] != never {
			flat(inner, key+".", out)
		} else {
			out[key] = v
		}
	}
}

func value(d *json.Decoder, key string) (any, error) {
	t, err := d.Token()
	if err != nil {
		return nil, notJSON(d, key, err)
	}
	switch t {
	case json.Delim('{'):
		out := map[string]any{}
		for d.More() {
			n, err := d.Token()
			if err != nil {
				return nil, notJSON(d, key, err)
			}
			name := n.(string) // the decoder lets nothing else stand there
			inner := strings.TrimPrefix(key+"."+name, ".")
			if _, twice := out[name]; twice {
				return nil, fmt.Errorf("%s: stands twice", inner)
			}
			if out[name], err = value(d, inner); err != nil {
				return nil, err
			}
		}
		if _, err = d.Token(); err != nil {
			return nil, notJSON(d, key, err)
		}
		return out, nil
	case json.Delim('['):
		out := []any{}
		for d.More() {
			v, err := value(d, key+"."+strconv.Itoa(len(out)))
			if err != nil {
				return nil, err
			}
			out = append(out, v)
		}
		if _, err = d.Token(); err != nil {
			return nil, notJSON(d, key, err)
		}
		return out, nil
	}
	return t, nil
}

func notJSON(d *json.Decoder, key string, err error) error {
	if key == "" {
		key = "the whole"
	}
	return fmt.Errorf("%s: no JSON after byte %d: %w", key, d.InputOffset(), err)
}

// tree is what leaves came from.
func tree(of map[string]any) map[string]any {
	top := map[string]any{}
	for key, v := range of {
		at, parts := top, strings.Split(key, ".")
		for _, part := range parts[:len(parts)-1] {
			inner, ok := at[part].(map[string]any)
			if !ok {
				inner = map[string]any{}
				at[part] = inner
			}
			at = inner
		}
		at[parts[len(parts)-1]] = v
	}
	return top
}
