package engine

import (
	"log/slog"
	"regexp"
	"strings"

	"yardwinch/internal/membership"
)

const (
	maxLogLineBytes  = 300 // length to which a logged message is cut
	maxDropKindBytes = 80  // length to which a kind of drop is cut
)

// logFilter receives the gossip library's log. It counts errors and warnings as drops by kind, and logs the rest at
// debug level.
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
		f.drops.Add(dropKind(message), message[:min(len(message), maxLogLineBytes)])
	}
	return len(line), nil
}

var (
	digitRuns  = regexp.MustCompile(`[0-9]+`)
	quotedText = regexp.MustCompile(`"(\\.|[^"\\])*"`) // input from the network
)

// dropKind returns a message without the parts that vary between drops of a kind.
func dropKind(message string) string {
	kind := quotedText.ReplaceAllString(strings.TrimPrefix(message, "memberlist: "), "…")
	for _, detail := range []string{":", " from=", " ("} {
		kind, _, _ = strings.Cut(kind, detail)
	}
	kind = digitRuns.ReplaceAllString(kind[:min(len(kind), maxDropKindBytes)], "#")
	return strings.ToValidUTF8(kind, "?")
}
