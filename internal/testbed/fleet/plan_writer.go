package fleet

import (
	"fmt"
	"strings"
	"time"
)

// Table headers of a plan file, for entries of arrays.
const (
	modelFaultEntry  = "\n[[trouble]]"
	faultEntry       = "\n[[fault]]"
	requirementEntry = "\n[[must]]"
)

// setting is a key of a plan file and its value.
type setting struct {
	key   string
	value any
}

type settings []setting

func writeTable(to *strings.Builder, header string, keys settings) {
	to.WriteString(header + "\n")
	writeSettings(to, keys)
}

func writeSettings(to *strings.Builder, keys settings) {
	for _, s := range keys {
		to.WriteString(s.key + " = " + literal(s.value) + "\n")
	}
}

// literal formats a value as a TOML literal.
func literal(value any) string {
	switch value := value.(type) {
	case string, time.Duration, faultKind, requirementKind:
		return fmt.Sprintf("%q", value)
	case []string:
		var items []string
		for _, item := range value {
			items = append(items, literal(item))
		}
		return "[" + strings.Join(items, ", ") + "]"
	default:
		return fmt.Sprint(value)
	}
}
