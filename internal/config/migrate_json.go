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

// readLeaves reads an object into its values by dotted key; a list is one value. Unlike the usual decoding it
// refuses a key that is present twice, as one of the two values would be lost.
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
		return nil, errors.New("more follows after the object")
	}
	leaves := map[string]any{}
	addLeaves(leaves, top, "")
	return leaves, nil
}

// addLeaves adds the values of an object and of those in it. Objects that are dropped as a whole are not taken apart.
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

// decodeValue reads one value; the key is for errors.
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
		name := token.(string) // the decoder accepts nothing else here
		memberKey := strings.TrimPrefix(key+"."+name, ".")
		if _, twice := object[name]; twice {
			return nil, fmt.Errorf("%s: stands twice", memberKey)
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
		key = "the whole"
	}
	return fmt.Errorf("%s: no JSON after byte %d: %w", key, decoder.InputOffset(), err)
}

// nestLeaves is the object that leaves were read from.
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
