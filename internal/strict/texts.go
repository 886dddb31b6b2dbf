package strict

import (
	"slices"
	"strings"
)

// Bool is true or false.
func (t Table) Bool(key string, absent bool) bool {
	value, present := t.get(key)
	if !present {
		return absent
	}
	flag, ok := value.(bool)
	if !ok {
		t.Fail(key, "want true or false, got %v", value)
		return absent
	}
	return flag
}

// String is a text; where any are allowed, one of those.
func (t Table) String(key, absent string, allowed ...string) string {
	value, present := t.get(key)
	if !present {
		return absent
	}
	text, isText := value.(string)
	switch {
	case isText && isAllowed(text, allowed):
		return text
	case len(allowed) > 0:
		t.Fail(key, "want one of %s, got %v", strings.Join(allowed, ", "), value)
	default:
		t.Fail(key, "want a text, got %v", value)
	}
	return absent
}

func isAllowed(text string, allowed []string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, text)
}

// Strings is a list of texts that is not empty; where any are allowed, of those.
func (t Table) Strings(key string, absent []string, allowed ...string) []string {
	value, present := t.get(key)
	if !present {
		return absent
	}
	list, ok := value.([]any)
	var texts []string
	for _, item := range list {
		text, isText := item.(string)
		ok = ok && isText && isAllowed(text, allowed)
		texts = append(texts, text)
	}
	if !ok || len(texts) == 0 {
		want := "a list of texts"
		if len(allowed) > 0 {
			want = "a list of " + strings.Join(allowed, ", ")
		}
		t.Fail(key, "want %s, got %v", want, value)
		return absent
	}
	return texts
}

// Lists is a list of lists of texts, none of them empty; nil where absent.
func (t Table) Lists(key string) (lists [][]string) {
	value, present := t.get(key)
	if !present {
		return nil
	}
	outer, ok := value.([]any)
	for _, item := range outer {
		texts, valid := nonEmptyTexts(item)
		ok = ok && valid
		lists = append(lists, texts)
	}
	if !ok || len(lists) == 0 {
		t.Fail(key, `want lists of texts such as [["a"], ["b", "c"]], got %v`, value)
		return nil
	}
	return lists
}

// nonEmptyTexts converts a list of texts; neither the list nor a text may be empty.
func nonEmptyTexts(value any) (texts []string, ok bool) {
	list, ok := value.([]any)
	for _, item := range list {
		text, isText := item.(string)
		ok = ok && isText && text != ""
		texts = append(texts, text)
	}
	return texts, ok && len(texts) > 0
}
