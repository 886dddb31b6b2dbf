package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// File is the content of a file, with its name in errors.
type File struct {
	Name string
	Text []byte
}

// MigrationResult is the result of a migration.
type MigrationResult struct {
	Text        []byte   // the new configuration
	Report      []string // the disposition of each key and the reason, sorted
	IsUnchanged bool     // the old configuration matched the shape already; Text is identical to it
}

// Migrate combines an old configuration with a shape, a partial configuration that describes the new deployment. It
// adds no default values. Errors name the file and the key.
func Migrate(old, shape File) (MigrationResult, error) {
	from, err := readLeaves(old.Text)
	if err != nil {
		return MigrationResult{}, fmt.Errorf("%s: %w", old.Name, err)
	}
	to, err := readLeaves(shape.Text)
	if err != nil {
		return MigrationResult{}, fmt.Errorf("%s: %w", shape.Name, err)
	}
	if err := checkShape(to); err != nil {
		return MigrationResult{}, fmt.Errorf("%s: %w", shape.Name, err)
	}
	merged, report := mergeLeaves(from, to)
	if reflect.DeepEqual(merged, from) {
		return MigrationResult{Text: old.Text, Report: report, IsUnchanged: true}, nil
	}
	text, err := json.MarshalIndent(nestLeaves(merged), "", "  ")
	if err != nil {
		return MigrationResult{}, fmt.Errorf("encode the new configuration: %w", err)
	}
	return MigrationResult{Text: append(text, '\n'), Report: report}, nil
}

// checkShape rejects keys that are unknown or not allowed in a shape.
func checkShape(shape map[string]any) error {
	for _, key := range sortedKeys(shape) {
		d, known := dispositions[key]
		if !known {
			return fmt.Errorf("%s: unknown key", key)
		}
		if d == alwaysDropped {
			return fmt.Errorf("%s: not allowed in a shape: %s", key, dropReasons[key])
		}
	}
	for _, list := range []string{keyServiceTypes, keyCustomers} {
		key := keySettings + "." + list
		if err := checkItems(key, shape[key]); err != nil {
			return err
		}
	}
	return nil
}

// checkItems rejects unknown keys in the objects of a list. A value that is not a list of objects is accepted: the
// error is found when the migrated configuration is read.
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

// mergeLeaves merges the leaves of the old configuration that may be carried over with those of the shape, and reports
// the disposition of each.
func mergeLeaves(from, shape map[string]any) (merged map[string]any, report []string) {
	merged = map[string]any{}
	for key, value := range from {
		_, restated := shape[key]
		d, known := dispositions[key]
		switch {
		case !known:
			report = append(report, key+": left behind, unknown key")
		case restated:
			report = append(report, key+": taken from the shape")
		case d == carriedOver:
			report = append(report, key+": carried over")
			merged[key] = value
		default:
			report = append(report, key+": left behind, "+dropReason(key))
		}
	}
	for key, value := range shape {
		merged[key] = value
		if _, stated := from[key]; !stated {
			report = append(report, key+": taken from the shape, not in the old file")
		}
	}
	slices.Sort(report)
	return merged, report
}

func dropReason(key string) string {
	if reason := dropReasons[key]; reason != "" {
		return reason
	}
	return "valid in the old deployment only, and the shape doesn't state it"
}
