package engine

import (
	"log/slog"
	"regexp"
	"strings"

	"yardwinch/internal/membership"
)

const (
	maxLogLine  = 300 // bytes of a line of the library's log
	maxDropKind = 80  // bytes of a kind
)

// logFilter takes the gossip library's log: its errors and warnings are counted as drops by kind, the rest is for
// debugging.
type logFilter struct {
	drops *membership.DropCounter
}

func (f *logFilter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	level, message, ok := strings.Cut(strings.TrimPrefix(text, "["), "] ")
	switch {
	case !ok:
		slog.Debug("gossip library", "message", text)
	case level == "DEBUG" || level == "INFO":
		slog.Debug("gossip library", "message", message)
	default:
		f.drops.Add(dropKind(message), message[:min(len(message), maxLogLine)])
	}
	return len(line), nil
}

var (
	digits = regexp.MustCompile(`[0-9]+`)
	quoted = regexp.MustCompile(`"(\\.|[^"\\])*"`) // what strangers sent
)

// dropKind is a message without the parts that differ from one drop to the next.
func dropKind(message string) string {
	kind := quoted.ReplaceAllString(strings.TrimPrefix(message, "memberlist: "), "…")
	for _, detail := range []string{":", " from=", " ("} {
		kind, _, _ = strings.Cut(kind, detail)
	}
	kind = digits.ReplaceAllString(kind[:min(len(kind), maxDropKind)], "#")
	return strings.ToValidUTF8(kind, "?")
}
