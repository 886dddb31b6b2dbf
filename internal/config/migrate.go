package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// Migrate combines an old configuration with a shape: the part of a configuration that describes another place. It
// returns the new configuration and lines that say what became of each key and why, sorted. What neither file
// states is not stated. An old file that has the new shape already comes out byte for byte alike, with unchanged
// true. Errors name the file and the key; the names of the files are for these alone.
func Migrate(oldName, shapeName string, old, shape []byte) (text []byte, lines []string, unchanged bool, err error) {
	from, err := readLeaves(old)
	if err != nil {
		return nil, nil, false, fmt.Errorf("%s: %w", oldName, err)
	}
	to, err := readLeaves(shape)
	if err != nil {
		return nil, nil, false, fmt.Errorf("%s: %w", shapeName, err)
	}
	if err := checkShape(to); err != nil {
		return nil, nil, false, fmt.Errorf("%s: %w", shapeName, err)
	}
	merged, lines := mergeLeaves(from, to)
	if reflect.DeepEqual(merged, from) {
		return old, lines, true, nil
	}
	text, err = json.MarshalIndent(nestLeaves(merged), "", "  ")
	return append(text, '\n'), lines, false, err
}

// checkShape refuses keys that are unknown or that no shape may state.
func checkShape(shape map[string]any) error {
	for _, key := range sortedKeys(shape) {
		d, known := dispositions[key]
		if !known {
			return fmt.Errorf("%s: unknown key", key)
		}
		if d == alwaysDropped {
			return fmt.Errorf("%s: can't be taken over, %s", key, reasons[key])
		}
	}
	for _, key := range []string{"settings.service-types", "settings.tenants"} {
		if err := checkItems(key, shape[key]); err != nil {
			return err
		}
	}
	return nil
}

// checkItems refuses unknown keys in the objects of a list. Anything but a list of objects passes: it is found
// when the result is read.
func checkItems(key string, value any) error {
	list, _ := value.([]any)
	for i, element := range list {
		item, _ := element.(map[string]any)
		for _, name := range sortedKeys(item) {
			if _, known := dispositions[key+"[]."+name]; !known {
				return fmt.Errorf("%s.%d.%s: unknown key", key, i, name)
			}
		}
	}
	return nil
}

// mergeLeaves carries over what may stay of the old leaves, adds those of the shape, and says what became of each.
func mergeLeaves(from, shape map[string]any) (merged map[string]any, lines []string) {
	merged = map[string]any{}
	for key, value := range from {
		_, restated := shape[key]
		d, known := dispositions[key]
		switch {
		case !known:
			lines = append(lines, key+": left behind, unknown key")
		case restated:
			lines = append(lines, key+": taken from the shape")
		case d == carriedOver:
			lines = append(lines, key+": carried over")
			merged[key] = value
		default:
			lines = append(lines, key+": left behind, "+dropReason(key))
		}
	}
	for key, value := range shape {
		merged[key] = value
		if _, stated := from[key]; !stated {
			lines = append(lines, key+": taken from the shape, not in the old file")
		}
	}
	slices.Sort(lines)
	return merged, lines
}

func dropReason(key string) string {
	if reason := reasons[key]; reason != "" {
		return reason
	}
	return "true of the old place alone, and the shape doesn't state it"
}
