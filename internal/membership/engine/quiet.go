package engine

import (
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	logEvery  = time.Minute
	kindsKept = 32

	longestLine = 300
)

// quiet takes the engine's log: a thousand bad datagrams a second must be counted, not written. Each kind is logged once a minute at
// most, with how many there were.
type quiet struct {
	mu    sync.Mutex
	kinds map[string]*told
}

type told struct {
	n, logged int
	at        time.Time
}

func (q *quiet) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	level, rest, ok := strings.Cut(strings.TrimPrefix(text, "["), "] ")
	if !ok {
		level, rest = "INFO", text
	}
	if level == "DEBUG" || level == "INFO" {
		slog.Debug(rest)
		return len(b), nil
	}
	q.note(kind(rest), rest)
	return len(b), nil
}

// kind is a line without what differs from one to the next.
func kind(line string) string {
	line = quoted.ReplaceAllString(strings.TrimPrefix(line, "memberlist: "), "…")
	for _, end := range []string{":", " from=", " ("} {
		line, _, _ = strings.Cut(line, end)
	}
	return strings.ToValidUTF8(digits.ReplaceAllString(line[:min(len(line), 80)], "#"), "?")
}

var (
	digits = regexp.MustCompile(`[0-9]+`)
	quoted = regexp.MustCompile(`"(\\.|[^"\\])*"`) // what a stranger sent: no two are alike
)

func (q *quiet) note(kind, line string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.kinds[kind]
	if t == nil {
		if len(q.kinds) >= kindsKept {
			kind = "others"
		}
		if t = q.kinds[kind]; t == nil {
			t = &told{}
			q.kinds[kind] = t
		}
	}
	t.n++
	if now := time.Now(); t.at.IsZero() || now.Sub(t.at) >= logEvery {
		slog.Warn("peers: "+line[:min(len(line), longestLine)], "of this kind since the last line", t.n-t.logged)
		t.at, t.logged = now, t.n
	}
}

func (q *quiet) counts() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := map[string]int{}
	for k, t := range q.kinds {
		all[k] = t.n
	}
	return all
}
