package config

import (
	"math"
	"strconv"
	"strings"
)

// loadColumn is the one figure of a report that the decisions go by; README's table says what the others are.
const loadColumn = "x0"

// ParseLoadReport takes a server's load over its capacity out of a load report, from the simulator's wire and from a socket alike.
// How pairs are set apart on sockets is not stated, so each usual way is taken. A figure that is cut, no number, negative,
// endless or told twice counts as absent: a server must not move flows by a word that can't be true.
func ParseLoadReport(s string) (load float64, ok bool) {
	told := 0
	for _, pair := range strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(" ,;\t{}", r) }) {
		i := strings.LastIndexAny(pair, ":=")
		if i < 0 {
			continue
		}
		name := strings.Trim(pair[:i], `"`)
		if name[strings.LastIndexByte(name, '.')+1:] != loadColumn {
			continue
		}
		told++
		v, err := strconv.ParseFloat(strings.Trim(pair[i+1:], `"`), 64)
		load, ok = v, err == nil && v >= 0 && !math.IsInf(v, 0)
	}
	return load, ok && told == 1
}
