package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// fromJSON flattens an object: the plain values of a list are joined with commas, its objects get the paths .0, .1 and
// so on, and .count is its length.
func fromJSON(text []byte) (Values, error) {
	values, _, err := fromJSONWithout(text, "")
	return values, err
}

// fromJSONWithout flattens an object except for one member, which it returns unparsed: a flattened endpoint list would
// use more memory than everything else.
func fromJSONWithout(text []byte, name string) (Values, []byte, error) {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return Values{}, nil, fmt.Errorf("not a JSON object: %w", err)
	}
	excluded := top[name]
	delete(top, name)
	values := FromPairs(map[string]string{})
	for key, raw := range top {
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.UseNumber() // a float64 would lose digits of a nanosecond count or a seed
		var value any
		if err := decoder.Decode(&value); err != nil {
			return Values{}, nil, fmt.Errorf("not a JSON object: %w", err)
		}
		values.flatten(key, value)
	}
	return values, excluded, nil
}

func (v Values) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, member := range value {
			v.flatten(strings.TrimPrefix(path+"."+key, "."), member)
		}
	case []any:
		v.flattenList(path, value)
	case nil:
		v.byPath[path] = "" // absent, not the text "null", which may be the name of a service type or a customer
	default:
		v.byPath[path] = plainText(value)
	}
}

func (v Values) flattenList(path string, list []any) {
	var plain []string
	for i, item := range list {
		switch item.(type) {
		case map[string]any, []any:
			v.flatten(path+"."+strconv.Itoa(i), item)
		default:
			plain = append(plain, plainText(item))
		}
	}
	v.byPath[path+countSuffix] = strconv.Itoa(len(list))
	v.byPath[path] = strings.Join(plain, ",")
}

func plainText(value any) string {
	if value == nil {
		return "null"
	}
	return fmt.Sprint(value)
}
