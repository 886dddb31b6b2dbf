package strict

import (
	"slices"
	"strings"
)

// Bool returns a boolean.
func (t Table) Bool(key string, fallback bool) bool {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	flag, ok := value.(bool)
	if !ok {
		t.Fail(key, "want true or false, got %v", value)
		return fallback
	}
	return flag
}

// String returns a string, which must be one of the allowed values if any are given.
func (t Table) String(key, fallback string, allowed ...string) string {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	text, isText := value.(string)
	switch {
	case isText && isAllowed(text, allowed):
		return text
	case len(allowed) > 0:
		t.Fail(key, "want one of %s, got %v", strings.Join(allowed, ", "), value)
	default:
		t.Fail(key, "want a string, got %v", value)
	}
	return fallback
}

func isAllowed(text string, allowed []string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, text)
}

// Strings returns a non-empty list of strings, each of which must be one of the allowed values if any are given.
func (t Table) Strings(key string, fallback []string, allowed ...string) []string {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	list, ok := value.([]any)
	var items []string
	for _, item := range list {
		text, isText := item.(string)
		ok = ok && isText && isAllowed(text, allowed)
		items = append(items, text)
	}
	if !ok || len(items) == 0 {
		want := "a list of strings"
		if len(allowed) > 0 {
			want = "a list of " + strings.Join(allowed, ", ")
		}
		t.Fail(key, "want %s, got %v", want, value)
		return fallback
	}
	return items
}

// StringLists returns a list of lists of strings, none of them empty; nil if absent.
func (t Table) StringLists(key string) (lists [][]string) {
	value, present := t.get(key)
	if !present {
		return nil
	}
	outer, ok := value.([]any)
	for _, item := range outer {
		items, valid := nonEmptyStrings(item)
		ok = ok && valid
		lists = append(lists, items)
	}
	if !ok || len(lists) == 0 {
		t.Fail(key, `want lists of strings such as [["a"], ["b", "c"]], got %v`, value)
		return nil
	}
	return lists
}

// nonEmptyStrings converts a list of strings; neither the list nor a string may be empty.
func nonEmptyStrings(value any) (items []string, ok bool) {
	list, ok := value.([]any)
	for _, item := range list {
		text, isText := item.(string)
		ok = ok && isText && text != ""
		items = append(items, text)
	}
	return items, ok && len(items) > 0
}
