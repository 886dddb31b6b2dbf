package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

func sortedKeys(object map[string]any) []string { return slices.Sorted(maps.Keys(object)) }

// readLeaves decodes an object into its leaf values by dotted key; a list is one value. Unlike json.Unmarshal it
// rejects duplicate keys, as one of the two values would be lost.
func readLeaves(text []byte) (map[string]any, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, errors.New("is empty")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	value, err := decodeValue(decoder, "")
	if err != nil {
		return nil, err
	}
	top, ok := value.(map[string]any)
	if !ok {
		return nil, errors.New("want an object")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("unexpected data after the object")
	}
	leaves := map[string]any{}
	addLeaves(leaves, top, "")
	return leaves, nil
}

// addLeaves adds the leaf values of an object and of the objects in it. Objects that are dropped as a whole are added
// as one value.
func addLeaves(leaves, object map[string]any, prefix string) {
	for name, value := range object {
		key := prefix + name
		if inner, ok := value.(map[string]any); ok && len(inner) > 0 && dispositions[key] != alwaysDropped {
			addLeaves(leaves, inner, key+".")
		} else {
			leaves[key] = value
		}
	}
}

// decodeValue reads one value; the key is used in errors.
func decodeValue(decoder *json.Decoder, key string) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, syntaxError(decoder, key, err)
	}
	switch token {
	case json.Delim('{'):
		return decodeObject(decoder, key)
	case json.Delim('['):
		return decodeList(decoder, key)
	}
	return token, nil
}

// decodeObject reads the rest of an object after its opening brace.
func decodeObject(decoder *json.Decoder, key string) (any, error) {
	object := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, syntaxError(decoder, key, err)
		}
		name := token.(string) // the decoder only accepts a string here
		memberKey := strings.TrimPrefix(key+"."+name, ".")
		if _, duplicate := object[name]; duplicate {
			return nil, fmt.Errorf("%s: duplicate key", memberKey)
		}
		if object[name], err = decodeValue(decoder, memberKey); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, syntaxError(decoder, key, err)
	}
	return object, nil
}

// decodeList reads the rest of a list after its opening bracket.
func decodeList(decoder *json.Decoder, key string) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := decodeValue(decoder, key+"."+strconv.Itoa(len(list)))
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, syntaxError(decoder, key, err)
	}
	return list, nil
}

func syntaxError(decoder *json.Decoder, key string, err error) error {
	if key == "" {
		key = "top level"
	}
	return fmt.Errorf("%s: invalid JSON after byte %d: %w", key, decoder.InputOffset(), err)
}

// nestLeaves is the inverse of readLeaves: it returns the nested object.
func nestLeaves(leaves map[string]any) map[string]any {
	top := map[string]any{}
	for key, value := range leaves {
		path := strings.Split(key, ".")
		last := len(path) - 1
		object := top
		for _, name := range path[:last] {
			inner, ok := object[name].(map[string]any)
			if !ok {
				inner = map[string]any{}
				object[name] = inner
			}
			object = inner
		}
		object[path[last]] = value
	}
	return top
}
